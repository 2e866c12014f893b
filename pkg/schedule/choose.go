package schedule

import (
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

const (
	// streamShare is what each running stream is taken to delay others, in steps.
	streamDelaySteps = 0.25
	// failureCost is added for an endpoint that fails all its requests.
	failurePenalty = time.Second
)

// candidate is an endpoint that a request could go to.
type candidate struct {
	endpoint *endpoints.Endpoint
	// reading is what the endpoint has to read before the answer begins, and beside
	// the number of requests that run there.
	prefill speed.PrefillWork
	running int
	// start is the expected time until the answer begins, cost what is compared.
	start, cost time.Duration
}

// sampling tells how many of the endpoints one decision compares. Instances that
// know each other's sends late would all choose the same few otherwise.
//
// Source: Mitzenmacher, "How useful is old information?", IEEE TPDS 2000.
type sampling struct {
	// size is the number of endpoints that are compared.
	size int
	// pick returns a random number from 0 to below n.
	pick func(n int) int
}

// choose returns the endpoint with a free place at which the answer is
// expected to begin first, of a sample. Endpoints that couldn't be reached lately
// are taken only where there are no others.
func choose(list []*endpoints.Endpoint, r Request, slots func(*endpoints.Endpoint) int, now time.Time, s sampling, est *speed.Estimate) (candidate, bool) {
	free := withFreeSlots(list, r, slots, now)
	affinity := affinityEndpoint(list, r)
	var best candidate
	for _, e := range s.sample(free, affinity) {
		best = cheaper(best, evaluate(e, r, e == affinity, est, now))
	}
	return best, best.endpoint != nil
}

// withPlaces returns the endpoints that have a place free, of those that could be
// reached lately or, if there is none, of the others.
func withFreeSlots(list []*endpoints.Endpoint, r Request, slots func(*endpoints.Endpoint) int, now time.Time) []*endpoints.Endpoint {
	free := make([]*endpoints.Endpoint, 0, len(list))
	var pausedFree []*endpoints.Endpoint
	anyReachable := false
	for _, e := range list {
		if r.Avoid[e.ID] {
			continue
		}
		paused := e.Paused(now)
		anyReachable = anyReachable || !paused
		if n := slots(e); n > 0 && e.TotalLoad().Running >= n {
			continue
		}
		if paused {
			pausedFree = append(pausedFree, e)
		} else {
			free = append(free, e)
		}
	}
	if !anyReachable {
		return pausedFree
	}
	return free
}

// of returns a sample of a list, which it reorders, with the home endpoint if
// that is in the list.
func (s sampling) sample(list []*endpoints.Endpoint, keep *endpoints.Endpoint) []*endpoints.Endpoint {
	if s.size >= len(list) {
		return list
	}
	if at := slices.Index(list, keep); keep != nil && at >= 0 {
		list[0], list[at] = list[at], list[0]
		return list[:1+s.partialShuffle(list[1:])]
	}
	return list[:s.partialShuffle(list)]
}

// shuffle moves a random sample to the front of a list and returns its size.
func (s sampling) partialShuffle(list []*endpoints.Endpoint) int {
	size := min(s.size, len(list))
	for i := range size {
		j := i + s.pick(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return size
}

// cheaper returns the candidate of the lower cost; the first may be none.
func cheaper(a, b candidate) candidate {
	if a.endpoint == nil || b.cost < a.cost {
		return b
	}
	return a
}

// weigh works out what the request would meet at an endpoint.
func evaluate(e *endpoints.Endpoint, r Request, cached bool, est *speed.Estimate, now time.Time) candidate {
	total := e.TotalLoad()
	c := candidate{endpoint: e, running: total.Running, prefill: speed.PrefillWork{Own: r.Prompt, Ahead: e.PendingPrefill(est.PerPromptToken(), now)}}
	if cached {
		c.prefill.Shared = min(r.Prompt, sharedTokens(r.Parts))
		c.prefill.Own -= c.prefill.Shared
	}
	perRequest := est.CallTime(0).Seconds()
	c.start = est.CallTime(total.Running)
	if r.Prompt > 0 {
		perRequest = streamDelaySteps * est.StepTime(0).Seconds()
		c.start = est.TimeToFirstToken(c.prefill)
	}
	c.cost = c.start + seconds(perRequest*float64(total.Running)+e.FailureRate()*failurePenalty.Seconds())
	return c
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// home returns the endpoint at which requests with the same shared parts meet,
// so that its cache holds them; nil if the request shares none.
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

// shared is the number of tokens in the parts that other requests may share:
// all but the last.
func sharedTokens(parts []Part) int {
	n := 0
	for _, p := range parts[:max(0, len(parts)-1)] {
		n += p.Tokens
	}
	return n
}
