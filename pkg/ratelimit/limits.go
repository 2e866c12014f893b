package ratelimit

import (
	"log/slog"
	"sync"
	"time"
)

// Options configures Limits. All fields are required.
type Options struct {
	Metrics *Metrics
	Log     *slog.Logger
	Now     func() time.Time
}

// Limits holds the rate limits in force, by endpoint. It is safe for concurrent use.
type Limits struct {
	Options
	mu    sync.Mutex
	byKey map[Key]*limit
}

// limit is the limit of one endpoint.
type limit struct {
	perSecond float64
}

// New returns Limits without a limit in force.
func New(o Options) *Limits { return &Limits{Options: o, byKey: make(map[Key]*limit)} }

// Sent records that a request was sent to an endpoint; repeated means that the same
// request was sent to another endpoint before.
func (l *Limits) Sent(k Key, repeated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.byKey[k]; ok {
		l.Metrics.recordSend(repeated)
	}
}

// Observe records what an answer of an endpoint says of its limit.
func (l *Limits) Observe(k Key, a Announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, known := l.byKey[k]
	switch {
	case a.Err != nil:
		l.Log.Warn("ignoring invalid rate limit", "endpoint", k.Endpoint, "error", a.Err.Error())
	case a.Limited && !known:
		l.byKey[k] = &limit{perSecond: a.PerSecond}
		l.Log.Info("endpoint rate limit announced", "endpoint", k.Endpoint, "per_second", a.PerSecond)
	case a.Limited && current.perSecond != a.PerSecond:
		current.perSecond = a.PerSecond
		l.Log.Info("endpoint rate limit changed", "endpoint", k.Endpoint, "per_second", a.PerSecond)
	case !a.Limited && known:
		delete(l.byKey, k)
		l.Log.Info("endpoint rate limit lifted", "endpoint", k.Endpoint, "per_second", current.perSecond)
	}
}

// Active returns the number of limits in force.
func (l *Limits) Active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byKey)
}
