package capacity

import (
	"slices"

	"github.com/medlarsill/medlarsill/pkg/cloud"
)

// reconcile brings slots, drains and memories in line with the instance list.
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

// adopt gives a slot to an instance that has none: one of our own starts whose
// answer was lost, or one that the platform's operators started.
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

// slotFor returns the slot of an instance's token, or a new one. A free slot is
// not given to another instance than its own: a former holder's start for it
// may still be on its way.
func (p *planner) slotFor(in *Observed) *Slot {
	if s := p.state.slotByToken(in.Token); s != nil && s.Phase != PhaseRunning {
		return s
	}
	parsed, ours := parseToken(in.Token)
	if ours && parsed.Service == in.Service && p.state.slotByNumber(parsed.Service, parsed.Number) == nil {
		return p.state.insert(parsed)
	}
	return p.state.newSlot(in.Service)
}

// reconcileSlot frees a slot whose instance is gone.
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

// end frees a slot whose instance is not listed any more. The list may be
// stale, so the generation stays: the next start asks the cloud with the same
// token, and only if that says that the instance has ended the token changes.
func (s *Slot) free(p *planner) {
	s.Phase, s.Instance, s.Seen, s.phaseSince = PhaseFree, "", false, p.Now
}

// forgetDrains forgets the drains of instances that have not been listed for a
// long time. Sooner would take a drain back if a stale list showed it again.
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
