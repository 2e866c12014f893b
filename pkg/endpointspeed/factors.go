// Package endpointspeed estimates how fast each endpoint is compared with the others of its
// service. An endpoint's factor is the time that it takes as a multiple of the time that the
// service's own estimate expects: 2 means twice as slow. Instances exchange the sums over their
// samples, as one instance sees too few requests of each endpoint.
//
// A factor has two parts. The lasting part comes from sums of all instances that fade over
// some seconds. The recent part comes from samples of the last second, of this instance and of
// the peers whose reports arrive in time, and only ever raises the factor.
//
// The lasting parts of a service's endpoints are normalised to a geometric mean of 1, so that
// they don't drift against the service's estimate.
package endpointspeed

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 200 * time.Millisecond
	// poolInterval is the time between two computations of the lasting parts.
	poolInterval = time.Second
)

// Endpoints lists the registered endpoints.
type Endpoints interface {
	All() []*endpoints.Endpoint
}

// Options configures Factors. All fields are required.
type Options struct {
	Endpoints Endpoints
	Metrics   prometheus.Registerer
	Log       *slog.Logger
	Now       func() time.Time
}

// Factors holds the factors of all registered endpoints. It is safe for concurrent use.
type Factors struct {
	Options
	metrics metrics
	known   atomic.Pointer[registered]
	// changed is true if the registered endpoints have changed since the last Tick.
	changed atomic.Bool

	// mu guards the fields below.
	mu       sync.Mutex
	pooledAt time.Time
	// ignoredAt is when a report that can't be used was last logged.
	ignoredAt time.Time
	// random returns a random number in [0, n).
	random func(n int) int
}

// registered is an immutable index of the states of the registered endpoints.
type registered struct {
	byKey    map[endpoints.Key]*state
	byHash   map[uint64]*state
	services map[string]*service
}

// New returns Factors without samples.
func New(o Options) *Factors {
	f := &Factors{Options: o, random: rand.IntN}
	f.known.Store(&registered{})
	f.changed.Store(true)
	f.metrics = newMetrics(o.Metrics, f)
	return f
}

// EndpointsChanged makes the next Tick read the list of endpoints again.
func (f *Factors) EndpointsChanged() { f.changed.Store(true) }

// Factor returns the time that an endpoint takes now as a multiple of the time expected of its
// service; 1 if that isn't known.
func (f *Factors) Factor(k endpoints.Key) float64 {
	s, ok := f.known.Load().byKey[k]
	if !ok {
		return 1
	}
	return s.factor.load()
}

// LastingFactor is Factor without the recent part.
func (f *Factors) LastingFactor(k endpoints.Key) float64 {
	s, ok := f.known.Load().byKey[k]
	if !ok {
		return 1
	}
	return s.lastingFactor.load()
}

// Normalise returns the time that something which took a time at an endpoint would have taken at
// a mean endpoint of the service. It corrects for the lasting part of the factor only, since the
// recent part isn't normalised.
func (f *Factors) Normalise(k endpoints.Key, took time.Duration) time.Duration {
	s, ok := f.known.Load().byKey[k]
	if !ok {
		return took
	}
	return time.Duration(float64(took) / s.lastingFactor.load())
}

// Observe records the time that something took at an endpoint, and the time that the service's
// estimate expected.
func (f *Factors) Observe(k endpoints.Key, expected, took time.Duration) {
	s, ok := f.known.Load().byKey[k]
	if !ok || expected <= 0 || took <= 0 {
		return
	}
	f.metrics.samples.Inc()
	relative, ok := s.service.relative(logRatio(took, expected), s.lasting.load())
	if ok {
		s.addSample(relative, f.Now())
	}
}

// Tick updates the factors. It must be called once in each TickInterval.
func (f *Factors) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed.Swap(false) {
		f.register()
	}
	now := f.Now()
	if now.Sub(f.pooledAt) >= poolInterval {
		f.pooledAt = now
		f.pool(now)
		return
	}
	for _, s := range f.known.Load().byKey {
		s.refresh(now)
	}
}

// register replaces the index of the registered endpoints. Endpoints that have ended are dropped
// with their samples. The caller holds mu.
func (f *Factors) register() {
	list, before := f.Endpoints.All(), f.known.Load()
	next := &registered{byKey: make(map[endpoints.Key]*state, len(list)), byHash: make(map[uint64]*state, len(list)), services: make(map[string]*service)}
	for _, e := range list {
		k := e.Key()
		s, ok := before.byKey[k]
		if !ok || s.service.name != e.Service {
			s = newState(k, next.serviceOf(before, e.Service))
		}
		next.services[s.service.name] = s.service
		next.byKey[k], next.byHash[s.hash] = s, s
	}
	f.known.Store(next)
}

// serviceOf returns the service with the given name, which it takes over from the index before or
// adds.
func (r *registered) serviceOf(before *registered, name string) *service {
	if s, ok := r.services[name]; ok {
		return s
	}
	s, ok := before.services[name]
	if !ok {
		s = &service{name: name}
	}
	r.services[name] = s
	return s
}

// pool computes the lasting parts of all factors. The caller holds mu.
func (f *Factors) pool(now time.Time) {
	known := f.known.Load()
	centres := make(map[*service]*centre, len(known.services))
	for _, s := range known.byKey {
		c, ok := centres[s.service]
		if !ok {
			c = &centre{}
			centres[s.service] = c
		}
		c.add(s.pool(now))
	}
	for _, s := range known.byKey {
		s.setLasting(centres[s.service].mean(), now)
		f.logChange(s)
	}
}

// logChange logs that an endpoint has become slow or has recovered. The caller holds mu.
func (f *Factors) logChange(s *state) {
	factor := s.lastingFactor.load()
	switch {
	case !s.slow && factor > slowFactor:
		s.slow = true
		f.Log.Info("endpoint slower than its service", "endpoint", s.key.ID, "service", s.service.name, "factor", factor)
	case s.slow && factor < recoveredFactor:
		s.slow = false
		f.Log.Info("endpoint no longer slower than its service", "endpoint", s.key.ID, "service", s.service.name, "factor", factor)
	}
}
