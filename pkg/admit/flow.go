package admit

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// flowKey names a flow: the requests of one workspace with one priority.
type flowKey struct {
	workspace string
	priority  int
}

func (k flowKey) compare(l flowKey) int {
	return cmp.Or(cmp.Compare(k.workspace, l.workspace), cmp.Compare(k.priority, l.priority))
}

// flow is the state of one flow in one service of this entry.
type flow struct {
	key    flowKey
	weight float64
	// limit bounds its running requests over all entries: the places of the
	// endpoints in its allowed data centres, and the workspace's own limit.
	limit   float64
	running int
	// waiting is sorted by deadline.
	waiting []*ticket
	// others is what the other entries have told of the flow.
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
	// ready is closed when the ticket leaves the queue; refusal then tells the outcome.
	ready   chan struct{}
	refusal *Refusal
	// released is set by the first release.
	released atomic.Bool
}

// own returns the flow's running and waiting requests at this entry.
func (f *flow) localCount() int { return f.running + len(f.waiting) }

// idle tells whether nothing of the flow is left anywhere.
func (f *flow) idle() bool {
	return f.localCount() == 0 && f.peerCount == Count{}
}

// position returns how many waiting requests have an earlier deadline.
func (f *flow) position(deadline time.Time) int {
	i, _ := slices.BinarySearchFunc(f.waiting, deadline, func(t *ticket, d time.Time) int {
		if t.deadline.After(d) {
			return 1
		}
		return -1
	})
	return i
}

// push queues a ticket behind those of the same or an earlier deadline.
func (f *flow) push(t *ticket) {
	f.waiting = slices.Insert(f.waiting, f.position(t.deadline), t)
}

// remove takes a ticket out of the queue and reports whether it was there.
func (f *flow) remove(t *ticket) bool {
	i := slices.Index(f.waiting, t)
	if i < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, i, i+1)
	return true
}

// before orders flows for a free place: by priority, then by shares, then by
// deadline. Fractions of places go by the Huntington-Hill method of
// apportionment, which favours small flows a little.
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

// fill is the square of the geometric mean of the flow's running requests
// before and after one more.
func (f *flow) meanRunningSquared() float64 {
	return float64(f.running) * float64(f.running+1)
}
