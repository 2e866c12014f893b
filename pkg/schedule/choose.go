package schedule

import (
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/kvcache"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

const (
	// streamDelaySteps is the delay, in decode steps, that each running stream is
	// assumed to add to a new request.
	streamDelaySteps = 0.25
	// failurePenalty is added to the cost of an endpoint that fails all its requests;
	// it is scaled by the failure rate.
	failurePenalty = time.Second
)

// candidate is an endpoint on which a request could be placed.
type candidate struct {
	endpoint *endpoints.Endpoint
	// prefill is the prefill work before the answer begins, and running the number of
	// requests that run on the endpoint.
	prefill speed.PrefillWork
	running int
	// plan is how the shared prefix gets to the endpoint.
	plan kvcache.Plan
	// factor is the time that the endpoint takes as a multiple of its service's.
	factor float64
	// timeToStart is the expected time until the answer begins. The candidate with the
	// lowest cost is chosen.
	timeToStart, cost time.Duration
}

// sampling limits the comparison to a random sample of the endpoints. Instances learn
// of each other's placements with a delay and would otherwise all choose the same few
// endpoints.
//
// Source: Mitzenmacher, "How useful is old information?", IEEE TPDS 2000.
type sampling struct {
	// size is the number of endpoints that are compared.
	size int
	// random returns a random number in [0, n).
	random func(n int) int
}

// choose returns the cheapest candidate of a sample of the endpoints with a free slot
// whose limits aren't used up. Endpoints that are paused after transport failures are used
// only if all are paused.
func (s *Scheduler) choose(list []*endpoints.Endpoint, r Request, est *speed.Estimate, now time.Time) (candidate, bool) {
	return s.chooseFrom(list, affinityEndpoint(list, r), r, est, now)
}

// chooseFrom is choose with a given endpoint that probably holds the shared prefix; nil if none.
func (s *Scheduler) chooseFrom(list []*endpoints.Endpoint, affinity *endpoints.Endpoint, r Request, est *speed.Estimate, now time.Time) (candidate, bool) {
	free := s.withFreeSlots(list, r, now)
	holders := s.findHolders(r, affinity, len(free), now)
	var best candidate
	for _, e := range s.sampling(list).sample(free, affinity) {
		best = cheaper(best, evaluate(e, r, e == affinity, &holders, s.factor(e, r), est, now))
	}
	return best, best.endpoint != nil
}

// withFreeSlots returns the endpoints with a free slot that take requests and are not
// paused. If all that take requests are paused, it returns the paused ones with a free slot.
func (s *Scheduler) withFreeSlots(list []*endpoints.Endpoint, r Request, now time.Time) []*endpoints.Endpoint {
	free := make([]*endpoints.Endpoint, 0, len(list))
	var pausedFree []*endpoints.Endpoint
	anyUnpaused := false
	for _, e := range list {
		if !r.accepts(e) || !s.Limits.Available(e.Key()) {
			continue
		}
		paused := e.Paused(now)
		anyUnpaused = anyUnpaused || !paused
		if n := s.Slots(e); !s.Shares.HasRoom(e) || n > 0 && e.TotalLoad().Running >= n {
			continue
		}
		if paused {
			pausedFree = append(pausedFree, e)
		} else {
			free = append(free, e)
		}
	}
	if !anyUnpaused {
		return pausedFree
	}
	return free
}

// sample returns a random sample of a list, which it reorders. The sample includes
// keep if that is in the list.
func (s sampling) sample(list []*endpoints.Endpoint, keep *endpoints.Endpoint) []*endpoints.Endpoint {
	if s.size >= len(list) {
		return list
	}
	if i := slices.Index(list, keep); keep != nil && i >= 0 {
		list[0], list[i] = list[i], list[0]
		return list[:1+s.partialShuffle(list[1:])]
	}
	return list[:s.partialShuffle(list)]
}

// partialShuffle moves a random sample to the front of a list and returns its size.
func (s sampling) partialShuffle(list []*endpoints.Endpoint) int {
	size := min(s.size, len(list))
	for i := range size {
		j := i + s.random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return size
}

// cheaper returns the candidate with the lower cost; a may be the zero value.
func cheaper(a, b candidate) candidate {
	if a.endpoint == nil || b.cost < a.cost {
		return b
	}
	return a
}

// evaluate returns a candidate with the expected start and cost of a request on an
// endpoint. cached means that the endpoint probably holds the shared prefix, and holders from
// which others it may be fetched. factor is the time that the endpoint takes as a multiple of its
// service's.
func evaluate(e *endpoints.Endpoint, r Request, cached bool, holders *kvcache.Holders, factor float64, est *speed.Estimate, now time.Time) candidate {
	total := e.TotalLoad()
	c := candidate{endpoint: e, running: total.Running, factor: factor}
	c.prefill = speed.PrefillWork{Own: r.Prompt, Ahead: e.PendingPrefill(times(est.PerPromptToken(), factor), now)}
	if r.Moved {
		c.prefill.Own = 0
	} else if holders.Enabled() {
		c.planPrefix(holders, est)
	} else if cached {
		c.prefill.Shared = min(r.Prompt, sharedTokens(r.Parts))
		c.prefill.Own -= c.prefill.Shared
	}
	perRequest := est.CallTime(0).Seconds()
	c.timeToStart = est.CallTime(total.Running)
	if r.Prompt > 0 {
		perRequest = streamDelaySteps * est.StepTime(0).Seconds()
		c.timeToStart = est.TimeToFirstToken(c.prefill)
	}
	c.timeToStart = times(c.timeToStart, factor) + c.plan.Fetch.Expected
	c.cost = c.timeToStart + times(c.copyCost(est), factor) + seconds(factor*perRequest*float64(total.Running)+e.FailureRate()*failurePenalty.Seconds())
	if c.readsPrefix(cached) {
		c.cost += r.missCost
	}
	return c
}

// queueWait returns the part of timeToStart spent on the prefill of other requests.
func (c candidate) queueWait(est *speed.Estimate) time.Duration {
	return times(est.QueueWait(c.prefill), c.factor)
}

// alone returns timeToStart without other requests.
func (c candidate) alone(est *speed.Estimate) time.Duration {
	if c.prefill.Own+c.prefill.Shared == 0 {
		return times(est.CallTime(0), c.factor)
	}
	return c.timeToStart - c.queueWait(est)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// affinityEndpoint returns the endpoint on which requests with the same shared prompt
// parts are placed, so that they get cache hits; nil if the request shares no parts.
func affinityEndpoint(list []*endpoints.Endpoint, r Request) *endpoints.Endpoint {
	if len(r.Parts) < 2 {
		return nil
	}
	key := rendezvous.Key(r.Parts[len(r.Parts)-2].ID)
	var best *endpoints.Endpoint
	var weight uint64
	for _, e := range list {
		if w := rendezvous.Weight(key, e.ID); best == nil || w > weight {
			best, weight = e, w
		}
	}
	return best
}

// sharedTokens returns the number of tokens in the parts that other requests may
// share: all but the last.
func sharedTokens(parts []Part) int {
	n := 0
	for _, p := range parts[:max(0, len(parts)-1)] {
		n += p.Tokens
	}
	return n
}
