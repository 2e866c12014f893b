// Package kvcache decides whether an endpoint reads the shared prefix of a prompt or fetches it
// from the KV cache of another endpoint, and from which. It remembers which endpoints have
// answered requests of this instance with the same prefix lately, and avoids sources whose
// destinations answer late. It sends nothing itself.
package kvcache

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/routing"
)

// evictionShare is the share of an endpoint's cache that may be written after a prefix before it
// counts as evicted. Requests that run occupy the rest.
const evictionShare = 0.5

// Endpoints holds the registered endpoints.
type Endpoints interface {
	// ByID returns the endpoint that is registered under an id.
	ByID(id string) (*endpoints.Endpoint, bool)
}

// Options configures a Directory. All fields are required.
type Options struct {
	// Engine returns the engines of a service; nil if it has none.
	Engine    func(service string) *routing.Engine
	Endpoints Endpoints
	// Members returns the number of instances that place requests on the same endpoints.
	Members func() int
	Metrics prometheus.Registerer
}

// Directory knows which endpoints probably hold the prefixes of prompts. It is safe for concurrent
// use.
type Directory struct {
	Options
	metrics metrics
	memory  *memory
	links   *links
	// services holds the *serviceHealth by name of the services that have fetched.
	services sync.Map
}

// New returns a Directory that knows of no prefix.
func New(o Options) *Directory {
	d := &Directory{Options: o, memory: &memory{}, links: &links{}}
	d.metrics = newMetrics(o.Metrics, func() float64 { return float64(d.memory.len()) })
	return d
}

// Find returns the endpoints that probably hold a prefix. affinity is the endpoint on which requests
// with the prefix are placed first; nil if there is none.
func (d *Directory) Find(p *Prefix, affinity *endpoints.Endpoint, now time.Time) Holders {
	engine := d.Engine(p.service)
	if p.Tokens() < minTokens || engine == nil || !engine.CanFetch() {
		return Holders{}
	}
	h := Holders{engine: engine, suspended: d.suspended(p.service, now)}
	evicted := evictionLimit(engine, d.Members())
	for i := p.count - 1; i >= 0; i-- {
		l := p.levels[i]
		d.memory.each(l.key, func(r record) bool {
			o, holds := d.recall(r, l.tokens, evicted, now)
			if holds {
				h.add(o)
			}
			return holds
		})
		if i == p.count-1 && affinity != nil {
			h.add(d.assume(affinity, l.tokens, now))
		}
	}
	return h
}

// evictionLimit returns the number of tokens that this instance may write to an endpoint's cache
// after a prefix before that is evicted: all instances write about as much; 0 if there is no limit.
func evictionLimit(e *routing.Engine, members int) uint64 {
	return uint64(evictionShare * float64(max(0, e.CacheTokens)) / float64(max(1, members)))
}

// recall returns the holder of a record, or false if it has probably lost the prefix.
func (d *Directory) recall(r record, tokens int, evicted uint64, now time.Time) (holder, bool) {
	o := holder{endpoint: r.endpoint, tokens: tokens}
	if now.Sub(r.at) > holdTime || !d.registered(r.endpoint) {
		return o, false
	}
	holds := false
	d.links.with(r.endpoint, now, func(l *link) {
		holds = l.written >= r.written && (evicted == 0 || l.written-r.written < evicted)
		o.observe(l, now)
	})
	return o, holds
}

// assume returns the holder for an endpoint of which this instance has seen no answer.
func (d *Directory) assume(e *endpoints.Endpoint, tokens int, now time.Time) holder {
	o := holder{endpoint: e, tokens: tokens, assumed: true}
	d.links.with(e, now, func(l *link) { o.observe(l, now) })
	return o
}

// observe sets what the link and the health of the endpoint tell of it as a source.
func (o *holder) observe(l *link, now time.Time) {
	o.busy = max(0, l.busyUntil.Sub(now))
	o.source = l.staysLongEnough(o.endpoint.Info(), now) && !l.suspect(now) && !o.endpoint.Paused(now) && !o.endpoint.SeemsEnded()
}

// registered reports whether an endpoint's process is registered. Those that are not leaving are:
// the table marks what it removes.
func (d *Directory) registered(e *endpoints.Endpoint) bool {
	if !e.Info().Leaving {
		return true
	}
	current, ok := d.Endpoints.ByID(e.ID)
	return ok && current == e
}

// Placed records that a request is sent to an endpoint by a plan.
func (d *Directory) Placed(e *endpoints.Endpoint, p Plan, now time.Time) {
	d.metrics.placed(p)
	f := p.Fetch
	if f.Source == nil {
		return
	}
	d.health(f.Source.Service).begin(f, now)
	d.links.with(f.Source, now, func(l *link) {
		l.begin(f, now)
		l.occupy(f.transfer, now)
	})
	d.links.with(e, now, func(l *link) { l.occupy(f.transfer, now) })
}

// Answered records that an endpoint's answer to a request with a prefix has begun. written is the
// number of tokens that the request adds to the endpoint's cache.
func (d *Directory) Answered(p *Prefix, e *endpoints.Endpoint, written int, now time.Time) {
	if p.Tokens() < minTokens {
		return
	}
	r := record{endpoint: e, at: now}
	d.links.with(e, now, func(l *link) {
		l.written += uint64(max(0, written))
		r.written = l.written
	})
	for _, l := range p.levels[:p.count] {
		d.memory.put(l.key, r)
	}
}

// Ended records the end of a fetch: took is the time until the answer began, or until the request
// ended without an answer. It reports whether the answer was late.
func (d *Directory) Ended(f Fetch, took time.Duration, answered bool, now time.Time) (late bool) {
	if f.Source == nil {
		return false
	}
	late = took > f.Limit
	d.links.with(f.Source, now, func(l *link) { l.end(f, late, answered, now) })
	d.health(f.Source.Service).end(f, late, answered, now)
	if late {
		d.metrics.late.Inc()
	}
	return late
}

// health returns the state of fetches of a service.
func (d *Directory) health(service string) *serviceHealth {
	if s, ok := d.services.Load(service); ok {
		return s.(*serviceHealth)
	}
	s, _ := d.services.LoadOrStore(service, &serviceHealth{})
	return s.(*serviceHealth)
}

// suspended reports whether the endpoints of a service don't fetch for now.
func (d *Directory) suspended(service string, now time.Time) bool {
	s, ok := d.services.Load(service)
	return ok && s.(*serviceHealth).suspect(now)
}
