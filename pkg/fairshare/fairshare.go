// Package fairshare decides which workspaces ask for more than their fair share of a service's
// capacity while it lacks capacity. Instances exchange cumulative counts of the demand, so that
// each of them knows what all workspaces ask of all instances together.
package fairshare

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// minSilence is the least time without a message after which a peer no longer counts.
	minSilence = 5 * time.Second
	// silentRounds is the number of rounds of messages that a peer may miss in large fleets, in which
	// a round takes longer than minSilence.
	silentRounds = 2
	// sourceTimeout is the time after which the counts of a silent peer are dropped.
	sourceTimeout = time.Minute
	// dropInterval is the time between two searches for counts that can be dropped.
	dropInterval = 10 * time.Second
	// ignoredLogInterval is the least time between two log lines on reports that can't be decoded.
	ignoredLogInterval = time.Minute
)

// Class is a set of requests that compete with each other: those for one service whose demand is
// measured in the same unit, calls or seconds of engine time.
type Class struct {
	Service string
	Calls   bool
}

// Request is what has to be known of a request.
type Request struct {
	Class Class
	// Priority is 0 for the most urgent requests.
	Priority  int
	Workspace string
	// Work is its engine time in seconds, or 1 for a call.
	Work float64
}

// Standing tells how a request is treated while its class lacks capacity.
type Standing struct {
	// Behind is true if the request waits behind those of the same priority whose workspaces are
	// within their fair share.
	Behind bool
	// Over is true if the workspace is over its fair share while requests of this priority or a
	// more urgent one are refused or late. The request is placed at once only if it leaves room.
	Over bool
	// Excess is true if the request is also part of what exceeds the fair share. It is refused
	// unless an endpoint is idle.
	Excess bool
}

// Options configures Shares. Metrics may be nil, and RoundTime and Random may be left out.
type Options struct {
	Metrics prometheus.Registerer
	Log     *slog.Logger
	Now     func() time.Time
	// RoundTime returns the time in which every reachable peer sends one message.
	RoundTime func() time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
}

// Shares holds the demand of all workspaces by class. It is safe for concurrent use.
type Shares struct {
	Options
	metrics *metrics

	mu      sync.RWMutex
	classes map[Class]*class

	sourcesMu sync.Mutex
	// heard holds when each peer was last heard of, by the name of its process.
	heard     map[string]time.Time
	droppedAt time.Time
	ignoredAt time.Time
}

// New returns Shares without counts.
func New(o Options) *Shares {
	if o.RoundTime == nil {
		o.RoundTime = func() time.Duration { return 0 }
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	s := &Shares{Options: o, classes: make(map[Class]*class), heard: make(map[string]time.Time), droppedAt: o.Now()}
	s.metrics = newMetrics(o.Metrics, s)
	return s
}

// key returns the hash by which messages name a workspace.
func key(workspace string) uint32 { return uint32(xxhash.Sum64String(workspace)) }

// class returns the state of a class and creates it if necessary.
func (s *Shares) class(c Class) *class {
	if known := s.known(c); known != nil {
		return known
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.classes[c]
	if !ok {
		v = newClass(s.Now())
		s.classes[c] = v
	}
	return v
}

// known returns the state of a class; nil if this instance was never asked for it.
func (s *Shares) known(c Class) *class {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.classes[c]
}

// Arrived records a new request, whether it is placed or refused, and returns how it is treated.
func (s *Shares) Arrived(r Request) Standing {
	v, now, k := s.class(r.Class), s.Now(), key(r.Workspace)
	v.mu.Lock()
	v.arrived(k, r, now)
	changed := v.refresh(now)
	excess, behind := v.plan.standing(k, r.Priority)
	active, over := v.active, v.overNames()
	v.mu.Unlock()
	if changed {
		s.logChange(r.Class, active, over)
	}
	return Standing{Behind: behind, Over: excess > 0, Excess: excess > 0 && s.Random() < excess}
}

// Lacked records a request that was refused, or answered late, for lack of capacity.
func (s *Shares) Lacked(r Request) {
	s.record(r.Class, func(v *class, now time.Time) { v.shortage(r.Priority).lacking.record(r.Work, now) })
}

// Waited records a request that waits for capacity.
func (s *Shares) Waited(r Request, behind bool) {
	if behind {
		s.metrics.behind.WithLabelValues(r.Class.Service).Inc()
	}
	s.record(r.Class, func(v *class, now time.Time) { v.waiting.record(r.Work, now) })
}

// Refused records a request that was refused since its workspace asks for more than its fair share.
func (s *Shares) Refused(r Request) {
	s.metrics.refused.WithLabelValues(r.Class.Service).Inc()
	s.record(r.Class, func(v *class, now time.Time) { v.shortage(r.Priority).refused.record(r.Work, now) })
}

// record changes the counts of a class.
func (s *Shares) record(c Class, change func(v *class, now time.Time)) {
	v, now := s.class(c), s.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	change(v, now)
}

// logChange logs that a class begins or no longer has workspaces over their fair share.
func (s *Shares) logChange(c Class, active bool, over []string) {
	if active {
		s.Log.Info("workspaces over their fair share give way", "service", c.Service, "calls", c.Calls, "workspaces", over)
		return
	}
	s.Log.Info("no workspace over its fair share gives way any more", "service", c.Service, "calls", c.Calls)
}

// Peers returns the number of peers whose counts were received in the last minute.
func (s *Shares) Peers() int {
	s.sourcesMu.Lock()
	defer s.sourcesMu.Unlock()
	n := 0
	for _, at := range s.heard {
		if s.Now().Sub(at) <= sourceTimeout {
			n++
		}
	}
	return n
}

// all returns the classes.
func (s *Shares) all() map[Class]*class {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[Class]*class, len(s.classes))
	for c, v := range s.classes {
		out[c] = v
	}
	return out
}
