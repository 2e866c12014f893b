package admit

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// flowKey identifies a flow: the requests of one workspace with one priority.
type flowKey struct {
	workspace string
	priority  int
}

func (k flowKey) compare(l flowKey) int {
	return cmp.Or(cmp.Compare(k.workspace, l.workspace), cmp.Compare(k.priority, l.priority))
}

// flow is the state of one flow of a service at this entry.
type flow struct {
	key    flowKey
	weight float64
	// limit bounds its running requests over all entries: the smaller of the capacity of its
	// allowed data centres and the workspace's limit of requests in flight.
	limit   float64
	running int
	// waiting is sorted by deadline.
	waiting []*ticket
	// peerCount sums the requests of the flow at the other entries.
	peerCount Count
	// share is the number of requests of this entry that may run.
	share  float64
	demand demand
}

// ticket is a request that runs or waits.
type ticket struct {
	flow     *flow
	deadline time.Time
	started  time.Time
	// ready is closed when a queued request is started or refused, and nil if the request
	// was started at once. refusal is nil unless the request was refused.
	ready   chan struct{}
	refusal *Refusal
	// released is set by the first call of release.
	released atomic.Bool
}

// localCount returns the number of the flow's running and waiting requests at this entry.
func (f *flow) localCount() int { return f.running + len(f.waiting) }

// idle reports whether the flow has no requests at any entry.
func (f *flow) idle() bool {
	return f.localCount() == 0 && f.peerCount == Count{}
}

// position returns how many waiting requests have the same or an earlier deadline.
func (f *flow) position(deadline time.Time) int {
	i, _ := slices.BinarySearchFunc(f.waiting, deadline, func(t *ticket, d time.Time) int {
		if t.deadline.After(d) {
			return 1
		}
		return -1
	})
	return i
}

// push queues a ticket behind those with the same or an earlier deadline.
func (f *flow) push(t *ticket) {
	f.waiting = slices.Insert(f.waiting, f.position(t.deadline), t)
}

// remove removes a ticket from the queue and reports whether it was queued.
func (f *flow) remove(t *ticket) bool {
	i := slices.Index(f.waiting, t)
	if i < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, i, i+1)
	return true
}

// before reports whether f gets a free slot before g: by priority, then by running
// requests relative to the share, then by deadline. Fractional shares are compared by the
// Huntington-Hill method of apportionment, which slightly favours small flows.
func (f *flow) before(g *flow) bool {
	if f.key.priority != g.key.priority {
		return f.key.priority > g.key.priority
	}
	a, b := f.meanRunningSquared()*g.share*g.share, g.meanRunningSquared()*f.share*f.share
	if a != b {
		return a < b
	}
	c := f.waiting[0].deadline.Compare(g.waiting[0].deadline)
	return c < 0 || c == 0 && f.key.workspace < g.key.workspace
}

// meanRunningSquared returns the square of the geometric mean of the numbers of running
// requests before and after starting another one.
func (f *flow) meanRunningSquared() float64 {
	return float64(f.running) * float64(f.running+1)
}
