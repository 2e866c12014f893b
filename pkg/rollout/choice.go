package rollout

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// Choice says which versions one request may use. What it permits follows the rollout while the
// request waits. The zero value permits all.
type Choice struct {
	registry *Registry
	service  *service
	route    string
	kind     kind
	// order is the order whose share the request takes part in.
	order ID
}

// Choose chooses for one request to a service, before it is placed. random is a number in [0, 1).
// A request that is chosen for the new version and not sent there is returned by Release.
func (r *Registry) Choose(name, route string, random float64) Choice {
	s := r.service(name)
	c := Choice{registry: r, service: s, route: shortRoute(route), kind: byDefault}
	current := s.rule.Load()
	if !current.offers(r.Now()) {
		return c
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts.order == current.order && s.counts.take(route, random) {
		c.kind, c.order = candidate, current.order
	}
	return c
}

// ChooseBound chooses for a request that goes on at the version that began it.
func (r *Registry) ChooseBound(name, route string) Choice {
	return Choice{registry: r, service: r.service(name), route: shortRoute(route), kind: bound}
}

// Candidate reports whether the request is to be sent to the new version, or not at all.
func (c Choice) Candidate() bool { return c.kind == candidate }

// Default returns the choice of a request that isn't part of the small share.
func (c Choice) Default() Choice {
	c.kind = byDefault
	return c
}

// Release returns what a request of the small share took, as it was not sent.
func (c Choice) Release() {
	if c.kind != candidate {
		return
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	if c.service.counts.order == c.order {
		c.service.counts.credit[c.service.counts.routeName(c.route)]++
	}
}

// Limits reports whether the choice may limit the endpoints: the zero value never does.
func (c Choice) Limits() bool { return c.service != nil }

// Permitted returns what reports whether the request may be sent to an endpoint now. It holds for one
// placement.
func (c Choice) Permitted() func(e *endpoints.Endpoint) bool {
	current, now := c.service.rule.Load(), c.registry.Now()
	if c.kind == candidate {
		return func(e *endpoints.Endpoint) bool { return current.permits(candidate, e.ID, e.Version(), now) }
	}
	// Whole ranges of a list have the same version.
	known, version, permitted := false, "", false
	return func(e *endpoints.Endpoint) bool {
		if !known || e.Version() != version {
			known, version = true, e.Version()
			permitted = current.permits(c.kind, e.ID, version, now)
		}
		return permitted
	}
}

// Run is one request at an endpoint. It isn't safe for concurrent use.
type Run struct {
	choice   Choice
	endpoint string
	version  string
	order    ID
	warm     bool
	began    time.Time
	// delay is for how long the process had been held up when the request began.
	delay time.Duration
	// answering is true once the answer has begun.
	answering bool
}

// Began records that the request is sent to an endpoint now. first is true if it wasn't sent before.
// It returns nil if the request may not be sent there any more. Ended must be called otherwise.
func (c Choice) Began(e *endpoints.Endpoint, first bool) *Run {
	if c.service == nil {
		return &Run{}
	}
	now := c.registry.Now()
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	current := c.service.rule.Load()
	version := e.Version()
	if !current.permits(c.kind, e.ID, version, now) {
		return nil
	}
	counts := &c.service.counts
	counts.inProgress[version]++
	if current.stage != 0 && counts.order == current.order {
		counts.sent(c.route, version == counts.to)
		counts.account(c, version, first, current, now)
	}
	warm := !now.Before(c.service.coldUntil[e.ID])
	return &Run{choice: c, endpoint: e.ID, version: version, order: counts.order, warm: warm, began: now, delay: c.registry.Delay()}
}

// Expectation is how long it takes until an answer begins.
type Expectation struct {
	// Usual is the time if the endpoint has read what requests share, as far as is known, and Cold if
	// it hasn't.
	Usual, Cold time.Duration
	// Shared names what the request shares with others; "" for nothing.
	Shared string
	// Untimed is true if the time says nothing about the endpoint.
	Untimed bool
}

// Answering records that the answer begins. Further calls do nothing.
func (r *Run) Answering(x Expectation) {
	s := r.choice.service
	if s == nil || r.answering {
		return
	}
	r.answering = true
	registry := r.choice.registry
	took, delay := registry.Now().Sub(r.began), registry.Delay()-r.delay
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.counts.tallyOf(r)
	if t == nil {
		return
	}
	t.Begun++
	if r.warm && !x.Untimed {
		t.addTime(bin(took, delay, s.counts.expected(r, x)))
	}
}

// Ended records how the request ended.
func (r *Run) Ended(outcome Outcome) {
	s := r.choice.service
	if s == nil {
		return
	}
	now := r.choice.registry.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := &s.counts
	counts.ended(r.version)
	isNew := counts.order != 0 && r.version == counts.to
	if !isNew {
		counts.recordLength(now.Sub(r.began), now)
	}
	t := counts.tallyOf(r)
	if t == nil {
		return
	}
	if !r.answering {
		t.Begun++
	}
	t.answered(outcome)
	r.choice.registry.metrics.count(s.name, isNew, outcome)
}

// tallyOf returns the tally that a request is counted in; nil if it isn't counted for the order.
func (c *counts) tallyOf(r *Run) *Tally {
	if r.order == 0 || c.order != r.order {
		return nil
	}
	return c.tally(r.choice.route, r.version == c.to)
}
