package scaling

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/lease"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/routing"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

const (
	// stepInterval is the maximum time between two plans.
	stepInterval = 500 * time.Millisecond
	// orderTimeout bounds one order; the lease must be valid for that long.
	orderTimeout = 800 * time.Millisecond
	// logInterval is the time between two log lines about the demand of a service.
	logInterval = 5 * time.Second
)

// Lease reports whether this process holds the duty.
type Lease interface {
	// Held returns the fencing token, and false if the lease isn't held.
	Held() (fence uint64, ok bool)
	// Do runs an action if the lease is valid for the time that the action needs.
	Do(ctx context.Context, needs time.Duration, action func(ctx context.Context, fence uint64) error) error
}

// Platform sends orders to the platform's cloud API.
type Platform interface {
	// Order sets the number of instances in a pool. It returns cloud.ErrRefused if the
	// platform has no capacity for them.
	Order(ctx context.Context, fence uint64, o Order) error
}

// LoadMeter measures the load of services.
type LoadMeter interface {
	// RequiredEngines returns the number of engines, one per instance, that the load
	// of a service needs now, and false if it hasn't been observed for long enough.
	RequiredEngines(s *routing.Service) (float64, bool)
	// RequestedWork returns the engine seconds requested of a service since the measurement began.
	RequestedWork(s *routing.Service) float64
}

// Configuration returns the current configuration, or nil if there is none yet.
type Configuration interface {
	Current() *routing.Table
}

// Options holds the dependencies of a planner. All but Metrics, ByPrice and FirstStart are required.
type Options struct {
	Config    Configuration
	Endpoints *endpoints.Table
	Load      LoadMeter
	Lease     Lease
	Store     objectstore.Store
	Platform  Platform
	Log       *slog.Logger
	Now       func() time.Time
	// Speeds holds the measured speeds of the endpoints; they are stored with the state.
	Speeds *speed.Model
	// Metrics registers the demand and capacity gauges; nil disables them.
	Metrics prometheus.Registerer
	// ByPrice gives cheaper data centres more reclaimable instances.
	ByPrice bool
	// FirstStart is true only if the whole system starts for the first time, so that no
	// requests are in progress.
	FirstStart bool
}

// Planner performs the duty of ordering capacity.
type Planner struct {
	Options
	metrics  *metrics
	wake     chan struct{}
	fence    uint64
	services map[string]*service
	// stored is the state in the object store, savedAt is when it was last written,
	// and changed is true if an order was sent since.
	stored  lease.State
	savedAt time.Time
	changed bool
}

// NewPlanner returns a planner.
func NewPlanner(o Options) *Planner {
	return &Planner{Options: o, metrics: newMetrics(o.Metrics), wake: make(chan struct{}, 1)}
}

// Wake makes the planner plan immediately. It is called when the endpoints change.
func (p *Planner) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run orders capacity while this process holds the duty, until the context is cancelled.
func (p *Planner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		t := time.NewTimer(stepInterval)
		select {
		case <-ctx.Done():
		case <-p.wake:
		case <-t.C:
		}
		t.Stop()
		if err := p.step(ctx); err != nil {
			p.Log.Warn("failed to load or save capacity state", "error", err.Error())
		}
	}
	return nil
}

func (p *Planner) step(ctx context.Context) error {
	fence, held := p.Lease.Held()
	table := p.Config.Current()
	if !held || table == nil {
		p.fence = 0
		return nil
	}
	if fence != p.fence {
		if err := p.loadState(ctx, p.Now()); err != nil {
			return err
		}
		p.fence = fence
	}
	for i := range table.Services {
		if s := &table.Services[i]; s.Scaling != nil {
			p.plan(ctx, s)
		}
	}
	if err := p.saveState(ctx, p.Now()); err != nil {
		p.fence = 0 // the stored state is unknown, so the next step loads it again
		return err
	}
	return nil
}

func (p *Planner) plan(ctx context.Context, s *routing.Service) {
	now := p.Now()
	state, ok := p.services[s.Name]
	if !ok {
		state = newService(p.FirstStart, now)
		p.services[s.Name] = state
	}
	demand, observed := p.Load.RequiredEngines(s)
	if state.unused && demand > 0 {
		state.unused = false
		if demand > state.demand {
			// Less was assumed before the first requests: take the observed demand at once. A higher
			// assumption falls slowly, as the first seconds of traffic don't tell how it goes on.
			state.demandAt = time.Time{}
		}
	}
	switch {
	case observed:
		state.smoothDemand(demand, now)
	case !state.unused && state.demandAt.IsZero():
		return // the demand is unknown
	}
	if state.unused {
		state.demand = initialDemand(s.Scaling)
	}
	refusals := len(state.refused)
	p.reportDemand(s.Name, state, now)
	want := p.issueOrders(ctx, s, state, now)
	if len(state.refused) > refusals {
		// Order replacements for the refused instances immediately.
		want = p.issueOrders(ctx, s, state, now)
	}
	p.accountFor(s, state, want, now)
}

// accountFor charges the instances of a service since the last plan.
func (p *Planner) accountFor(s *routing.Service, state *service, want map[Pool]int, now time.Time) {
	counts := poolCounts{want: want, present: p.present(s.Name), leaving: countPools(p.Endpoints.Leaving(s.Name))}
	counts.booting = state.bootingCounts(counts.present, s.Scaling.Boot, now)
	state.recordRoom(s.Scaling, counts.present, counts.leaving)
	state.account.advance(s, divide(counts, state.demand), p.Load.RequestedWork(s), p.metrics, now)
	state.account.log(p.Log, s.Name, p.fence, now)
}

// reportDemand exports the demand and the present capacity of a service, and
// logs them once per logInterval.
func (p *Planner) reportDemand(name string, state *service, now time.Time) {
	present := sum(p.present(name))
	p.metrics.demand.WithLabelValues(name).Set(state.demand)
	p.metrics.present.WithLabelValues(name).Set(float64(present))
	p.metrics.shortageShare.WithLabelValues(name).Set(state.shortages.value())
	if now.Sub(state.loggedAt) < logInterval {
		return
	}
	state.loggedAt = now
	p.Log.Info("capacity demand", "service", name, "demand", state.demand, "present", present, "refused_places", len(state.refused), "fence", p.fence)
}

// issueOrders plans a service once, sends the orders that are due and returns the plan.
func (p *Planner) issueOrders(ctx context.Context, s *routing.Service, state *service, now time.Time) map[Pool]int {
	state.recordScarcity(now)
	present := p.present(s.Name)
	want := Plan(Observation{
		Service: s.Name, Scaling: s.Scaling, Present: present, Ordered: state.orderedCounts(), Refused: state.refused,
		Demand: state.demand, Unused: state.unused,
		ByPrice: p.ByPrice, ShortageShare: state.shortages.value(), Now: now,
	})
	state.shortages.record(onDemandCount(want) > 0, now)
	for _, dc := range s.Scaling.DataCentres() {
		for _, reclaimable := range []bool{true, false} {
			pool := Pool{DataCentre: dc, Reclaimable: reclaimable}
			if count, due := state.dueOrder(pool, want, present, s.Scaling, now); due {
				p.sendOrder(ctx, state, s, Order{Service: s.Name, DataCentre: dc, Reclaimable: reclaimable, Count: count})
				// Released instances don't count as remaining when the next pool is reduced.
				present[pool] = min(present[pool], count)
			}
		}
	}
	return want
}

// onDemandCount returns the number of on-demand instances of a plan.
func onDemandCount(want map[Pool]int) int {
	total := 0
	for pool, n := range want {
		if !pool.Reclaimable {
			total += n
		}
	}
	return total
}

// present returns the number of instances of a service that accept requests, by pool.
func (p *Planner) present(name string) map[Pool]int { return countPools(p.Endpoints.Service(name)) }

// countPools returns the number of endpoints by pool.
func countPools(list []*endpoints.Endpoint) map[Pool]int {
	out := make(map[Pool]int)
	for _, e := range list {
		out[Pool{DataCentre: e.DataCentre, Reclaimable: e.Info().Reclaimable}]++
	}
	return out
}

// sendOrder sends one order under the lease and records its outcome.
func (p *Planner) sendOrder(ctx context.Context, state *service, s *routing.Service, o Order) {
	pool := Pool{DataCentre: o.DataCentre, Reclaimable: o.Reclaimable}
	err := p.Lease.Do(ctx, orderTimeout, func(ctx context.Context, fence uint64) error {
		return p.Platform.Order(ctx, fence, o)
	})
	p.Log.Info("capacity order sent", "service", o.Service, "data_centre", o.DataCentre, "reclaimable", o.Reclaimable,
		"count", o.Count, "demand", state.demand, "fence", p.fence, "error", err)
	p.changed = true
	switch {
	case err == nil:
		state.recordOrder(pool, o.Count, p.Now())
	case errors.Is(err, cloud.ErrRefused):
		state.refused[pool] = p.Now()
	}
}
