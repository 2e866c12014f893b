package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// durationSamples is the number of requests of a route whose durations are kept.
	durationSamples = 64
	// durationQuantile is the share of them that take no longer than what is expected.
	durationQuantile = 0.95
	// maxDurationRoutes is the number of routes after which all are forgotten: configurations drop
	// routes and add others.
	maxDurationRoutes = 4096
)

// durations holds how long the last answered requests of each route took. It is safe for
// concurrent use.
type durations struct {
	byRoute sync.Map
	routes  atomic.Int64
}

// routeDurations is a ring of the durations of one route's requests.
type routeDurations struct {
	mu      sync.Mutex
	samples []time.Duration
	next    int
}

// record records the duration of an answered request.
func (d *durations) record(route string, took time.Duration) {
	r := d.of(route)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.samples) < durationSamples {
		r.samples = append(r.samples, took)
		return
	}
	r.samples[r.next] = took
	r.next = (r.next + 1) % durationSamples
}

// of returns the durations of a route.
func (d *durations) of(route string) *routeDurations {
	value, known := d.byRoute.LoadOrStore(route, &routeDurations{})
	if !known && d.routes.Add(1) > maxDurationRoutes {
		d.byRoute.Clear()
		d.routes.Store(0)
	}
	return value.(*routeDurations)
}

// expected returns how long nearly all requests of a route take; false if none was answered yet.
func (d *durations) expected(route string) (time.Duration, bool) {
	value, ok := d.byRoute.Load(route)
	if !ok {
		return 0, false
	}
	r := value.(*routeDurations)
	r.mu.Lock()
	sorted := slices.Clone(r.samples)
	r.mu.Unlock()
	if len(sorted) == 0 {
		return 0, false
	}
	slices.Sort(sorted)
	return sorted[int(durationQuantile*float64(len(sorted)-1))], true
}
