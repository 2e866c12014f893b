package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/promptsplit"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

const (
	// borrowPrefillShare bounds the prefill time of a prompt that is placed on an idle
	// endpoint of the other part, as a share of the shortest latency target: a request of
	// the other kind that arrives meanwhile can still be on time.
	borrowPrefillShare = 0.6
	// borrowGainShare is the time by which an answer must be expected earlier there, as a
	// share of the request's latency target.
	borrowGainShare = 0.3
	// missWeight is the weight of the time that an endpoint needs for a prefix that it
	// doesn't hold, beside the delay of the request itself: the prefill delays others too. In
	// simulations with 1 the long prompts on time rose from 0.967 to 0.996.
	missWeight = 1
)

// promptParts are the endpoints of a service for one request, while they are split
// between long and short prompts.
type promptParts struct {
	decision promptsplit.Decision
	// own holds the endpoints for the kind of the request's prompt, other the rest.
	own, other []*endpoints.Endpoint
	// home is the endpoint of the own part that probably holds the shared prefix.
	home *endpoints.Endpoint
}

// rankedList is a service's list of endpoints in the order in which they are used for
// long prompts.
type rankedList struct {
	// list is the list that was ranked. Lists are replaced, not modified.
	list, ranked []*endpoints.Endpoint
}

// recordPrompt records a new request for the split of its service.
func (s *Scheduler) recordPrompt(r Request, work time.Duration, est *speed.Estimate) {
	if s.Splits == nil || r.Prompt == 0 || !est.Known {
		return
	}
	described := r.describe(est)
	described.Work = work
	s.Splits.Record(r.Service, described)
}

// describe returns what the decision on the split needs to know of the request. The kind of a prompt
// depends on all of it, cached or not: requests with the same large prefix would otherwise be of both
// kinds, and the prefix would be read in both parts.
func (r Request) describe(est *speed.Estimate) promptsplit.Request {
	prefix := ""
	if len(r.Parts) > 1 {
		prefix = r.Parts[len(r.Parts)-2].ID
	}
	return promptsplit.Request{Target: r.Target, Prefill: est.PrefillTime(r.Prompt, 0), Prefix: prefix}
}

// splitEndpoints returns the parts of a service's endpoints for a request; nil if they
// aren't split, or if the request reads no prompt.
func (s *Scheduler) splitEndpoints(list []*endpoints.Endpoint, r Request, est *speed.Estimate) *promptParts {
	if s.Splits == nil || r.Prompt == 0 || r.Moved || !est.Known || len(list) < 2 || r.prefillDelaysEvents(est) {
		return nil
	}
	d := s.Splits.Decide(r.Service, r.describe(est))
	if !d.Active {
		return nil
	}
	count, ok := promptsplit.Count(d.Share, len(list))
	if !ok {
		return nil
	}
	ranked := s.rankedForLong(r.Service, list)
	p := &promptParts{decision: d, own: ranked[count:], other: ranked[:count]}
	if d.Long {
		p.own, p.other = p.other, p.own
	}
	p.home = affinityEndpoint(p.own, r)
	return p
}

// rankedForLong returns the endpoints in the order in which they are used for long
// prompts. All instances rank them alike, and a change of the share moves only those at
// the boundary.
func (s *Scheduler) rankedForLong(service string, list []*endpoints.Endpoint) []*endpoints.Endpoint {
	s.mu.Lock()
	known, ok := s.ranked[service]
	s.mu.Unlock()
	if ok && len(known.list) == len(list) && &known.list[0] == &list[0] {
		return known.ranked
	}
	ranked := rankForLong(list)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranked[service] = rankedList{list: list, ranked: ranked}
	return ranked
}

func rankForLong(list []*endpoints.Endpoint) []*endpoints.Endpoint {
	ranked := slices.Clone(list)
	key := rendezvous.Key(longPromptKey)
	slices.SortFunc(ranked, func(a, b *endpoints.Endpoint) int {
		return cmp.Compare(rendezvous.Weight(key, a.ID), rendezvous.Weight(key, b.ID))
	})
	return ranked
}

// chooseByPart returns the endpoint for a request. While the endpoints are split, it is one
// of the request's own part, or an idle one of the other part where the answer is expected
// clearly earlier. If no answer is on time on either, all endpoints are compared.
func (s *Scheduler) chooseByPart(list []*endpoints.Endpoint, p *promptParts, r Request, est *speed.Estimate, now time.Time) (candidate, bool) {
	if p == nil {
		return s.choose(list, r, est, now)
	}
	r.missCost = p.missCost(r, est)
	own, ok := s.chooseFrom(p.own, p.home, r, est, now)
	ok = ok && r.acceptable(own, est, now)
	if idle, found := s.chooseIdle(p, r, est, now); found && (!ok || r.clearlyEarlier(idle, own)) {
		return idle, true
	}
	if ok {
		return own, true
	}
	return s.chooseFrom(list, p.home, r, est, now)
}

// missCost returns the cost of a prefill of the shared prefix to other requests. A prefix that
// is used by more requests than one endpoint runs is probably held by several.
func (p *promptParts) missCost(r Request, est *speed.Estimate) time.Duration {
	prefix := min(r.Prompt, sharedTokens(r.Parts))
	holders := max(1, p.decision.PrefixShare*float64(len(p.own)))
	return time.Duration(missWeight / holders * float64(est.PrefillTime(prefix, 0)))
}

// chooseIdle returns an endpoint of the other part on which no prompt is pending; false
// if there is none, or if a prefill there could make requests of the other kind late.
func (s *Scheduler) chooseIdle(p *promptParts, r Request, est *speed.Estimate, now time.Time) (candidate, bool) {
	var idle []*endpoints.Endpoint
	for _, e := range p.other {
		if e.TotalLoad().Prompt == 0 {
			idle = append(idle, e)
		}
	}
	c, ok := s.chooseFrom(idle, p.home, r, est, now)
	if !ok || est.PrefillTime(c.prefill.Own, 0) > time.Duration(borrowPrefillShare*float64(p.decision.ShortTarget)) {
		return candidate{}, false
	}
	return c, r.acceptable(c, est, now)
}

// clearlyEarlier reports whether the answer is expected to begin clearly earlier on a than on b.
func (r Request) clearlyEarlier(a, b candidate) bool {
	return b.timeToStart-a.timeToStart > time.Duration(borrowGainShare*float64(r.Target))
}

// recordPart counts a placement by the part of the endpoints that it uses.
func (s *Scheduler) recordPart(p *promptParts, r Request, placed *Placement) {
	if p != nil && placed != nil {
		s.Splits.Placed(r.Service, p.decision.Long, slices.Contains(p.own, placed.Endpoint))
	}
}
