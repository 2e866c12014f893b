package rollout

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// unknownTimeout is the longest time in which a version waits until it is known whether an order
// names it, if no other one serves. A change of the orders is known within it even if all relays of
// watches fail.
const unknownTimeout = 1500 * time.Millisecond

// Endpoints lists the registered endpoints.
type Endpoints interface {
	// All returns every registered endpoint.
	All() []*endpoints.Endpoint
	// Service returns the endpoints of a service that accept new requests.
	Service(name string) []*endpoints.Endpoint
}

// Options configures a Registry. All fields but Delay are required.
type Options struct {
	Config    Config
	Decode    Decode
	Endpoints Endpoints
	// Delay returns for how long this process has been held up itself since its start; nil if that
	// isn't measured. That part of an answer's time isn't the endpoint's.
	Delay   func() time.Duration
	Metrics prometheus.Registerer
	Log     *slog.Logger
	Now     func() time.Time
}

// Registry is what one instance knows of the rollouts, and which versions its requests may use. It
// is safe for concurrent use; each service has a lock of its own.
type Registry struct {
	Options
	metrics *metrics

	mu       sync.Mutex
	orders   *orders
	services sync.Map
	// confirmedAt is up to when all changes of the orders are known; synced is true once they were read.
	confirmedAt time.Time
	synced      bool
	// nextDirective and nextReport are the positions of the services that the next message begins with.
	nextDirective, nextReport int
}

// service is the state of one service. Its lock isn't held during calls of other packages.
type service struct {
	name string
	rule atomic.Pointer[rule]

	mu    sync.Mutex
	order *Order
	// directive is the newest one, which was issued at issuedAt.
	directive *Directive
	issuedAt  time.Time
	// seen holds when the registered versions were first seen, admitted those that were in force
	// without an order.
	seen     map[string]time.Time
	admitted map[string]bool
	// coldUntil holds until when endpoints are slow after their start, by id.
	coldUntil map[string]time.Time
	// baseline holds the versions in force when the order came, as this instance saw it, and dropped
	// those of orders that were replaced or withdrawn.
	baseline []string
	dropped  map[string]bool
	// movedAt is since when this instance sends all requests to the new version; zero if it doesn't.
	movedAt time.Time
	counts  counts
}

// New returns a registry that knows no orders.
func New(o Options) *Registry {
	if o.Delay == nil {
		o.Delay = func() time.Duration { return 0 }
	}
	r := &Registry{Options: o, orders: newOrders(o.Decode, o.Log, o.Now)}
	r.metrics = newMetrics(o.Metrics, o.Delay)
	return r
}

// service returns the state of a service, which it creates if necessary.
func (r *Registry) service(name string) *service {
	if known, ok := r.services.Load(name); ok {
		return known.(*service)
	}
	s := &service{name: name, seen: make(map[string]time.Time), admitted: make(map[string]bool), dropped: make(map[string]bool), coldUntil: make(map[string]time.Time), counts: newCounts()}
	s.rule.Store(&rule{})
	known, _ := r.services.LoadOrStore(name, s)
	return known.(*service)
}

// all returns the services, by name.
func (r *Registry) all() []*service {
	var list []*service
	r.services.Range(func(_, s any) bool {
		list = append(list, s.(*service))
		return true
	})
	slices.SortFunc(list, func(a, b *service) int { return strings.Compare(a.name, b.name) })
	return list
}

// Apply takes changes of the orders in the store in.
func (r *Registry) Apply(c objectstore.Changes) {
	r.mu.Lock()
	r.orders.apply(c)
	r.synced = true
	r.setOrders()
	r.mu.Unlock()
	r.Refresh()
}

// Confirmed records up to when all changes of the orders are known.
func (r *Registry) Confirmed(at time.Time) {
	r.mu.Lock()
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
	r.mu.Unlock()
}

// setOrders gives each service its order. The caller holds the lock.
func (r *Registry) setOrders() {
	orders := r.orders.byService()
	for name := range orders {
		r.service(name)
	}
	for _, s := range r.all() {
		var order *Order
		if o, ok := orders[s.name]; ok {
			order = &o
		}
		s.setOrder(order)
	}
}

// setOrder sets the order in the store; nil if there is none.
func (s *service) setOrder(order *Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adoptIdentity(order)
	if s.order != nil && (order == nil || order.ID() != s.order.ID()) {
		s.endOrder(*s.order)
	}
	if order != nil && (s.order == nil || order.ID() != s.order.ID()) {
		s.baseline = s.inForce(order.To)
		s.counts.begin(order.ID(), order.To)
		s.movedAt = time.Time{}
		delete(s.dropped, order.To)
	}
	s.order = order
}

// adoptIdentity gives an order that was written again after a rollback of the store the identity
// under which the holder knows it.
func (s *service) adoptIdentity(order *Order) {
	d := s.directive
	if order == nil || d == nil || d.Created == order.Created || objectstore.History(d.Version) >= order.history() {
		return
	}
	if d.To == order.To && d.DurationMS == order.Duration.Milliseconds() {
		order.Created = d.Created
	}
}

// endOrder drops the version of an order that is replaced, or was withdrawn before its end.
func (s *service) endOrder(last Order) {
	finished := last.Status == Status{State: Done, To: last.To} || s.stageOf(last) == Finished
	if !finished {
		s.dropped[last.To] = true
		return
	}
	s.admitted = map[string]bool{last.To: true}
}

// stageOf returns the stage of an order, by the newest directive or the order's status.
func (s *service) stageOf(o Order) Stage {
	if d := s.directive; d != nil && d.order() == o.ID() {
		return d.Stage
	}
	if o.Status.To == o.To && o.Status.State == Done {
		return Finished
	}
	if o.Status.To == o.To && o.Status.State == RolledBack {
		return Reverted
	}
	return Observing
}

// inForce returns the versions that are in force, without an ordered one, or only that one if
// no other is.
func (s *service) inForce(to string) []string {
	var list []string
	for v := range s.seen {
		if (len(s.admitted) == 0 || s.admitted[v]) && !s.dropped[v] {
			list = append(list, v)
		}
	}
	slices.Sort(list)
	if others := without(list, to); len(others) > 0 {
		return others
	}
	return list
}

// InProgress reports whether an order is in force that hasn't ended: answers are compared.
func (r *Registry) InProgress() bool {
	return slices.ContainsFunc(r.all(), func(s *service) bool {
		stage := s.rule.Load().stage
		return stage == Observing || stage == Moving
	})
}

// lost reports whether the store has lost an order that still is in force.
func (r *Registry) lost(o Order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orders.isMissing(o)
}

// recordStatus records a status that was written.
func (r *Registry) recordStatus(o Order, s Status, version uint64) {
	r.mu.Lock()
	for key, known := range r.orders.known {
		if known.ID() == o.ID() && version > known.Version {
			known.Status, known.Version = s, version
			r.orders.known[key] = known
		}
	}
	r.setOrders()
	r.mu.Unlock()
	r.Refresh()
}

// registered is what is registered of a service: the versions, and the times for which endpoints still
// are slow after their start.
type registered struct {
	versions map[string]bool
	warmups  map[string]time.Duration
}

// Refresh takes the registered endpoints in, and brings the rules up to date. It is called after
// changes and at intervals.
func (r *Registry) Refresh() {
	found := make(map[string]registered)
	for _, e := range r.Endpoints.All() {
		of, ok := found[e.Service]
		if !ok {
			of = registered{versions: make(map[string]bool), warmups: make(map[string]time.Duration)}
			found[e.Service] = of
		}
		of.versions[e.Version()] = true
		if warmup := e.Info().Warmup; warmup > 0 {
			of.warmups[e.ID] = warmup
		}
	}
	r.mu.Lock()
	if len(r.orders.missing) > 0 {
		r.orders.expire()
		r.setOrders()
	}
	for name := range found {
		r.service(name)
	}
	view := ordersView{synced: r.synced, confirmedAt: r.confirmedAt}
	if r.orders.incomplete() {
		view.confirmedAt = time.Time{}
	}
	r.mu.Unlock()
	for _, s := range r.all() {
		s.refresh(r, found[s.name], view)
	}
}

// ordersView says how much is known of the orders: whether they were read at all, and up to when all
// changes are known.
type ordersView struct {
	synced      bool
	confirmedAt time.Time
}

// tick brings up to date what changes with the time alone.
func (r *Registry) tick() {
	r.mu.Lock()
	waiting := len(r.orders.missing) > 0
	r.mu.Unlock()
	list := r.all()
	if waiting || slices.ContainsFunc(list, (*service).hasUnknown) {
		r.Refresh()
		return
	}
	for _, s := range list {
		if s.rule.Load().stage != 0 {
			s.refreshRule(r)
		}
	}
}

// hasUnknown reports whether a version waits to be admitted.
func (s *service) hasUnknown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v := range s.seen {
		if s.order == nil && !s.admitted[v] {
			return true
		}
	}
	return false
}

// refresh takes the registered versions in, and brings the rule up to date.
func (s *service) refresh(r *Registry, found registered, view ordersView) {
	now := r.Now()
	s.mu.Lock()
	s.setWarmups(found.warmups, now)
	for v := range found.versions {
		if _, known := s.seen[v]; !known {
			s.seen[v] = now
		}
	}
	for v := range s.seen {
		if !found.versions[v] {
			delete(s.seen, v)
		}
	}
	s.admit(now, view)
	s.mu.Unlock()
	s.refreshRule(r)
}

// setWarmups records until when endpoints are slow. A registration may not be repeated when that ends.
func (s *service) setWarmups(warmups map[string]time.Duration, now time.Time) {
	for id, left := range warmups {
		if _, known := s.coldUntil[id]; !known {
			s.coldUntil[id] = now.Add(left)
		}
	}
	for id := range s.coldUntil {
		if warmups[id] == 0 {
			delete(s.coldUntil, id)
		}
	}
}

// refreshRule brings the rule up to date.
func (s *service) refreshRule(r *Registry) {
	list := r.Endpoints.Service(s.name)
	now := r.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.buildRule(list, r.Config.validity())
	s.followMove(next, now)
	s.rule.Store(next)
}

// admit admits the versions that no order names, unless there is an order: then versions change by
// orders only.
func (s *service) admit(now time.Time, view ordersView) {
	if s.order != nil {
		if len(s.baseline) == 0 {
			s.baseline = s.inForce(s.order.To) // the order was known before the endpoints
		}
		return
	}
	for v := range s.admitted {
		if _, registered := s.seen[v]; !registered {
			delete(s.admitted, v)
		}
	}
	serves := len(s.admitted) > 0
	for v, since := range s.seen {
		if view.confirmedAt.After(since) || !serves && (view.synced || now.Sub(since) >= unknownTimeout) {
			s.admitted[v] = true
		}
	}
}

// buildRule returns the rule that follows from what is known.
func (s *service) buildRule(list []*endpoints.Endpoint, validity time.Duration) *rule {
	out := &rule{refused: make(map[string]bool)}
	for v := range s.dropped {
		out.refused[v] = true
	}
	if d := s.directive; d != nil {
		refuseDropped(out, d)
	}
	if s.order == nil {
		out.admitted = maps.Clone(s.admitted)
		return out
	}
	out.order, out.to = s.order.ID(), s.order.To
	out.stage = s.stageOf(*s.order)
	baseline := s.baseline
	if d := s.directive; d != nil && d.order() == out.order {
		baseline = d.Baseline
		out.share, out.validUntil = d.Share, s.issuedAt.Add(validity)
	}
	out.baseline = make(map[string]bool, len(baseline))
	for _, v := range baseline {
		out.baseline[v] = true
	}
	out.stopped = s.counts.bad != ""
	if out.stage == Observing {
		out.observed = observedEndpoints(list, out.to, out.share)
	}
	delete(out.refused, out.to)
	return out
}

// refuseDropped refuses the versions that a directive says get nothing, and that of an order that
// isn't finished, which this instance may not know yet, or not any more.
func refuseDropped(out *rule, d *Directive) {
	for _, v := range d.Dropped {
		out.refused[v] = true
	}
	if d.Stage != Finished {
		out.refused[d.To] = true
	}
}

// followMove records since when all requests go to the new version.
func (s *service) followMove(next *rule, now time.Time) {
	if !next.moves(now) {
		s.movedAt = time.Time{}
	} else if s.movedAt.IsZero() {
		s.movedAt = now
	}
}
