package schedule

import (
	"slices"
	"sync"
	"time"
)

const (
	// targetWaitShare is the share of the latency objective that a request may wait for a slot.
	targetWaitShare = 0.5
	// deadlineWaitShare is the share of the time to the deadline that a request may wait for a slot.
	deadlineWaitShare = 0.25
	// intervalWeight is the weight of the newest interval in queue.meanInterval.
	intervalWeight = 0.1
)

// maxWait returns how long the request may wait for a slot.
func (r Request) maxWait(now time.Time) time.Duration {
	byDeadline := time.Duration(deadlineWaitShare * float64(r.Deadline.Sub(now)))
	if r.late(now) {
		return byDeadline
	}
	byTarget := time.Duration(targetWaitShare*float64(r.Target)) - now.Sub(r.Arrived)
	return min(byTarget, byDeadline)
}

// late reports whether the latency objective has passed.
func (r Request) late(now time.Time) bool {
	return now.Sub(r.Arrived) >= r.Target
}

// waiter is one request that waits for a slot.
type waiter struct {
	request Request
	late    bool
	result  chan placementResult
}

// placementResult is the result of a wait: a placement, or the error of a refusal.
type placementResult struct {
	placement *Placement
	err       error
}

// before reports whether w is served before o: requests that could be on time when
// they were queued come first, then the more urgent, then those of workspaces within their fair
// share, then those whose objective passes earlier.
func (w *waiter) before(o *waiter) bool {
	if w.late != o.late {
		return !w.late
	}
	if w.request.Priority != o.request.Priority {
		return w.request.Priority < o.request.Priority
	}
	if w.request.fair.Behind != o.request.fair.Behind {
		return !w.request.fair.Behind
	}
	return w.request.Arrived.Add(w.request.Target).Before(o.request.Arrived.Add(o.request.Target))
}

// queue holds the waiting requests of one service in the order in which they are served.
type queue struct {
	mu      sync.Mutex
	waiting []*waiter
	// meanInterval is the moving mean of the time between the ends of two consecutive
	// requests, and lastEnd the time of the newest end.
	meanInterval time.Duration
	lastEnd      time.Time
}

func (q *queue) add(w *waiter) {
	i := len(q.waiting)
	for i > 0 && w.before(q.waiting[i-1]) {
		i--
	}
	q.waiting = slices.Insert(q.waiting, i, w)
}

// blocks reports whether a new request has to wait behind another one. Those that may not be
// placed on all endpoints don't hold up others.
func (q *queue) blocks() bool {
	return slices.ContainsFunc(q.waiting, func(w *waiter) bool { return !w.request.restricted() })
}

func (q *queue) remove(w *waiter) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// recordEnd records the end of a request.
func (q *queue) recordEnd(now time.Time) {
	if !q.lastEnd.IsZero() {
		q.meanInterval += time.Duration(intervalWeight * float64(now.Sub(q.lastEnd)-q.meanInterval))
	}
	q.lastEnd = now
}

// expectedWait returns the expected wait of a request that joins the queue.
func (q *queue) expectedWait(w *waiter) time.Duration {
	ahead := 0
	for _, o := range q.waiting {
		if !w.before(o) {
			ahead++
		}
	}
	return time.Duration(ahead) * q.meanInterval
}
