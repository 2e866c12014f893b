// Package backoff keeps the times until which endpoints want no requests from this
// instance: an endpoint that turns a request away may say for how long.
package backoff

import (
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// Request is what an answer says of the time for which its endpoint wants no requests.
type Request struct {
	// For is that time; 0 if the answer asks for none.
	For time.Duration
	// Err is set if the answer states a time that can't be read.
	Err error
}

// Options configures Backoffs. All fields are required.
type Options struct {
	Metrics prometheus.Registerer
	Log     *slog.Logger
	Now     func() time.Time
}

// Backoffs holds the times until which endpoints want no requests. It is safe for
// concurrent use.
type Backoffs struct {
	Options
	// sends counts the requests sent to endpoints that want none.
	sends *prometheus.CounterVec

	mu    sync.Mutex
	until map[endpoints.Key]time.Time
	// count is the size of until, so that nothing is locked while it is empty.
	count atomic.Int64
	// sweepAt is the size of until above which passed times are dropped.
	sweepAt int
}

// minSweep is the number of endpoints up to which passed times are kept.
const minSweep = 64

// New returns Backoffs without an endpoint.
func New(o Options) *Backoffs {
	b := &Backoffs{Options: o, until: make(map[endpoints.Key]time.Time), sweepAt: minSweep}
	b.sends = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "medlarsill_backoff_sends_total", Help: "Requests sent to endpoints that had asked for none, by whether the request was sent for the first time.",
	}, []string{"send"})
	o.Metrics.MustRegister(b.sends)
	return b
}

// Available reports whether a request may be sent to an endpoint now.
func (b *Backoffs) Available(k endpoints.Key) bool { return b.Wait(k) == 0 }

// Take reports whether a request may be sent to an endpoint. There is no share to use up.
func (b *Backoffs) Take(k endpoints.Key) bool { return b.Available(k) }

// Wait returns the time for which an endpoint still wants no requests.
func (b *Backoffs) Wait(k endpoints.Key) time.Duration {
	if b.count.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.until[k].Sub(b.Now()))
}

// Observe records what an endpoint's answer says of the time for which it wants no
// requests. The time begins now; a shorter one doesn't replace a longer one.
func (b *Backoffs) Observe(k endpoints.Key, r Request) {
	if r.Err != nil {
		b.Log.Warn("ignoring invalid backoff time", "endpoint", k.ID, "error", r.Err.Error())
		return
	}
	if r.For <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	current := b.until[k]
	if !now.Before(current) {
		b.Log.Info("endpoint asks for no requests", "endpoint", k.ID, "for_ms", r.For.Milliseconds())
	}
	if until := now.Add(r.For); until.After(current) {
		b.until[k] = until
	}
	if len(b.until) > b.sweepAt {
		b.sweep(now)
	}
	b.count.Store(int64(len(b.until)))
}

// sweep drops the times that have passed. The caller must hold mu.
func (b *Backoffs) sweep(now time.Time) {
	maps.DeleteFunc(b.until, func(_ endpoints.Key, until time.Time) bool { return !now.Before(until) })
	b.sweepAt = max(minSweep, 2*len(b.until))
}

// Sent records that a request was sent to an endpoint; repeated means that the same
// request was sent to another endpoint before.
func (b *Backoffs) Sent(k endpoints.Key, repeated bool) {
	if b.Available(k) {
		return
	}
	if repeated {
		b.sends.WithLabelValues("repeated").Inc()
		return
	}
	b.sends.WithLabelValues("first").Inc()
}
