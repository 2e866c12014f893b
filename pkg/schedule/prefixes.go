package schedule

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/kvcache"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

// copyShare is the cost of a copy of a prefix, as a share of the time to read it. Without it copies
// overwrite caches that are just large enough for the affinity endpoints' prefixes. Of 0 to 1 in
// simulations, 0.5 lost least from low load to full load (docs/design/kv-cache.md).
const copyShare = 0.5

// Prefixes tells which endpoints hold the shared prefixes of prompts.
type Prefixes interface {
	// Find returns the endpoints that probably hold a prefix.
	Find(p *kvcache.Prefix, affinity *endpoints.Endpoint, now time.Time) kvcache.Holders
	// Placed records that a request is sent to an endpoint by a plan.
	Placed(e *endpoints.Endpoint, p kvcache.Plan, now time.Time)
	// Answered records that an endpoint's answer to a request with a prefix has begun, which adds a
	// number of tokens to its cache.
	Answered(p *kvcache.Prefix, e *endpoints.Endpoint, written int, now time.Time)
	// Ended records the end of a fetch by the answer's begin or without one. It reports whether it
	// was late.
	Ended(f kvcache.Fetch, took time.Duration, answered bool, now time.Time) (late bool)
}

// findHolders returns the endpoints that probably hold the shared prefix of a request, if it may be
// placed on any of a number of free endpoints.
func (s *Scheduler) findHolders(r Request, affinity *endpoints.Endpoint, free int, now time.Time) kvcache.Holders {
	if s.Prefixes == nil || free == 0 || r.Prompt == 0 || len(r.Parts) < 2 {
		return kvcache.Holders{}
	}
	p := r.prefix()
	return s.Prefixes.Find(&p, affinity, now)
}

// prefix returns the shared prefix of the prompt.
func (r Request) prefix() kvcache.Prefix { return kvcache.NewPrefix(r.Service, r.Parts, r.Prompt) }

// planPrefix decides how the shared prefix gets to the endpoint. The source may lack as much of it
// as an endpoint that is expected to hold it, so tokens to be fetched count like those.
func (c *candidate) planPrefix(holders *kvcache.Holders, est *speed.Estimate) {
	c.plan = holders.Plan(c.endpoint, kvcache.ReadSpeed{PerToken: times(est.PerPromptToken(), c.factor), MissRate: est.CacheMissRate()})
	c.prefill.Shared = c.plan.Held + c.plan.Fetch.Tokens
	c.prefill.Own -= c.prefill.Shared
}

// readsPrefix reports whether the endpoint probably reads the shared prefix: it neither holds nor
// fetches it. cached means that it is the affinity endpoint.
func (c *candidate) readsPrefix(cached bool) bool {
	switch c.plan.Result {
	case kvcache.None:
		return !cached
	case kvcache.Held, kvcache.Fetched:
		return false
	}
	return true
}

// copyCost returns what a copy of a prefix adds to the cost of a candidate: it evicts other prefixes
// from the endpoint's cache, which are read again later.
func (c *candidate) copyCost(est *speed.Estimate) time.Duration {
	return time.Duration(copyShare * float64(c.plan.Fetch.Tokens) * float64(est.PerPromptToken()))
}

// recordPlan records how the prefix of a request that is placed on a candidate gets there.
func (s *Scheduler) recordPlan(c *candidate, est *speed.Estimate, now time.Time) {
	if s.Prefixes == nil || c.plan.Result == kvcache.None {
		return
	}
	c.limitFetch(est)
	s.Prefixes.Placed(c.endpoint, c.plan, now)
}

// limitFetch sets the time after which the answer counts as late: that until it would be expected
// without the fetch, and a margin.
func (c *candidate) limitFetch(est *speed.Estimate) {
	whole := c.prefill
	whole.Own += whole.Shared
	whole.Shared = 0
	c.plan.Fetch.Limit = est.WithMargin(times(est.TimeToFirstToken(whole), c.factor)) + kvcache.LateMargin
}

// FetchFrom returns the endpoint from which the request's endpoint fetches its prefix; nil if it
// fetches none.
func (p *Placement) FetchFrom() *endpoints.Endpoint { return p.plan.Fetch.Source }

// fetchEnded records that the answer has begun, or that the request has ended without one. It
// returns the time that the endpoint took without the fetch, and whether that tells the speed of
// endpoints: it doesn't if the fetch may have made the answer late. While the speed isn't known, an
// answer can't be told to be late.
func (p *Placement) fetchEnded(took time.Duration, answered bool) (reading time.Duration, valid bool) {
	if p.plan.Result == kvcache.None {
		return took, true
	}
	now := p.scheduler.Now()
	if answered {
		prefix := p.request.prefix()
		written := p.promptTokens + p.plan.Fetch.Tokens + int(p.request.expectedOutput(p.speeds))
		p.scheduler.Prefixes.Answered(&prefix, p.Endpoint, written, now)
	}
	late := p.scheduler.Prefixes.Ended(p.plan.Fetch, took, answered, now)
	return max(0, took-p.plan.Fetch.Expected), !late || !p.speeds.Estimate().Known
}
