// Package truetime estimates the true time of day from the clocks of several instances,
// since the clock of any one of them may jump by seconds. The estimate is the median of
// this instance's clock and the clocks that its peers have reported.
package truetime

import (
	"slices"
	"sync"
	"time"
)

// maxReadingAge is how long a peer's reported time is used.
const maxReadingAge = 3 * time.Second

// Clock estimates the true time. It is safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu    sync.Mutex
	peers map[string]reading
}

// reading is a time that a peer has reported, and when it was received on this process's
// monotonic clock.
type reading struct {
	time       time.Time
	receivedAt time.Time
}

// New returns a Clock without readings of peers. The times that now returns must have a
// monotonic clock reading.
func New(now func() time.Time) *Clock {
	return &Clock{now: now, peers: make(map[string]reading)}
}

// Observe records a peer's time of day that has just been received.
func (c *Clock) Observe(peer string, peerTime time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[peer] = reading{time: peerTime, receivedAt: c.now()}
}

// Now returns the estimated true time.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	times := []time.Time{now.Round(0)}
	for id, r := range c.peers {
		age := now.Sub(r.receivedAt)
		if age > maxReadingAge {
			delete(c.peers, id)
			continue
		}
		times = append(times, r.time.Add(age))
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)/2]
}
