// Package progress limits HTTP calls by their progress instead of their whole duration,
// which depends on the size of what is transferred.
package progress

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// minBytes is the number of bytes that count as progress. A transfer that brings fewer
// within its limit has stalled.
const minBytes = 4 << 10

// Causes of a call's cancelled context.
var (
	// ErrStalled means that the call made no progress within its limit.
	ErrStalled = eris.New("progress: transfer stalled")
	// ErrTooSlow means that the transfer made progress, but didn't keep its pace.
	ErrTooSlow = eris.New("progress: transfer too slow")
)

// Guard cancels a call that makes no progress within a limit. It is used by one goroutine
// at a time: by the sender of the request until the response begins, then by its reader.
type Guard struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
	limit  time.Duration
	// pending is the number of bytes since the timer was last reset.
	pending int
	// perSecond is the rate that the whole transfer must keep from rateFrom on, or 0, and
	// total the number of its bytes.
	perSecond int64
	rateFrom  time.Time
	total     int64
	// tooSlow is true if the timer runs until the transfer would lag behind its rate.
	tooSlow atomic.Bool
}

// Start returns a guard and the context that it cancels. The call must begin to make
// progress within limit. The caller must call Stop.
func Start(ctx context.Context, limit time.Duration) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &Guard{cancel: cancel, limit: limit}
	g.timer = time.AfterFunc(limit, func() {
		if g.tooSlow.Load() {
			cancel(ErrTooSlow)
			return
		}
		cancel(ErrStalled)
	})
	return ctx, g
}

// limitRate also cancels the call once the bytes from now on are fewer than perSecond for
// each second after a time of grace; 0 stands for any rate.
func (g *Guard) limitRate(grace time.Duration, perSecond int64) {
	g.total, g.perSecond, g.rateFrom = 0, perSecond, time.Now().Add(grace)
	g.reset()
}

// Next begins the next part of the call, which must make progress within limit.
func (g *Guard) Next(limit time.Duration) {
	g.limit = limit
	g.reset()
}

// Stop ends the guard and its context.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.cancel(nil)
}

// Reader returns a reader whose bytes count as the call's progress.
func (g *Guard) Reader(r io.Reader) io.Reader { return &reader{r: r, guard: g} }

func (g *Guard) reset() {
	g.pending = 0
	limit := g.limit
	if g.perSecond > 0 {
		paid := time.Duration(float64(g.total) / float64(g.perSecond) * float64(time.Second))
		limit = max(0, min(limit, time.Until(g.rateFrom.Add(paid))))
	}
	g.tooSlow.Store(limit < g.limit)
	g.timer.Reset(limit)
}

// add counts transferred bytes.
func (g *Guard) add(n int) {
	g.pending += n
	g.total += int64(n)
	if g.pending >= minBytes {
		g.reset()
	}
}

type reader struct {
	r     io.Reader
	guard *Guard
}

// Read implements io.Reader. It reads little at once, since readers such as those of chunked
// bodies don't return before a large buffer is full.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b[:min(len(b), minBytes)])
	r.guard.add(n)
	return n, err
}
