package progress

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

const (
	// paceGrace is the time that a transfer of any size may take.
	paceGrace = time.Second
	// minPace is the lowest pace in bytes per second; below it there is none.
	minPace = 8 << 10
	// paceBytes is the size of a transfer that shows the rate of a connection.
	paceBytes = 64 << 10
)

// Pace is the rate that the transfers of one client must keep, so that the time of each is
// bounded by its size. A transfer that is too slow is cancelled, and the next attempt, on a
// new connection, may have half the rate, down to any: a slow link gets everything through.
// A transfer that is fast enough restores the rate. It is safe for concurrent use.
type Pace struct {
	full    int64
	current atomic.Int64
}

// NewPace returns a pace of a number of bytes per second.
func NewPace(bytesPerSecond int64) *Pace {
	p := &Pace{full: bytesPerSecond}
	p.current.Store(bytesPerSecond)
	return p
}

// Start makes a guard cancel its call also if the transfer that begins now is too slow.
func (p *Pace) Start(g *Guard) { g.limitRate(paceGrace, p.current.Load()) }

// Ended records the size and the duration of a transfer that has ended, and its context.
func (p *Pace) Ended(ctx context.Context, bytes int64, d time.Duration) {
	switch {
	case errors.Is(context.Cause(ctx), ErrTooSlow):
		p.lower()
	case ctx.Err() == nil && bytes >= paceBytes && float64(bytes) >= d.Seconds()*float64(p.full):
		p.current.Store(p.full)
	}
}

// lower halves the rate.
func (p *Pace) lower() {
	for {
		old := p.current.Load()
		next := old / 2
		if next < minPace {
			next = 0
		}
		if p.current.CompareAndSwap(old, next) {
			return
		}
	}
}
