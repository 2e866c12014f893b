package upstream

import "time"

const (
	// comparedPerTry is the largest number of other addresses that are asked at once.
	comparedPerTry = 16
	// compareInterval is the time between two tries to reach another address, and
	// compareTries the largest number of tries.
	compareInterval = 100 * time.Millisecond
	compareTries    = 30
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
	for n := range compareTries {
		if !c.Pool.Refuses(addr) {
			return false
		}
		others := c.Others(addr)
		if len(others) == 0 {
			return true
		}
		if c.anyAccepts(others, n*comparedPerTry) {
			// The links may have been repaired after the address refused.
			return c.Pool.Refuses(addr)
		}
		time.Sleep(compareInterval)
	}
	return false
}

// anyAccepts reports whether one of some addresses accepts a connection, beginning with the
// first-th and going round.
func (c *EndChecker) anyAccepts(addrs []string, first int) bool {
	for n := range min(len(addrs), comparedPerTry) {
		if c.Pool.Accepts(addrs[(first+n)%len(addrs)]) {
			return true
		}
	}
	return false
}
