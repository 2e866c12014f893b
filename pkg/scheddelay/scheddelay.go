// Package scheddelay measures for how long this process is held up itself: its goroutines wait for
// processor time, or its network poller doesn't tell them what has arrived. Times that are measured
// meanwhile say nothing about the other side.
package scheddelay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// Interval is the time between two probes. A request waits several times, for its own goroutines and for
	// those of the network; most of waits longer than this are seen.
	Interval = 2 * time.Millisecond
	// IdleInterval is the time between two checks whether delays are needed.
	IdleInterval = 100 * time.Millisecond
	// usual is by how much a probe is late on an idle machine.
	usual = 200 * time.Microsecond
)

// Meter adds up by how much probes end too late. It is safe for concurrent use.
type Meter struct {
	// Needed reports whether delays are needed now: probes take some processor time themselves.
	Needed func() bool
	Now    func() time.Time
	// Probe pauses for a time and then takes the same way as an answer from the network. It returns
	// false if the context has ended.
	Probe func(ctx context.Context, d time.Duration) bool

	state atomic.Pointer[state]
}

// state is the delay until a probe began, and when that is due to end; zero if none is running.
type state struct {
	total time.Duration
	due   time.Time
}

// Run measures until the context ends.
func (m *Meter) Run(ctx context.Context) error {
	for m.step(ctx) {
	}
	return nil
}

// step makes one probe and adds its delay. It returns false if the context has ended.
func (m *Meter) step(ctx context.Context) bool {
	total := m.Total()
	if !m.Needed() {
		m.state.Store(&state{total: total})
		return sleep.For(ctx, IdleInterval)
	}
	due := m.Now().Add(Interval + usual)
	m.state.Store(&state{total: total, due: due})
	awake := m.Probe(ctx, Interval)
	m.state.Store(&state{total: total + lateness(m.Now(), due)})
	return awake
}

// Total returns the sum of the delays since the start, that of a probe that hasn't ended included.
func (m *Meter) Total() time.Duration {
	s := m.state.Load()
	if s == nil {
		return 0
	}
	return s.total + lateness(m.Now(), s.due)
}

// lateness returns by how much a time is later than another one; 0 if that isn't set.
func lateness(now, due time.Time) time.Duration {
	if due.IsZero() {
		return 0
	}
	return max(0, now.Sub(due))
}
