package capacity

import (
	"cmp"
	"time"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
)

// minIdlePlans is the number of consecutive plans in which a draining instance
// must have had no requests before it is stopped.
const minIdlePlans = 2

// drainDivisor determines how many instances are drained at a time: one, plus the
// surplus divided by drainDivisor.
const drainDivisor = 4

// stopKey is the name of a stop in State.orderedAt. It can't be the name of a model.
const stopKey = "\x00stop"

// drainClosed drains the instances in closed data centres.
func (p *planner) drainClosed(svc *service) {
	for i := range svc.units {
		u := &svc.units[i]
		if u.id != "" && !u.draining && !p.isOpen(u.dataCentre) {
			p.drain(svc, u)
		}
	}
}

// scaleDown drains instances once a surplus has lasted for ScaleDownDelay, or
// immediately above the preset's maximum.
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

// drainOne drains the removable instance that compareVictims orders first, if any.
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

// removable reports whether an instance can be drained: the others must stay within
// the reclaimable share and leave every workspace enough instances.
func (p *planner) removable(svc *service, u *unit) bool {
	reclaimable, total := svc.reclaimableCount(), svc.activeCount()-1
	if u.reclaimable {
		reclaimable--
	}
	if total == 0 || !u.reclaimable && reclaimable > svc.bounds.MaxReclaimable(total) {
		return false
	}
	u.active = false
	defer func() { u.active = true }()
	return svc.activeIn(u.dataCentre) > 0 && !p.underserved(svc, u.dataCentre)
}

// compareVictims orders instances to drain by higher price, then by fewer requests.
func (p *planner) compareVictims(svc *service, a, b *unit) int {
	priceA, _ := p.Envelope.Document.PriceOf(svc.cfg.Class, a.dataCentre, a.reclaimable)
	priceB, _ := p.Envelope.Document.PriceOf(svc.cfg.Class, b.dataCentre, b.reclaimable)
	workA, _ := a.requests()
	workB, _ := b.requests()
	return cmp.Or(cmp.Compare(priceB, priceA), cmp.Compare(workA, workB), cmp.Compare(a.id, b.id))
}

// drain adds the drain of an instance to the state.
func (p *planner) drain(svc *service, u *unit) {
	u.active, u.draining = false, true
	longest := p.tuning.MinDrain + svc.cfg.Deadline()
	p.state.Drains = append(p.state.Drains, Drain{Instance: u.id, Service: svc.cfg.Name, LongestMS: longest.Milliseconds(), knownSince: p.Now})
}

// planStops stops the instances whose drain is complete.
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

// drained reports whether a drain is complete: the instance has been idle or its
// maximum duration has passed. Services without load reports are drained for the
// maximum duration.
func (p *planner) drained(svc *service, d *Drain) bool {
	age := p.Now.Sub(d.knownSince)
	if age < p.tuning.MinDrain {
		return false
	}
	return d.idleCount >= minIdlePlans || age.Milliseconds() >= d.LongestMS
}

// findUnit returns the unit of an instance with its service, or nil.
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

// planOrders plans orders to endpoints: to refuse new requests while they drain, and
// to load missing models. Running instances load models before new instances are
// started. Orders state the wanted end state, so repeating one is harmless.
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

// orderUnit plans the orders to one endpoint.
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

// missingModels returns the models of a service that a ready instance has not loaded.
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

// orderedRecently reports whether an order or a stop was issued within OrderRetryInterval.
func (p *planner) orderedRecently(instance, name string) bool {
	at, ok := p.state.orderedAt[instance+"/"+name]
	return ok && p.Now.Sub(at) < p.tuning.OrderRetryInterval
}

// order adds an order to the plan unless it was issued recently.
func (p *planner) order(svc *service, u *unit, kind engine.OrderKind, name string) {
	if p.orderedRecently(u.id, name) {
		return
	}
	p.state.orderedAt[u.id+"/"+name] = p.Now
	p.actions = append(p.actions, Action{
		Kind: ActionOrder, Service: svc.cfg.Name, Instance: u.id, Addr: u.addr, Order: engine.Order{Kind: kind, Name: name},
	})
}
