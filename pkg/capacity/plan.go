package capacity

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
)

// ActionKind is the kind of an action.
type ActionKind string

// The kinds of actions.
const (
	// ActionStart starts the instance of a slot.
	ActionStart ActionKind = "start"
	// ActionStop stops a drained instance.
	ActionStop ActionKind = "stop"
	// ActionOrder sends an order to an endpoint.
	ActionOrder ActionKind = "order"
)

// Action is one step towards the planned capacity. The state of the plan has
// to be stored before its actions are executed.
type Action struct {
	Kind    ActionKind
	Service string
	// Start is set for starts.
	Start cloud.StartRequest
	// Instance is set for stops and orders.
	Instance string
	// Addr and Order are set for orders.
	Addr  string
	Order engine.Order
}

// unit is an instance, or a pending start, as counted by the planner.
type unit struct {
	id          string
	dataCentre  string
	reclaimable bool
	ready       bool
	// active is false if the unit is leaving, draining or in a closed data centre.
	active   bool
	draining bool
	addr     string
	load     *engine.Load
}

// requests returns the number of running and waiting requests, and whether it is known.
func (u *unit) requests() (int, bool) {
	if u.load == nil {
		return 0, false
	}
	return u.load.Running + u.load.Waiting, true
}

// service is the plan of one service.
type service struct {
	cfg     *config.Service
	bounds  config.Capacity
	units   []unit
	history *serviceHistory
	// demand is the forecast number of concurrent requests.
	demand float64
	// wanted is the number of instances that the demand needs.
	wanted int
}

// planner holds the working state of one plan.
type planner struct {
	Snapshot
	tuning  Tuning
	state   State
	preset  *config.Preset
	random  func() float64
	actions []Action
	// pendingLoads is the number of model loads that are in progress or planned.
	pendingLoads int
}

// Plan returns the next state and the actions that lead to it. The random function
// returns numbers from 0 to 1.
func Plan(s Snapshot, st State, t Tuning, random func() float64) (State, []Action) {
	p := &planner{Snapshot: s, tuning: t, state: st.Clone(), random: random}
	preset, ok := s.Envelope.Document.PresetByName(s.Envelope.Preset)
	if !ok {
		return p.state, nil
	}
	p.preset = preset
	p.reconcile()
	services := p.services()
	for _, svc := range services {
		p.drainClosed(svc)
		p.scaleDown(svc)
	}
	p.planOrders(services)
	p.planStarts(services)
	p.planStops(services)
	return p.state, p.actions
}

// services returns the services that have capacity bounds in the preset, those with
// the largest missing share of instances first.
func (p *planner) services() []*service {
	var out []*service
	for _, bounds := range p.preset.Capacity {
		cfg, ok := p.Envelope.Document.ServiceByName(bounds.Service)
		if !ok {
			continue
		}
		svc := &service{cfg: cfg, bounds: bounds, history: p.state.history(cfg.Name)}
		svc.units = p.units(svc)
		p.updateDemand(svc)
		out = append(out, svc)
	}
	slices.SortStableFunc(out, func(a, b *service) int {
		return cmp.Or(cmp.Compare(b.missingShare(), a.missingShare()), cmp.Compare(b.cfg.Priority, a.cfg.Priority), strings.Compare(a.cfg.Name, b.cfg.Name))
	})
	return out
}

// missingShare returns the share of the wanted instances that are missing.
func (svc *service) missingShare() float64 {
	if svc.wanted == 0 {
		return 0
	}
	return float64(svc.wanted-svc.activeCount()) / float64(svc.wanted)
}

// units returns the instances and the pending starts of a service.
func (p *planner) units(svc *service) []unit {
	var out []unit
	listed := make(map[string]bool)
	for _, in := range p.Instances {
		if in.Service != svc.cfg.Name || in.State == cloud.StateGone {
			continue
		}
		listed[in.ID] = true
		draining := p.state.draining(in.ID)
		leaving := in.State == cloud.StateLeaving || in.Load != nil && in.Load.Leaving && !draining
		out = append(out, unit{
			id: in.ID, dataCentre: in.DataCentre, reclaimable: in.Reclaimable, ready: in.State == cloud.StateReady,
			active: !draining && !leaving && p.isOpen(in.DataCentre), draining: draining, addr: in.Addr, load: in.Load,
		})
	}
	for i := range p.state.Slots {
		s := &p.state.Slots[i]
		if s.Service != svc.cfg.Name || s.Phase == PhaseFree || listed[s.Instance] {
			continue
		}
		draining := p.state.draining(s.Instance)
		out = append(out, unit{
			id: s.Instance, dataCentre: s.Request.DataCentre, reclaimable: s.Request.Reclaimable,
			active: !draining && p.isOpen(s.Request.DataCentre), draining: draining,
		})
	}
	return out
}

// isOpen reports whether a data centre is configured and not closed by the preset.
func (p *planner) isOpen(dataCentre string) bool {
	declared := slices.ContainsFunc(p.Envelope.Document.DataCentres, func(d config.DataCentre) bool { return d.Name == dataCentre })
	return declared && !slices.Contains(p.preset.ClosedDataCentres, dataCentre)
}

// updateDemand updates the demand forecast and the wanted number of instances.
func (p *planner) updateDemand(svc *service) {
	known, total := false, 0
	for i := range svc.units {
		if n, ok := svc.units[i].requests(); ok {
			known = true
			total += n
		}
	}
	if known {
		svc.history.trend.observe(float64(total), p.Now, p.tuning.Smoothing)
	}
	svc.demand = svc.history.trend.forecast(p.tuning.Horizon)
	svc.wanted = p.instancesFor(svc, svc.demand, p.tuning.ScaleUpUtilisation)
}

// instancesFor returns the number of instances that a demand needs at a utilisation
// of the batch slots. After the loss of one data centre, the remaining instances
// must still be able to serve the demand with full batches.
func (p *planner) instancesFor(svc *service, demand, utilisation float64) int {
	batches := demand / float64(max(svc.cfg.BatchLimit, 1))
	n := int(math.Ceil(batches / utilisation))
	left := batches * p.tuning.ScaleUpUtilisation / utilisation
	for n < svc.bounds.Max && float64(n-p.maxPerDataCentre(n)) < left {
		n++
	}
	return min(max(n, svc.bounds.Min), svc.bounds.Max)
}

// maxPerDataCentre returns the largest number of instances in one data centre if a
// total is spread evenly. It returns 0 if fewer than two data centres are open.
func (p *planner) maxPerDataCentre(total int) int {
	open := 0
	for _, dc := range p.Envelope.Document.DataCentres {
		if p.isOpen(dc.Name) {
			open++
		}
	}
	if open < 2 {
		return 0
	}
	return (total + open - 1) / open
}

func (svc *service) activeCount() int { return svc.count(func(u *unit) bool { return u.active }) }

func (svc *service) count(match func(*unit) bool) int {
	n := 0
	for i := range svc.units {
		if match(&svc.units[i]) {
			n++
		}
	}
	return n
}

func (svc *service) reclaimableCount() int {
	return svc.count(func(u *unit) bool { return u.active && u.reclaimable })
}

func (svc *service) activeIn(dataCentre string) int {
	return svc.count(func(u *unit) bool { return u.active && u.dataCentre == dataCentre })
}
