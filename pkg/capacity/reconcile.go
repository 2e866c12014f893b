package capacity

import (
	"slices"

	"github.com/medlarsill/medlarsill/pkg/cloud"
)

// reconcile updates slots, drains and refusals from the instance list.
func (p *planner) reconcile() {
	listed := make(map[string]*Observed, len(p.Instances))
	for i := range p.Instances {
		in := &p.Instances[i]
		if in.State == cloud.StateGone {
			continue
		}
		listed[in.ID] = in
		p.adopt(in)
	}
	for i := range p.state.Slots {
		p.reconcileSlot(&p.state.Slots[i], listed)
	}
	p.pruneDrains(listed)
	p.state.Refusals = slices.DeleteFunc(p.state.Refusals, func(r Refusal) bool {
		return p.Now.Sub(r.until) > p.tuning.RefusalBackoffMax
	})
}

// adopt assigns a slot to an instance without one. Such an instance is either the
// result of a start whose response was lost, or was started by the platform's
// operators.
func (p *planner) adopt(in *Observed) {
	if p.state.slotByInstance(in.ID) != nil {
		return
	}
	if _, known := p.Envelope.Document.ServiceByName(in.Service); !known {
		return
	}
	s := p.slotFor(in)
	s.Phase, s.Instance, s.Seen, s.phaseSince = PhaseRunning, in.ID, true, p.Now
	s.Request = cloud.StartRequest{
		Token: in.Token, Service: in.Service, DataCentre: in.DataCentre, Class: in.Class, Reclaimable: in.Reclaimable,
	}
}

// slotFor returns the slot of an instance's token, or a new one. A free slot is not
// assigned to an instance with another token, as a former holder's start for the
// slot may still arrive.
func (p *planner) slotFor(in *Observed) *Slot {
	if s := p.state.slotByToken(in.Token); s != nil && s.Phase != PhaseRunning {
		return s
	}
	parsed, valid := parseToken(in.Token)
	if valid && parsed.Service == in.Service && p.state.slotByNumber(parsed.Service, parsed.Number) == nil {
		return p.state.insert(parsed)
	}
	return p.state.newSlot(in.Service)
}

// reconcileSlot frees a slot whose instance is no longer listed.
func (p *planner) reconcileSlot(s *Slot, listed map[string]*Observed) {
	if s.Phase != PhaseRunning {
		return
	}
	if listed[s.Instance] != nil {
		s.Seen = true
		return
	}
	if s.Seen || p.Now.Sub(s.phaseSince) > p.tuning.ListGrace {
		s.free(p)
	}
}

// free marks a slot as free. The instance list may be stale, so the generation stays:
// the next start uses the same token, which changes only if the cloud reports that the
// instance has ended.
func (s *Slot) free(p *planner) {
	s.Phase, s.Instance, s.Seen, s.phaseSince = PhaseFree, "", false, p.Now
}

// pruneDrains removes the drains of instances that have not been listed for
// DrainRetention. If they were removed sooner, a stale list that shows the instance
// again would cancel the drain.
func (p *planner) pruneDrains(listed map[string]*Observed) {
	for i := range p.state.Drains {
		if d := &p.state.Drains[i]; listed[d.Instance] != nil || d.lastListed.IsZero() {
			d.lastListed = p.Now
		}
	}
	p.state.Drains = slices.DeleteFunc(p.state.Drains, func(d Drain) bool {
		return p.Now.Sub(d.lastListed) > p.tuning.DrainRetention
	})
}
