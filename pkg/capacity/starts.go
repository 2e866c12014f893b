package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
)

// surge times the preset's maximum bounds the instances of a service, those
// that leave or drain included, whatever their reports say.
const surgeFactor = 2

// starts repeats the starts whose outcome is not known and adds those that are
// missing, the neediest service first, as far as the weight store has room.
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
			place, ok := p.bestCandidate(svc)
			if !ok {
				break
			}
			p.start(svc, place)
		}
	}
}

// learning tells whether nothing is known yet: no former holder has left a
// state, and the instance list, which lags, shows nothing.
func (p *planner) awaitingFirstList() bool {
	if p.state.firstPlanAt.IsZero() {
		p.state.firstPlanAt = p.Now
	}
	return len(p.state.Slots) == 0 && p.Now.Sub(p.state.firstPlanAt) < p.tuning.EmptyListGrace
}

// roomForLoads tells whether the weight store can take the models of another
// instance soon. One instance is always let through.
func (p *planner) roomForLoads(svc *service) bool {
	n := len(svc.cfg.Models)
	return n == 0 || p.pendingLoads == 0 || p.pendingLoads+n <= p.tuning.MaxModelLoads
}

// start commits a start to a free slot.
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

// candidate is a place for a start.
type candidate struct {
	dataCentre  string
	reclaimable bool
	// rank orders by coverage first and then by spread: lower is better.
	rank int
	// price is in currency units per hour.
	price float64
}

// Ranks of candidates.
const (
	rankUncovered = iota
	rankSpread
	rankCrowded
)

// choose returns the best place for another instance, and whether there is any.
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

// candidates lists the places that are allowed, offered and not refused lately.
func (p *planner) candidates(svc *service) []candidate {
	var out []candidate
	for _, dc := range p.Envelope.Document.DataCentres {
		for _, reclaimable := range []bool{true, false} {
			price, offered := p.Envelope.Document.PriceOf(svc.cfg.Class, dc.Name, reclaimable)
			if !offered || !p.open(dc.Name) || p.refused(dc.Name, svc.cfg.Class, reclaimable) {
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

// mayAddReclaimable tells whether one more reclaimable instance keeps to the
// preset's share. Services with non-idempotent calls run on demand only.
func (svc *service) mayAddReclaimable() bool {
	if len(svc.cfg.NonIdempotent) > 0 {
		return false
	}
	return withinShare(svc.reclaimableCount()+1, svc.activeCount()+1, svc.bounds.ReclaimableShare)
}

// withinShare tells whether a number of reclaimable instances of a total keeps to a share.
func withinShare(reclaimable, total int, share float64) bool {
	return reclaimable <= int(math.Floor(share*float64(total)+1e-9))
}

// rank prefers data centres that some workspace lacks, then an even spread, so
// that the loss of a data centre leaves enough.
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

// lacking tells whether some workspace has fewer instances in its own data
// centres, of which this is one, than its part of the weights asks for.
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

// reachable counts the active instances that a workspace may use.
func (p *planner) usableCount(svc *service, w *config.Workspace) int {
	return svc.count(func(u *unit) bool { return u.active && slices.Contains(w.DataCentres, u.dataCentre) })
}

func (p *planner) refused(dataCentre, class string, reclaimable bool) bool {
	i := p.state.refusalIndex(dataCentre, class, reclaimable)
	return i >= 0 && p.Now.Before(p.state.Refusals[i].until)
}

func (st *State) refusalIndex(dataCentre, class string, reclaimable bool) int {
	return slices.IndexFunc(st.Refusals, func(r Refusal) bool {
		return r.DataCentre == dataCentre && r.Class == class && r.Reclaimable == reclaimable
	})
}
