package scaling

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/routing"
)

const (
	// stepInterval is the time between two plans.
	stepInterval = 500 * time.Millisecond
	// callTime is the longest time of one order, for which the lease must last.
	callTime = 800 * time.Millisecond
	// repeatAfter is the time beyond the boot after which an order that shows no
	// instances is given again.
	repeatAfter = 3 * time.Second
	// findTime is how long no further instance must be found at the first start
	// before some are given up: they register within a heartbeat of each other.
	findTime = 1300 * time.Millisecond
	// settleTime is how long a new holder keeps the on-demand instances that it found.
	settleTime = 10 * time.Second
	// probeInterval is the time between two orders while the platform refuses them.
	probeInterval = time.Second
	// releaseAfter is how long fewer instances must be wanted before some are given up.
	releaseAfter = 6 * time.Second
	// firstShare is the part of the instances found at the first start that is
	// taken for the demand until requests show it.
	firstShare = 0.6
	// riseTime and fallTime smooth the demand: it is followed fast when it grows.
	riseTime = time.Second
	fallTime = 12 * time.Second
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
	// Engines returns the number of engines that the load of a service needs now.
	Engines(s *routing.Service) float64
}

// Config gives the configuration in force, or nil.
type Config interface {
	Current() *routing.Table
}

// Options holds what a planner is made of. All fields but FirstStart are needed.
type Options struct {
	Config    Config
	Endpoints *endpoints.Table
	Load      Load
	Lease     Lease
	Platform  Platform
	Log       *slog.Logger
	Now       func() time.Time
	// FirstStart tells that no work was under way when this process started.
	FirstStart bool
}

// Planner carries out the duty of ordering capacity.
type Planner struct {
	Options
	wake     chan struct{}
	fence    uint64
	services map[string]*service
}

// service is what the planner remembers of a service while it holds the duty.
type service struct {
	demand float64
	at     time.Time
	// unused is true until the first request ever.
	unused bool
	// found holds the instances that were there at the first start.
	found   map[string]bool
	foundAt time.Time
	// since is when this process began to plan for the service.
	since   time.Time
	ordered map[Place]order
	refused map[Place]time.Time
	// seen holds how many instances were last present.
	seen map[Place]int
	// surplus holds since when a place has had more than is wanted.
	surplus map[Place]time.Time
}

type order struct {
	count int
	at    time.Time
}

// NewPlanner returns a planner; Wake makes it plan at once.
func NewPlanner(o Options) *Planner {
	return &Planner{Options: o, wake: make(chan struct{}, 1)}
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
		p.step(ctx)
	}
	return nil
}

func (p *Planner) step(ctx context.Context) {
	fence, held := p.Lease.Held()
	table := p.Config.Current()
	if !held || table == nil {
		p.fence = 0
		return
	}
	if fence != p.fence {
		p.fence = fence
		p.services = make(map[string]*service)
	}
	for i := range table.Services {
		if s := &table.Services[i]; s.Scaling != nil {
			p.plan(ctx, s)
		}
	}
}

func (p *Planner) plan(ctx context.Context, s *routing.Service) {
	now := p.Now()
	state, ok := p.services[s.Name]
	if !ok {
		state = &service{unused: p.FirstStart, found: make(map[string]bool), since: now, ordered: make(map[Place]order), refused: make(map[Place]time.Time), surplus: make(map[Place]time.Time), seen: make(map[Place]int)}
		p.services[s.Name] = state
	}
	demand := p.Load.Engines(s)
	state.unused = state.unused && demand == 0
	if state.unused {
		state.demand = firstShare * float64(p.find(s.Name, state))
	} else {
		state.follow(demand, now)
	}
	refusals := len(state.refused)
	p.give(ctx, s, state, now)
	if len(state.refused) > refusals {
		// What was refused is made up for at once.
		p.give(ctx, s, state, now)
	}
}

// give plans once and gives the orders that are due.
func (p *Planner) give(ctx context.Context, s *routing.Service, state *service, now time.Time) {
	present := p.present(s.Name)
	want := Plan(Observation{Service: s.Name, Scaling: s.Scaling, Present: present, Refused: state.refused, Demand: state.demand, Now: now})
	for _, dc := range s.Scaling.DataCentres() {
		for _, reclaimable := range []bool{true, false} {
			place := Place{DataCentre: dc, Reclaimable: reclaimable}
			if count, due := state.due(place, want, present, s.Scaling.Boot, now); due {
				p.order(ctx, state, s, Order{Service: s.Name, DataCentre: dc, Reclaimable: reclaimable, Count: count})
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

// find notes the on-demand instances that were there at the first start, and
// returns how many there have been so far.
func (p *Planner) find(name string, s *service) int {
	for _, e := range p.Endpoints.All() {
		if e.Service == name && !e.Info().Reclaimable {
			if !s.found[e.ID] {
				s.foundAt = p.Now()
			}
			s.found[e.ID] = true
		}
	}
	return len(s.found)
}

// follow smooths the demand.
func (s *service) follow(demand float64, now time.Time) {
	if s.at.IsZero() {
		s.demand, s.at = demand, now
		return
	}
	span := fallTime
	if demand > s.demand {
		span = riseTime
	}
	share := min(1, now.Sub(s.at).Seconds()/span.Seconds())
	s.demand += share * (demand - s.demand)
	s.at = now
}

// due tells whether an order for a place is to be given, and for how many.
func (s *service) due(place Place, want, present map[Place]int, boot time.Duration, now time.Time) (int, bool) {
	wanted, have := want[place], present[place]
	last, known := s.ordered[place]
	if !known {
		last.count = have
	}
	lost := have < s.seen[place]
	s.seen[place] = have
	missing := have < wanted && (lost || now.Sub(last.at) > boot+repeatAfter)
	switch {
	case wanted > last.count || missing:
		delete(s.surplus, place)
		return wanted, !s.recently(place, now)
	case wanted < last.count && have > wanted && (place.Reclaimable || s.plenty(now)):
		return s.release(place, want, present, now)
	}
	delete(s.surplus, place)
	return 0, false
}

// plenty tells whether reclaimable instances are surely to be had: a new holder
// of the duty doesn't know yet whether they were refused.
func (s *service) plenty(now time.Time) bool {
	if s.unused {
		return now.Sub(s.foundAt) >= findTime
	}
	return now.Sub(s.since) >= settleTime && !Observation{Refused: s.refused, Now: now}.scarce()
}

// recently tells whether the platform has just refused an order for reclaimable
// instances. What it lacks in one data centre it often lacks in all, so one
// order at a time finds out whether there are some again.
func (s *service) recently(place Place, now time.Time) bool {
	if !place.Reclaimable {
		return now.Sub(s.refused[place]) < probeInterval
	}
	for at, when := range s.refused {
		if at.Reclaimable && now.Sub(when) < probeInterval {
			return true
		}
	}
	return false
}

// release gives up a surplus that has lasted, if what stays is enough without it.
func (s *service) release(place Place, want, present map[Place]int, now time.Time) (int, bool) {
	since, ok := s.surplus[place]
	if !ok {
		s.surplus[place] = now
		return 0, false
	}
	wait := releaseAfter
	if !place.Reclaimable {
		wait = stepInterval
	}
	if now.Sub(since) < wait && !s.unused {
		return 0, false
	}
	total, have := 0, 0
	for _, n := range want {
		total += n
	}
	for at, n := range present {
		have += n
		if at == place {
			have -= n - want[place]
		}
	}
	if have < total && !s.unused {
		return 0, false
	}
	delete(s.surplus, place)
	return want[place], true
}

// granted takes the news that a place has instances to give: the others may have too.
func (s *service) granted(place Place) {
	for at := range s.refused {
		if at.Reclaimable == place.Reclaimable {
			delete(s.refused, at)
		}
	}
}

// order gives one order.
func (p *Planner) order(ctx context.Context, state *service, s *routing.Service, o Order) {
	place := Place{DataCentre: o.DataCentre, Reclaimable: o.Reclaimable}
	err := p.Lease.Do(ctx, callTime, func(ctx context.Context, fence uint64) error {
		return p.Platform.Order(ctx, fence, o)
	})
	p.Log.Info("capacity ordered", "service", o.Service, "data_centre", o.DataCentre, "reclaimable", o.Reclaimable,
		"count", o.Count, "demand", state.demand, "fence", p.fence, "error", err)
	switch {
	case err == nil:
		state.ordered[place] = order{count: o.Count, at: p.Now()}
		state.granted(place)
	case errors.Is(err, cloud.ErrRefused):
		state.refused[place] = p.Now()
	}
}
