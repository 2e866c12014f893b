package upstream

import "time"

const (
	// comparedPerTry is the largest number of other addresses that one try asks.
	comparedPerTry = 16
	// compareInterval is the time between two tries to reach another address, and
	// compareTime the time after which no more are asked.
	compareInterval = 100 * time.Millisecond
	compareTime     = 3 * time.Second
)

// EndChecker tells the end of an endpoint's process from a fault of this instance's own links.
type EndChecker struct {
	Pool *Pool
	// Others returns the addresses of other endpoints.
	Others func(addr string) []string
}

// Ended reports whether the process at an address has ended: the address refuses connections
// while another one accepts them, if there is another. If none does, it waits until one does or
// until it is too late to tell.
func (c *EndChecker) Ended(addr string) bool {
	until := c.Pool.Now().Add(compareTime)
	for n := 0; c.Pool.Now().Before(until); n++ {
		if !c.Pool.Refuses(addr) {
			return false
		}
		others := c.Others(addr)
		if len(others) == 0 {
			return true
		}
		if c.anyAccepts(others, n*comparedPerTry, until) {
			// The links may have been repaired after the address refused.
			return c.Pool.Refuses(addr)
		}
		time.Sleep(compareInterval)
	}
	return false
}

// anyAccepts reports whether one of some addresses accepts a connection until a time, beginning
// with the first-th and going round.
func (c *EndChecker) anyAccepts(addrs []string, first int, until time.Time) bool {
	for n := range min(len(addrs), comparedPerTry) {
		if !c.Pool.Now().Before(until) {
			return false
		}
		if c.Pool.Accepts(addrs[(first+n)%len(addrs)]) {
			return true
		}
	}
	return false
}
