package schedule

import (
	"slices"
	"sync"
	"time"
)

const (
	// targetShare is the share of the latency objective that a request may wait for a place.
	targetShare = 0.5
	// deadlineShare is the share of the time left that a request may wait for a place.
	deadlineShare = 0.25
	// rateWeight is the weight of the newest interval in the rate of finished requests.
	rateWeight = 0.1
)

// waitLimit is how long the request may wait for a place.
func (d Request) waitLimit(now time.Time) time.Duration {
	byDeadline := time.Duration(deadlineShare * float64(d.Deadline.Sub(now)))
	if d.late(now) {
		return byDeadline
	}
	byTarget := time.Duration(targetShare*float64(d.Target)) - now.Sub(d.Arrived)
	return min(byTarget, byDeadline)
}

// late tells whether the latency objective has passed.
func (d Request) late(now time.Time) bool {
	return now.Sub(d.Arrived) >= d.Target
}

// waiter is one request that waits for a place.
type waiter struct {
	demand  Request
	late    bool
	granted chan *Placement
}

// before orders waiting requests: those that can be on time first, then the
// more urgent, then the one that is due first.
func (w *waiter) before(o *waiter) bool {
	if w.late != o.late {
		return !w.late
	}
	if w.demand.Priority != o.demand.Priority {
		return w.demand.Priority < o.demand.Priority
	}
	return w.demand.Arrived.Add(w.demand.Target).Before(o.demand.Arrived.Add(o.demand.Target))
}

// queue holds the waiting requests of one service in order.
type queue struct {
	mu      sync.Mutex
	waiting []*waiter
	// interval is the moving time between two finished requests, and last the newest end.
	interval time.Duration
	last     time.Time
}

func (q *queue) add(w *waiter) {
	i := len(q.waiting)
	for i > 0 && w.before(q.waiting[i-1]) {
		i--
	}
	q.waiting = slices.Insert(q.waiting, i, w)
}

func (q *queue) remove(w *waiter) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// note records the end of a request.
func (q *queue) note(now time.Time) {
	if !q.last.IsZero() {
		q.interval += time.Duration(rateWeight * float64(now.Sub(q.last)-q.interval))
	}
	q.last = now
}

// estimate is the expected wait of a request that joins the queue.
func (q *queue) estimate(w *waiter) time.Duration {
	ahead := 0
	for _, o := range q.waiting {
		if !w.before(o) {
			ahead++
		}
	}
	return time.Duration(ahead) * q.interval
}
