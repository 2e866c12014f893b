package schedule

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// Costs by which endpoints are compared.
const (
	// tokenTime is the time in which an engine reads a prompt token.
	tokenTime = 7 * time.Microsecond
	// streamTime is what each running stream adds to the time until an answer begins.
	streamTime = time.Millisecond
	// callTime is what each running plain call adds.
	callTime = 10 * time.Millisecond
	// failureCost is added for an endpoint that fails all its requests.
	failureCost = time.Second
)

// candidate is an endpoint that a request could go to.
type candidate struct {
	endpoint *endpoints.Endpoint
	uncached int
	// start is the expected time until the answer begins, cost what is compared.
	start, cost time.Duration
}

// choose returns the endpoint with a free place at which the answer is
// expected to begin first. Endpoints that couldn't be reached lately are taken
// only where there are no others.
func choose(list []*endpoints.Endpoint, d Demand, places func(*endpoints.Endpoint) int, now time.Time) (candidate, bool) {
	home := home(list, d)
	var best, last candidate
	sound := false
	for _, e := range list {
		if d.Avoid[e.ID] {
			continue
		}
		paused := e.Paused(now)
		sound = sound || !paused
		total := e.Total()
		if n := places(e); n > 0 && total.Running >= n {
			continue
		}
		c := weigh(e, total, d, e == home)
		if paused {
			last = cheaper(last, c)
		} else {
			best = cheaper(best, c)
		}
	}
	if !sound {
		best = last
	}
	return best, best.endpoint != nil
}

// cheaper returns the candidate of the lower cost; the first may be none.
func cheaper(a, b candidate) candidate {
	if a.endpoint == nil || b.cost < a.cost {
		return b
	}
	return a
}

// weigh works out what the request would meet at an endpoint.
func weigh(e *endpoints.Endpoint, total endpoints.Load, d Demand, home bool) candidate {
	c := candidate{endpoint: e, uncached: d.Prompt}
	if home {
		c.uncached -= shared(d.Parts)
	}
	perRequest := callTime
	if d.Prompt > 0 {
		perRequest = streamTime
	}
	c.start = time.Duration(total.Prompt+c.uncached)*tokenTime + time.Duration(total.Running)*perRequest
	c.cost = c.start + time.Duration(e.FailureRate()*float64(failureCost))
	return c
}

// home returns the endpoint at which requests with the same shared parts meet,
// so that its cache holds them; nil if the request shares none.
func home(list []*endpoints.Endpoint, d Demand) *endpoints.Endpoint {
	if len(d.Parts) < 2 {
		return nil
	}
	key := rendezvous.Key(d.Parts[len(d.Parts)-2].ID)
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
func shared(parts []Part) int {
	n := 0
	for _, p := range parts[:max(0, len(parts)-1)] {
		n += p.Tokens
	}
	return n
}
