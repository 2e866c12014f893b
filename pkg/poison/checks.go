package poison

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// check holds the requests whose connections to an endpoint ended at the same moment: those
// that broke off, and those whose answers seem complete.
type check struct {
	broken, complete []Request
}

// BrokeOff records that the connection of a request broke before its answer was under way
// for a while. If the endpoint has ended, that is evidence against the request's traits.
func (g *Guard) BrokeOff(e *endpoints.Endpoint, r Request) {
	g.checkLater(e, func(c *check) { c.broken = append(c.broken, r) })
}

// Closed records that the answer to a request ended with its connection. It may be complete;
// if the endpoint has ended, that is evidence against the request's traits as well.
func (g *Guard) Closed(e *endpoints.Endpoint, r Request) {
	g.checkLater(e, func(c *check) { c.complete = append(c.complete, r) })
}

// checkLater adds a request to the next check of an endpoint. What ends at an endpoint that is
// leaving is no evidence.
func (g *Guard) checkLater(e *endpoints.Endpoint, add func(c *check)) {
	if e.Info().Leaving {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	k := e.Key()
	c, ok := g.checks[k]
	if !ok {
		c = &check{}
		g.checks[k] = c
		time.AfterFunc(collectTime, func() { g.checkEnded(k, e) })
	}
	add(c)
}

// checkEnded records a crash if the process of an endpoint has ended.
func (g *Guard) checkEnded(k endpoints.Key, e *endpoints.Endpoint) {
	ended := g.Ended(e.Addr)
	g.mu.Lock()
	c := g.checks[k]
	delete(g.checks, k)
	g.mu.Unlock()
	if ended {
		g.recordCrash(k, append(c.broken, c.complete...))
		return
	}
	for _, r := range c.complete {
		g.Survived(r)
	}
}

// recordCrash records a crash that this instance has seen.
func (g *Guard) recordCrash(k endpoints.Key, requests []Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	g.metrics.crashes.Inc()
	suspected := g.suspected(requests, now)
	g.Log.Info("endpoint ended with requests", "endpoint", k.ID, "requests", len(requests), "suspected_requests", len(suspected))
	g.addCrash(processOf(k), suspected, now)
	g.next.Crashes = append(g.next.Crashes, crashReport{Process: processOf(k), Requests: suspected})
}

// suspected returns the requests without the traits of which one was answered lately, and
// without those that have no other. The caller must hold mu.
func (g *Guard) suspected(requests []Request, now time.Time) []Request {
	var out []Request
	for _, r := range requests {
		r.Parts = r.Parts[:min(len(r.Parts), maxParts)]
		for _, t := range r.traits() {
			if g.sound.has(t, now) {
				r = r.without(t)
			}
		}
		if len(r.traits()) > 0 {
			out = append(out, r)
		}
	}
	return out[:min(len(out), maxRequests)]
}

// addCrash records a crash. The caller must hold mu.
func (g *Guard) addCrash(p process, requests []Request, now time.Time) {
	c := g.log.add(p, requests, now)
	for t := range g.quarantine.entries {
		c.explain(t)
	}
	g.lastCrash = now
	g.active.Store(true)
}
