package gateway

import (
	"sync"
	"time"
)

const (
	// longestDecay is the share of the difference by which deadlineRange.longest
	// moves towards a shorter deadline, so that it follows changes.
	longestDecay = 0.001
	// retryShare is the share of requests that are assumed to be retries.
	// deadlineRange.shortest follows this quantile of the received deadlines.
	retryShare = 0.05
	// shortestStep is the step by which deadlineRange.shortest is adjusted, as a
	// share of it.
	shortestStep = 0.004
	// warmupSamples is the number of requests until the range of a route is learned.
	// Before that, a request whose deadline is at least warmupShare of the longest
	// does not count as a retry.
	warmupSamples = 50
	warmupShare   = 0.8
	// minElapsed is the least time that a retrying caller has waited; smaller
	// differences are due to network delay.
	minElapsed = 40 * time.Millisecond
)

// retryDetector learns the deadlines with which callers of each route send their
// requests. Deadlines vary, so a request counts as a retry after a refusal or a
// failure only if its deadline is clearly shorter than those of nearly all others.
// It is safe for concurrent use.
type retryDetector struct {
	mu     sync.Mutex
	routes map[string]*deadlineRange
}

// deadlineRange is the range of the deadlines with which the callers of a route
// send a request for the first time.
type deadlineRange struct {
	shortest, longest time.Duration
	samples           int
}

// elapsed returns the estimated time that a caller has already waited when its
// request arrives with the given time left.
func (d *retryDetector) elapsed(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = make(map[string]*deadlineRange)
	}
	r, known := d.routes[route]
	if !known {
		d.routes[route] = &deadlineRange{shortest: left, longest: left}
		return 0
	}
	elapsed := r.elapsed(left)
	r.observe(left)
	return elapsed
}

// elapsed returns the estimated time that a caller has already waited, or 0 if
// left is within the range of first deadlines.
func (r *deadlineRange) elapsed(left time.Duration) time.Duration {
	if r.shortest-left < minElapsed {
		return 0
	}
	if r.samples < warmupSamples && float64(left) >= warmupShare*float64(r.longest) {
		return 0
	}
	return (r.shortest+r.longest)/2 - left
}

// observe adjusts the range to a received deadline.
func (r *deadlineRange) observe(left time.Duration) {
	r.samples++
	r.longest = max(left, r.longest-time.Duration(longestDecay*float64(r.longest-left)))
	step := shortestStep * float64(r.shortest)
	if left < r.shortest {
		r.shortest -= time.Duration((1 - retryShare) * step)
	} else {
		r.shortest += time.Duration(retryShare * step)
	}
	r.shortest = min(r.shortest, r.longest)
}
