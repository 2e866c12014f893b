// Package ratelimit keeps the rate limits that endpoints announce in their answers, and
// shares them among the instances. A limit is the number of requests a second that an
// endpoint takes from all instances together, for as long as it announces it.
//
// The instances that may use an endpoint's limit are chosen by rendezvous hashing over
// the members, so many that each may save up a request without exceeding the limit; each
// has an equal part of the rate, in a token bucket of its own. No message is needed to
// keep the limit: a member that is silent keeps its part until it is known to have left.
// Only that a limit was announced or lifted is told to the peers.
package ratelimit

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 200 * time.Millisecond
	// maxTickAge is the time since the last tick after which this instance uses no limited
	// endpoint: it did not run for a while, and its shares may be out of date.
	maxTickAge = time.Second
	// unknownRate is the rate of a limit until its first announcement is recorded.
	unknownRate = -1
	// maxLimits bounds the number of limits that are kept.
	maxLimits = 20_000
	// maxWait bounds the time after which a caller is asked to come back.
	maxWait = 5 * time.Second
)

// Membership is the set of instances that share the limits.
type Membership struct {
	// Self is the id of this instance, and IDs holds those of all members, Self included.
	Self string
	IDs  []string
	// Settled is true if all other members know this instance as one.
	Settled bool
}

func (m Membership) ranking() rendezvous.Ranking { return rendezvous.NewRanking(m.Self, m.IDs) }

// Options configures Limits. All fields are required.
type Options struct {
	Members func() Membership
	Metrics *Metrics
	Log     *slog.Logger
	Now     func() time.Time
}

// Limits holds the rate limits in force, by endpoint. It is safe for concurrent use.
type Limits struct {
	Options
	// active holds the *guardedLimit of each endpoints.Key, and count their number, so that
	// nothing is looked up while there is none.
	active sync.Map
	count  atomic.Int64

	mu sync.Mutex
	// lastTick is the time of the newest tick.
	lastTick time.Time
	// membersHash identifies the members for which the ranks were computed.
	membersHash uint64
	reporter    reporter
}

// guardedLimit is a limit with its lock.
type guardedLimit struct {
	sync.Mutex
	limit
}

// New returns Limits without a limit in force.
func New(o Options) *Limits {
	return &Limits{Options: o, lastTick: o.Now()}
}

// Active returns the number of limits in force.
func (l *Limits) Active() int { return int(l.count.Load()) }

// Sent records that a request was sent to an endpoint; repeated means that the same
// request was sent to another endpoint before.
func (l *Limits) Sent(k endpoints.Key, repeated bool) {
	if _, ok := l.find(k); ok {
		l.Metrics.recordSend(repeated)
	}
}

func (l *Limits) find(k endpoints.Key) (*guardedLimit, bool) {
	if l.Active() == 0 {
		return nil, false
	}
	g, ok := l.active.Load(k)
	if !ok {
		return nil, false
	}
	return g.(*guardedLimit), true
}

// all calls a function for each limit.
func (l *Limits) all(visit func(k endpoints.Key, g *guardedLimit)) {
	l.active.Range(func(k, g any) bool {
		visit(k.(endpoints.Key), g.(*guardedLimit))
		return true
	})
}

// Available reports whether a request may be sent to an endpoint now.
func (l *Limits) Available(k endpoints.Key) bool {
	return l.use(k, (*limit).available)
}

// Take takes a request from this instance's share of an endpoint's limit. It reports
// whether the request may be sent.
func (l *Limits) Take(k endpoints.Key) bool {
	return l.use(k, (*limit).take)
}

// use calls a function of an endpoint's limit, if there is one.
func (l *Limits) use(k endpoints.Key, try func(*limit, time.Time) bool) bool {
	g, ok := l.find(k)
	if !ok {
		return true
	}
	now := l.Now()
	if l.outOfDate(now) {
		return false
	}
	g.Lock()
	defer g.Unlock()
	return try(&g.limit, now)
}

// outOfDate reports whether this instance did not run for a while.
func (l *Limits) outOfDate(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastTick) > maxTickAge
}

// Wait returns the time until an endpoint is expected to take a request again.
func (l *Limits) Wait(k endpoints.Key) time.Duration {
	g, ok := l.find(k)
	if !ok {
		return 0
	}
	g.Lock()
	defer g.Unlock()
	return min(maxWait, g.wait(l.Now()))
}

// Observe records what an endpoint's answer says of its limit, to a request that was sent
// at the given time. An answer lifts a limit only if its request was sent after the limit
// was last announced, since answers may overtake each other.
func (l *Limits) Observe(k endpoints.Key, sentAt time.Time, a Announcement) {
	switch {
	case a.Err != nil:
		l.Log.Warn("ignoring invalid rate limit", "endpoint", k.ID, "error", a.Err.Error())
	case a.Limited:
		l.announced(k, a.PerSecond, l.Now())
	default:
		if g, ok := l.find(k); ok {
			l.lifted(g, k, sentAt)
		}
	}
}

// announced records that an endpoint announced a limit at the given time.
func (l *Limits) announced(k endpoints.Key, perSecond float64, at time.Time) {
	g, ok := l.findOrAdd(k, at)
	if !ok {
		return
	}
	g.Lock()
	defer g.Unlock()
	if g.announce(perSecond, at, l.Now()) {
		l.Log.Info("endpoint rate limit announced", "endpoint", k.ID, "per_second", perSecond)
	}
}

// findOrAdd returns the limit of an endpoint, which it adds if necessary. It returns false
// if there are too many.
func (l *Limits) findOrAdd(k endpoints.Key, at time.Time) (*guardedLimit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g, ok := l.find(k); ok {
		return g, true
	}
	if l.Active() >= maxLimits {
		l.Log.Warn("ignoring rate limit", "endpoint", k.ID, "reason", "too many limits")
		return nil, false
	}
	g := &guardedLimit{limit: limit{perSecond: unknownRate, announcedAt: at, refilledAt: l.Now()}}
	g.rank = l.Members().ranking().Position(rendezvous.Key(k.ID))
	l.active.Store(k, g)
	l.count.Add(1)
	return g, true
}

// lifted records that an endpoint no longer announced its limit at the given time.
func (l *Limits) lifted(g *guardedLimit, k endpoints.Key, at time.Time) {
	g.Lock()
	defer g.Unlock()
	if g.lift(at, l.Now()) {
		l.Log.Info("endpoint rate limit lifted", "endpoint", k.ID, "per_second", g.perSecond)
	}
}

// Tick updates the shares of this instance, and drops the limits that were lifted long
// enough ago. It must be called every TickInterval.
func (l *Limits) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	pause := now.Sub(l.lastTick)
	l.lastTick = now
	if l.Active() == 0 {
		return
	}
	m := l.Members()
	ranking := m.ranking()
	membersChanged := ranking.Hash() != l.membersHash
	l.membersHash = ranking.Hash()
	l.all(func(k endpoints.Key, g *guardedLimit) {
		g.Lock()
		defer g.Unlock()
		if pause > maxTickAge {
			g.postpone(pause)
		}
		if membersChanged {
			g.rank = ranking.Position(rendezvous.Key(k.ID))
		}
		if !g.refresh(now) {
			l.active.Delete(k)
			l.count.Add(-1)
			return
		}
		g.setShare(len(m.IDs), m.Settled, now)
	})
}
