// Package truetime estimates the true time of day from the clocks of several
// instances: the time of day of one of them may jump by seconds. The estimate
// is the median of this instance's clock and of those that peers have told.
package truetime

import (
	"slices"
	"sync"
	"time"
)

// freshFor is how long a peer's clock counts after it was heard.
const freshFor = 3 * time.Second

// Clock estimates the true time. It is safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu    sync.Mutex
	peers map[string]reading
}

// reading is the time that a peer told, and when on this process's steady clock.
type reading struct {
	told  time.Time
	heard time.Time
}

// New returns a clock that knows only this instance's time. The times that now
// returns must carry a steady clock reading.
func New(now func() time.Time) *Clock {
	return &Clock{now: now, peers: make(map[string]reading)}
}

// Heard takes a peer's time of day, just received.
func (c *Clock) Observe(peer string, told time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[peer] = reading{told: told, heard: c.now()}
}

// Now returns the estimate of the true time.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	times := []time.Time{now.Round(0)}
	for id, r := range c.peers {
		age := now.Sub(r.heard)
		if age > freshFor {
			delete(c.peers, id)
			continue
		}
		times = append(times, r.told.Add(age))
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)/2]
}
