package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
)

// surgeFactor multiplied by the preset's maximum bounds the number of instances of a
// service, including those that are leaving or draining. The bound holds even if load
// reports are wrong.
const surgeFactor = 2

// planStarts repeats the starts whose outcome is unknown and adds missing ones as far
// as the limit of model loads allows. Services with the largest missing share of
// instances come first.
func (p *planner) planStarts(services []*service) {
	for i := range p.state.Slots {
		if s := &p.state.Slots[i]; s.Phase == PhasePending {
			p.actions = append(p.actions, Action{Kind: ActionStart, Service: s.Service, Start: s.Request})
		}
	}
	if p.awaitingFirstList() {
		return
	}
	for _, svc := range services {
		for svc.activeCount() < svc.wanted && len(svc.units) < surgeFactor*svc.bounds.Max && p.roomForLoads(svc) {
			best, ok := p.bestCandidate(svc)
			if !ok {
				break
			}
			p.start(svc, best)
		}
	}
}

// awaitingFirstList reports whether no instances are known yet and the grace period
// for an empty list has not passed. The instance list lags behind, so an empty one
// does not mean that nothing runs.
func (p *planner) awaitingFirstList() bool {
	if p.state.firstPlanAt.IsZero() {
		p.state.firstPlanAt = p.Now
	}
	return len(p.state.Slots) == 0 && p.Now.Sub(p.state.firstPlanAt) < p.tuning.EmptyListGrace
}

// roomForLoads reports whether another instance may load its models without exceeding
// MaxModelLoads. One instance may always load its models, whatever their number.
func (p *planner) roomForLoads(svc *service) bool {
	n := len(svc.cfg.Models)
	return n == 0 || p.pendingLoads == 0 || p.pendingLoads+n <= p.tuning.MaxModelLoads
}

// start adds a start of an instance in a free slot to the plan.
func (p *planner) start(svc *service, at candidate) {
	s := p.state.freeSlot(svc.cfg.Name)
	s.Phase, s.phaseSince, s.Seen, s.Instance = PhasePending, p.Now, false, ""
	s.Request = cloud.StartRequest{
		Token: s.Token(), Service: svc.cfg.Name, DataCentre: at.dataCentre, Class: svc.cfg.Class, Reclaimable: at.reclaimable,
		Models: svc.cfg.Models, BatchLimit: svc.cfg.BatchLimit,
	}
	p.pendingLoads += len(svc.cfg.Models)
	svc.units = append(svc.units, unit{dataCentre: at.dataCentre, reclaimable: at.reclaimable, active: true})
	p.actions = append(p.actions, Action{Kind: ActionStart, Service: svc.cfg.Name, Start: s.Request})
}

// candidate is a data centre and a kind of instance for a start.
type candidate struct {
	dataCentre  string
	reclaimable bool
	// rank is one of the ranks below; lower is better.
	rank int
	// price is in currency units per hour.
	price float64
}

// Ranks of candidates.
const (
	// rankUncovered is a data centre without instances, or one where a workspace has
	// too few.
	rankUncovered = iota
	// rankSpread is a data centre with fewer instances than an even spread has.
	rankSpread
	// rankCrowded is any other data centre.
	rankCrowded
)

// bestCandidate returns the best candidate for another instance, and whether there is any.
func (p *planner) bestCandidate(svc *service) (candidate, bool) {
	var best candidate
	found := false
	for _, c := range p.candidates(svc) {
		if !found || compareCandidates(c, best) < 0 {
			best, found = c, true
		}
	}
	return best, found
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.price, b.price), cmp.Compare(a.dataCentre, b.dataCentre))
}

// candidates returns the candidates that are open, offered, allowed by the reclaimable
// share and not in a refusal delay.
func (p *planner) candidates(svc *service) []candidate {
	var out []candidate
	for _, dc := range p.Envelope.Document.DataCentres {
		for _, reclaimable := range []bool{true, false} {
			price, offered := p.Envelope.Document.PriceOf(svc.cfg.Class, dc.Name, reclaimable)
			if !offered || !p.isOpen(dc.Name) || p.refused(dc.Name, svc.cfg.Class, reclaimable) {
				continue
			}
			if reclaimable && !svc.mayAddReclaimable() {
				continue
			}
			out = append(out, candidate{
				dataCentre: dc.Name, reclaimable: reclaimable, rank: p.rank(svc, dc.Name), price: price,
			})
		}
	}
	return out
}

// mayAddReclaimable reports whether one more reclaimable instance stays within the
// preset's share. Services with non-idempotent calls use on-demand instances only.
func (svc *service) mayAddReclaimable() bool {
	if len(svc.cfg.NonIdempotent) > 0 {
		return false
	}
	return svc.reclaimableCount()+1 <= svc.bounds.MaxReclaimable(svc.activeCount()+1)
}

// rank returns the rank of a data centre for another instance. It prefers those where
// a workspace has too few instances, then an even spread, so that enough instances
// remain after the loss of a data centre.
func (p *planner) rank(svc *service, dataCentre string) int {
	n := svc.activeIn(dataCentre)
	if n == 0 || p.underserved(svc, dataCentre) {
		return rankUncovered
	}
	if n < p.maxPerDataCentre(max(svc.wanted, svc.activeCount()+1)) {
		return rankSpread
	}
	return rankCrowded
}

// underserved reports whether some workspace that may use the data centre has fewer
// instances in its data centres than its share of the workspace weights requires.
func (p *planner) underserved(svc *service, dataCentre string) bool {
	doc := &p.Envelope.Document
	total := 0
	for i := range doc.Workspaces {
		if doc.Workspaces[i].MayCall(svc.cfg.Name) {
			total += max(doc.Workspaces[i].Weight, 1)
		}
	}
	for i := range doc.Workspaces {
		w := &doc.Workspaces[i]
		if !w.MayCall(svc.cfg.Name) || !slices.Contains(w.DataCentres, dataCentre) {
			continue
		}
		share := float64(max(w.Weight, 1)) / float64(total)
		if p.usableCount(svc, w) < int(math.Ceil(share*float64(svc.activeCount()))) {
			return true
		}
	}
	return false
}

// usableCount returns the number of active instances that a workspace may use.
func (p *planner) usableCount(svc *service, w *config.Workspace) int {
	return svc.count(func(u *unit) bool { return u.active && slices.Contains(w.DataCentres, u.dataCentre) })
}

// refused reports whether starts of a kind are in a refusal delay.
func (p *planner) refused(dataCentre, class string, reclaimable bool) bool {
	i := p.state.refusalIndex(dataCentre, class, reclaimable)
	return i >= 0 && p.Now.Before(p.state.Refusals[i].until)
}

// refusalIndex returns the index of a refusal, or -1.
func (st *State) refusalIndex(dataCentre, class string, reclaimable bool) int {
	return slices.IndexFunc(st.Refusals, func(r Refusal) bool {
		return r.DataCentre == dataCentre && r.Class == class && r.Reclaimable == reclaimable
	})
}
