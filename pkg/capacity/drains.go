package capacity

import (
	"cmp"
	"time"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
)

// idlePlans is the number of consecutive plans in which a draining instance
// must have had no work before it is stopped.
const minIdlePlans = 2

// drainPart is the part of a surplus that is drained at a time: one in this
// many, and at least one instance.
const drainDivisor = 4

// stopName stands for a stop among the orders that were given lately.
const stopKey = "\x00stop"

// drainClosed drains the instances in data centres that get no new work.
func (p *planner) drainClosed(svc *service) {
	for i := range svc.units {
		u := &svc.units[i]
		if u.id != "" && !u.draining && !p.open(u.dataCentre) {
			p.drain(svc, u)
		}
	}
}

// scaleDown drains instances once there have been too many for a while.
func (p *planner) scaleDown(svc *service) {
	m := svc.history
	ready := svc.count(func(u *unit) bool { return u.active && u.ready })
	enough := p.instancesFor(svc, svc.demand, p.tuning.ScaleDownUtilisation)
	if ready <= enough || svc.activeCount() <= svc.wanted {
		m.surplusSince = time.Time{}
		return
	}
	if m.surplusSince.IsZero() {
		m.surplusSince = p.Now
	}
	if over := ready > svc.bounds.Max; over || p.Now.Sub(m.surplusSince) >= p.tuning.ScaleDownDelay {
		m.surplusSince = p.Now
		for range 1 + (ready-max(enough, svc.wanted))/drainDivisor {
			p.drainOne(svc)
		}
	}
}

// drainOne drains the instance that is missed least.
func (p *planner) drainOne(svc *service) {
	var victim *unit
	for i := range svc.units {
		u := &svc.units[i]
		if !u.active || !u.ready || !p.removable(svc, u) {
			continue
		}
		if victim == nil || p.compareVictims(svc, u, victim) < 0 {
			victim = u
		}
	}
	if victim != nil {
		p.drain(svc, victim)
	}
}

// dispensable tells whether the rest keeps to the reclaimable share and still
// covers every workspace without an instance.
func (p *planner) removable(svc *service, u *unit) bool {
	reclaimable, total := svc.reclaimableCount(), svc.activeCount()-1
	if u.reclaimable {
		reclaimable--
	}
	if total == 0 || !u.reclaimable && !withinShare(reclaimable, total, svc.bounds.ReclaimableShare) {
		return false
	}
	u.active = false
	defer func() { u.active = true }()
	return svc.activeIn(u.dataCentre) > 0 && !p.underserved(svc, u.dataCentre)
}

// compareVictims prefers the higher price, then the smaller load.
func (p *planner) compareVictims(svc *service, a, b *unit) int {
	priceA, _ := p.Envelope.Document.PriceOf(svc.cfg.Class, a.dataCentre, a.reclaimable)
	priceB, _ := p.Envelope.Document.PriceOf(svc.cfg.Class, b.dataCentre, b.reclaimable)
	workA, _ := a.requests()
	workB, _ := b.requests()
	return cmp.Or(cmp.Compare(priceB, priceA), cmp.Compare(workA, workB), cmp.Compare(a.id, b.id))
}

// drain commits the drain of an instance.
func (p *planner) drain(svc *service, u *unit) {
	u.active, u.draining = false, true
	longest := p.tuning.MinDrain + svc.cfg.Deadline()
	p.state.Drains = append(p.state.Drains, Drain{Instance: u.id, Service: svc.cfg.Name, LongestMS: longest.Milliseconds(), knownSince: p.Now})
}

// stops stops the drained instances that have no work left.
func (p *planner) planStops(services []*service) {
	for i := range p.state.Drains {
		d := &p.state.Drains[i]
		svc, u := findUnit(services, d.Instance)
		if u == nil {
			continue
		}
		if n, known := u.requests(); known && n == 0 {
			d.idleCount++
		} else {
			d.idleCount = 0
		}
		if p.drained(svc, d) && !p.orderedRecently(d.Instance, stopKey) {
			p.state.orderedAt[d.Instance+"/"+stopKey] = p.Now
			p.actions = append(p.actions, Action{Kind: ActionStop, Service: svc.cfg.Name, Instance: d.Instance})
		}
	}
}

// drained tells whether an instance has no work left. Plain services report no
// load: their drain lasts as long as a request may.
func (p *planner) drained(svc *service, d *Drain) bool {
	age := p.Now.Sub(d.knownSince)
	if age < p.tuning.MinDrain {
		return false
	}
	return d.idleCount >= minIdlePlans || age.Milliseconds() >= d.LongestMS
}

func findUnit(services []*service, instance string) (*service, *unit) {
	for _, svc := range services {
		for i := range svc.units {
			if svc.units[i].id == instance {
				return svc, &svc.units[i]
			}
		}
	}
	return nil, nil
}

// orders gives the orders that endpoints have not followed yet: to refuse new
// work while they drain, and to load missing models, warm instances before new
// ones are started. Orders state the wanted end state, so repeating one is harmless.
func (p *planner) planOrders(services []*service) {
	for _, svc := range services {
		p.pendingLoads += len(svc.cfg.Models) * svc.count(func(u *unit) bool { return !u.ready && u.active })
	}
	for _, svc := range services {
		if svc.cfg.Kind != config.KindModel {
			continue
		}
		for i := range svc.units {
			p.orderUnit(svc, &svc.units[i])
		}
	}
}

func (p *planner) orderUnit(svc *service, u *unit) {
	if u.load == nil || u.addr == "" {
		return
	}
	if u.draining {
		if !u.load.Leaving {
			p.order(svc, u, engine.OrderDrain, "")
		}
		return
	}
	for _, model := range missingModels(svc.cfg, u) {
		if p.pendingLoads >= p.tuning.MaxModelLoads && !p.orderedRecently(u.id, model) {
			return
		}
		p.pendingLoads++
		p.order(svc, u, engine.OrderLoadModel, model)
	}
}

// missingModels lists the models of a service that a ready instance has not loaded.
func missingModels(cfg *config.Service, u *unit) []string {
	if !u.active || !u.ready || len(u.load.Models) == 0 {
		return nil
	}
	loaded := make(map[string]bool)
	for _, m := range u.load.Models {
		loaded[m] = true
	}
	var out []string
	for _, m := range cfg.Models {
		if !loaded[m] {
			out = append(out, m)
		}
	}
	return out
}

func (p *planner) orderedRecently(instance, name string) bool {
	at, ok := p.state.orderedAt[instance+"/"+name]
	return ok && p.Now.Sub(at) < p.tuning.OrderRetryInterval
}

// order gives an order unless it was given lately.
func (p *planner) order(svc *service, u *unit, kind engine.OrderKind, name string) {
	if p.orderedRecently(u.id, name) {
		return
	}
	p.state.orderedAt[u.id+"/"+name] = p.Now
	p.actions = append(p.actions, Action{
		Kind: ActionOrder, Service: svc.cfg.Name, Instance: u.id, Addr: u.addr, Order: engine.Order{Kind: kind, Name: name},
	})
}
