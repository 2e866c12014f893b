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
	// stepInterval is the longest time between two plans.
	stepInterval = 500 * time.Millisecond
	// callTime is the longest time of one order, for which the lease must last.
	callTime = 800 * time.Millisecond
	// showInterval is the time between two log lines on the demand of a service.
	showInterval = 5 * time.Second
)

// Lease tells whether this process holds the duty.
type Lease interface {
	Held() (fence uint64, ok bool)
	Do(ctx context.Context, needs time.Duration, action func(ctx context.Context, fence uint64) error) error
}

// Platform takes orders. An error may be cloud.ErrRefused.
type Platform interface {
	Order(ctx context.Context, fence uint64, o Order) error
}

// Load is what a service's load needs.
type Load interface {
	// Engines returns the number of engines that the load of a service needs now;
	// false if it hasn't been observed for long enough.
	RequiredEngines(s *routing.Service) (float64, bool)
}

// Config gives the configuration in force, or nil.
type Config interface {
	Current() *routing.Table
}

// Options holds what a planner is made of. All fields but Metrics and FirstStart are needed.
type Options struct {
	Config    Config
	Endpoints *endpoints.Table
	Load      Load
	Lease     Lease
	Store     objectstore.Store
	Platform  Platform
	Log       *slog.Logger
	Now       func() time.Time
	// Speeds holds what was learnt of the endpoints, which is handed on.
	Speeds *speed.Model
	// Metrics is where the demand and the capacity are shown; nil for nowhere.
	Metrics prometheus.Registerer
	// FirstStart tells that no work was under way when this process started.
	FirstStart bool
}

// Planner carries out the duty of ordering capacity.
type Planner struct {
	Options
	metrics  *metrics
	wake     chan struct{}
	fence    uint64
	services map[string]*service
	// stored holds what is handed on, saved is when it was written last, and
	// changed tells whether there was an order since.
	stored  lease.State
	saved   time.Time
	changed bool
}

// NewPlanner returns a planner; Wake makes it plan at once.
func NewPlanner(o Options) *Planner {
	return &Planner{Options: o, metrics: newMetrics(o.Metrics), wake: make(chan struct{}, 1)}
}

// Wake makes the planner plan at once, after a change of the endpoints.
func (p *Planner) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run orders capacity, while this process holds the duty, until the context ends.
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
			p.Log.Warn("capacity state not handed on", "error", err.Error())
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
		if err := p.load(ctx, p.Now()); err != nil {
			return err
		}
		p.fence = fence
	}
	for i := range table.Services {
		if s := &table.Services[i]; s.Scaling != nil {
			p.plan(ctx, s)
		}
	}
	if err := p.save(ctx, p.Now()); err != nil {
		p.fence = 0 // what is stored isn't known: read it again
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
	state.unused = state.unused && demand == 0
	switch {
	case observed:
		state.follow(demand, now)
	case !state.unused && state.at.IsZero():
		return // nothing is known of the demand
	}
	if state.unused {
		state.demand = firstDemand(s.Scaling)
	}
	refusals := len(state.refused)
	p.show(s.Name, state, now)
	p.give(ctx, s, state, now)
	if len(state.refused) > refusals {
		// What was refused is made up for at once.
		p.give(ctx, s, state, now)
	}
}

// show tells what the plans of a service go by.
func (p *Planner) show(name string, state *service, now time.Time) {
	present := sum(p.present(name))
	p.metrics.demand.WithLabelValues(name).Set(state.demand)
	p.metrics.present.WithLabelValues(name).Set(float64(present))
	if now.Sub(state.shown) < showInterval {
		return
	}
	state.shown = now
	p.Log.Info("capacity demand", "service", name, "demand", state.demand, "present", present, "refused_places", len(state.refused), "fence", p.fence)
}

// give plans once and gives the orders that are due.
func (p *Planner) give(ctx context.Context, s *routing.Service, state *service, now time.Time) {
	present := p.present(s.Name)
	want := Plan(Observation{Service: s.Name, Scaling: s.Scaling, Present: present, Ordered: state.counts(), Refused: state.refused, Demand: state.demand, Now: now})
	for _, dc := range s.Scaling.DataCentres() {
		for _, reclaimable := range []bool{true, false} {
			place := Place{DataCentre: dc, Reclaimable: reclaimable}
			if count, due := state.due(place, want, present, s.Scaling, now); due {
				p.order(ctx, state, s, Order{Service: s.Name, DataCentre: dc, Reclaimable: reclaimable, Count: count})
				// What was given up can't make up for what is given up next.
				present[place] = min(present[place], count)
			}
		}
	}
}

// present counts the instances of a service that take work.
func (p *Planner) present(name string) map[Place]int {
	out := make(map[Place]int)
	for _, e := range p.Endpoints.Service(name) {
		out[Place{DataCentre: e.DataCentre, Reclaimable: e.Info().Reclaimable}]++
	}
	return out
}

// order gives one order.
func (p *Planner) order(ctx context.Context, state *service, s *routing.Service, o Order) {
	place := Place{DataCentre: o.DataCentre, Reclaimable: o.Reclaimable}
	err := p.Lease.Do(ctx, callTime, func(ctx context.Context, fence uint64) error {
		return p.Platform.Order(ctx, fence, o)
	})
	p.Log.Info("capacity ordered", "service", o.Service, "data_centre", o.DataCentre, "reclaimable", o.Reclaimable,
		"count", o.Count, "demand", state.demand, "fence", p.fence, "error", err)
	p.changed = true
	switch {
	case err == nil:
		state.ordered[place] = order{count: o.Count, at: p.Now()}
		state.granted(place)
	case errors.Is(err, cloud.ErrRefused):
		state.refused[place] = p.Now()
	}
}
