package gateway

import (
	"sync"
	"time"
)

// fadeShare is the share by which the longest time that callers of a route
// wait shrinks with each request, so that a change of theirs is followed.
const fadeShare = 0.001

// minSpent is the least time that a caller has waited if it comes again: less
// is the time that its first request spent on the way.
const minSpent = 40 * time.Millisecond

// patience learns how long the callers of each route wait. A request that
// comes with less was sent before: its caller was refused, or met a failure. It
// is safe for concurrent use.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// spent returns how long a caller has already waited when its request comes
// with a time left.
func (p *patience) spent(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil {
		p.longest = make(map[string]time.Duration)
	}
	longest := p.longest[route]
	if left >= longest {
		p.longest[route] = left
		return 0
	}
	p.longest[route] = longest - time.Duration(fadeShare*float64(longest-left))
	if longest-left < minSpent {
		return 0
	}
	return longest - left
}
