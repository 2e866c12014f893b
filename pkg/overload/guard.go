// Package overload keeps endpoints up that are sensitive to overload: they announce in their
// answers that they fail if they have to refuse more than a number of requests a second for
// want of room. The instances send such an endpoint no more than it can run, though each knows
// the others' requests only some time later.
//
// The endpoint's slots are parted among the instances by rendezvous hashing over the members.
// An instance may always use its part, and goes on with slots that its peers know it to use, as
// long as none of them needs its own part. A few instances may also use slots beyond that which
// seem free, at a rate that bounds the refusals which follow. After a refusal an instance sends
// nothing for a moment, then less than before, and slowly tries more.
//
// While an endpoint of a service is sensitive, those of which nothing is known count as such.
package overload

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/ratelimit"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// maxStates bounds the number of endpoints of which something is known.
const maxStates = 20_000

// Endpoints holds the registered endpoints.
type Endpoints interface {
	// ByID returns the endpoint that is registered under an id.
	ByID(id string) (*endpoints.Endpoint, bool)
	// Service returns the endpoints of a service that accept new requests.
	Service(name string) []*endpoints.Endpoint
}

// Options configures a Guard. All fields are required.
type Options struct {
	// Members returns the instances that share the endpoints.
	Members func() ratelimit.Membership
	// Endpoints holds the registered endpoints.
	Endpoints Endpoints
	// PeerTimeout returns the time without a message after which a peer is unreachable.
	PeerTimeout func() time.Duration
	Metrics     prometheus.Registerer
	Log         *slog.Logger
	Now         func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
}

// Guard keeps what is known of sensitive endpoints. It is safe for concurrent use.
type Guard struct {
	Options
	metrics metrics
	// states holds the *state of each endpoints.Key, and count their number, so that nothing is
	// looked up while there is none.
	states sync.Map
	count  atomic.Int64
	// services holds the least number of refusals a second that an endpoint of each sensitive
	// service withstands.
	services atomic.Pointer[map[string]float64]

	mu sync.Mutex
	// members is the newest membership, and ranking its order for each endpoint.
	members ratelimit.Membership
	ranking rendezvous.Ranking
	// shares holds this instance's parts by service.
	shares map[string]*serviceShare
	// lastReport is the last endpoint that was reported in turn.
	lastReport endpoints.Key
}

// New returns a Guard that knows of no sensitive endpoint.
func New(o Options) *Guard {
	g := &Guard{Options: o, metrics: newMetrics(o.Metrics), shares: make(map[string]*serviceShare)}
	g.services.Store(&map[string]float64{})
	return g
}

// Active returns the number of endpoints of which something is known.
func (g *Guard) Active() int { return int(g.count.Load()) }

// HasRoom reports whether a request may be sent to an endpoint now.
func (g *Guard) HasRoom(e *endpoints.Endpoint) bool {
	s, ok := g.sensitive(e)
	if !ok {
		return true
	}
	s.Lock()
	defer s.Unlock()
	return !s.sensitive() || s.share.hasRoom(g.view(e))
}

// Placed records that a request is sent to an endpoint. It is called before the request is part
// of the endpoint's load.
func (g *Guard) Placed(e *endpoints.Endpoint) {
	s, ok := g.sensitive(e)
	if !ok {
		return
	}
	s.Lock()
	defer s.Unlock()
	if s.sensitive() && s.share.placed(g.view(e)) {
		g.metrics.growths.Inc()
	}
}

// Refused records that an endpoint had no room for a request. It is called while the request
// still is part of the endpoint's load.
func (g *Guard) Refused(e *endpoints.Endpoint) {
	s, ok := g.sensitive(e)
	if !ok {
		return
	}
	s.Lock()
	defer s.Unlock()
	if s.sensitive() {
		g.metrics.refusals.Inc()
		s.share.refused(g.view(e))
	}
}

// Unanswered records that a request got no answer from an endpoint. It is called while the
// request still is part of the endpoint's load.
func (g *Guard) Unanswered(e *endpoints.Endpoint) {
	s, ok := g.sensitive(e)
	if !ok {
		return
	}
	s.Lock()
	defer s.Unlock()
	if s.sensitive() {
		s.share.unanswered(g.view(e))
	}
}

// view returns what is known of an endpoint's load.
func (g *Guard) view(e *endpoints.Endpoint) view {
	return view{now: g.Now(), slots: e.Info().Slots, own: e.OwnLoad().Running, total: e.TotalLoad().Running, spread: g.Random()}
}

// sensitive returns the state of an endpoint that is sensitive or was so lately. It adds one if
// only others of its service are known to be.
func (g *Guard) sensitive(e *endpoints.Endpoint) (*state, bool) {
	if g.Active() == 0 {
		return nil, false
	}
	if s, ok := g.states.Load(e.Key()); ok {
		return s.(*state), true
	}
	perSecond, ok := (*g.services.Load())[e.Service]
	if !ok {
		return nil, false
	}
	return g.findOrAdd(e, perSecond, g.Now())
}

// findOrAdd returns the state of an endpoint, which it adds as inherited if necessary. It
// returns false if there are too many.
func (g *Guard) findOrAdd(e *endpoints.Endpoint, perSecond float64, now time.Time) (*state, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.states.Load(e.Key()); ok {
		return s.(*state), true
	}
	if g.Active() >= maxStates {
		g.Log.Warn("ignoring sensitivity to overload", "endpoint", e.ID, "reason", "too many endpoints")
		return nil, false
	}
	if g.Active() == 0 {
		g.setMembers(g.Members())
	}
	s := &state{service: e.Service, inherited: true}
	s.share = share{perSecond: perSecond, service: g.serviceShare(e.Service), told: e.OwnLoad().Running, tokens: 1, refilledAt: now}
	s.share.position = g.ranking.Position(rendezvous.Key(e.ID))
	g.setSenders(s)
	g.states.Store(e.Key(), s)
	g.count.Add(1)
	return s, true
}

// setMembers records the members. It reports whether their order changed. The caller holds mu.
func (g *Guard) setMembers(m ratelimit.Membership) bool {
	ranking := rendezvous.NewRanking(m.Self, m.IDs)
	changed := ranking.Hash() != g.ranking.Hash()
	g.members, g.ranking = m, ranking
	return changed
}

// setSenders sets the number of instances that send an endpoint requests. The caller holds mu.
func (g *Guard) setSenders(s *state) {
	s.share.settled = g.members.Settled
	present := len(g.Endpoints.Service(s.service))
	s.share.setSenders(max(1, len(g.members.IDs)), s.share.service.countEndpoints(present))
}

// Observe records what an endpoint's answer says of its sensitivity, to a request that was sent
// at the given time. An answer lifts it only if its request was sent after the newest
// announcement, since answers may overtake each other.
func (g *Guard) Observe(e *endpoints.Endpoint, sentAt time.Time, a Announcement) {
	switch {
	case a.Err != nil:
		g.Log.Warn("ignoring invalid sensitivity to overload", "endpoint", e.ID, "error", a.Err.Error())
	case a.Sensitive:
		g.announced(e, a.PerSecond, g.Now())
		g.answered(e, sentAt)
	default:
		g.lifted(e, sentAt)
	}
}

// announced records that an endpoint announced its sensitivity at the given time.
func (g *Guard) announced(e *endpoints.Endpoint, perSecond float64, at time.Time) {
	s, ok := g.findOrAdd(e, perSecond, g.Now())
	if !ok {
		return
	}
	s.Lock()
	changed := s.announce(perSecond, at, g.Now())
	s.Unlock()
	if changed {
		g.Log.Info("endpoint sensitive to overload", "endpoint", e.ID, "service", e.Service, "refusals_per_second", perSecond)
		g.addService(e.Service, perSecond)
	}
}

// answered records an answer of a sensitive endpoint.
func (g *Guard) answered(e *endpoints.Endpoint, sentAt time.Time) {
	if s, ok := g.sensitive(e); ok {
		s.Lock()
		defer s.Unlock()
		s.share.answered(sentAt)
	}
}

// lifted records that an endpoint did not announce its sensitivity at the given time.
func (g *Guard) lifted(e *endpoints.Endpoint, at time.Time) {
	s, ok := g.sensitive(e)
	if !ok {
		return
	}
	s.Lock()
	changed := s.lift(at, g.Now())
	s.Unlock()
	if changed {
		g.Log.Info("endpoint no longer sensitive to overload", "endpoint", e.ID, "service", e.Service)
		g.removeService(e.Service)
	}
}

// each calls a function for each state, with its lock.
func (g *Guard) each(visit func(k endpoints.Key, s *state)) {
	g.states.Range(func(k, v any) bool {
		s := v.(*state)
		s.Lock()
		defer s.Unlock()
		visit(k.(endpoints.Key), s)
		return true
	})
}

// Tick updates this instance's parts and drops what is out of date. It must be called as often
// as messages are sent to the peers.
func (g *Guard) Tick() {
	if g.Active() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateStates()
	g.updateServices()
}

// updateStates updates this instance's parts and drops what is out of date. The caller holds mu.
func (g *Guard) updateStates() {
	now := g.Now()
	changed := g.setMembers(g.Members())
	services := *g.services.Load()
	hasPart := make(map[string]bool)
	g.each(func(k endpoints.Key, s *state) {
		_, inherits := services[s.service]
		if s.inherited && !inherits || !s.inherited && s.outdated(now) {
			g.states.Delete(k)
			g.count.Add(-1)
			return
		}
		if changed {
			s.share.position = g.ranking.Position(rendezvous.Key(k.ID))
		}
		g.setSenders(s)
		slots := 0
		s.share.told = 0
		if e, ok := g.Endpoints.ByID(k.ID); ok && e.Key() == k {
			slots, s.share.told = e.Info().Slots, e.OwnLoad().Running
		}
		hasPart[s.service] = hasPart[s.service] || s.share.part(slots) > 0
	})
	g.updateShares(hasPart)
}
