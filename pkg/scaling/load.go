package scaling

import (
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/routing"
)

const (
	// promptRate is the number of prompt tokens, cached ones included, that an
	// engine should take in a second at most, so that new requests begin in time.
	promptRate = 150_000
	// runningShare is the share of an engine's slots that should be in use at most.
	runningShare = 0.5
	// maxRunning bounds that number: more streams slow each other down.
	maxRunning = 24
	// rateSpan is the time over which the rate of prompt tokens is taken.
	rateSpan = 2 * time.Second
)

// Meter works out from what all instances were asked how many engines the load
// of a service needs. It is safe for concurrent use.
type Meter struct {
	Endpoints *endpoints.Table
	Now       func() time.Time

	mu sync.Mutex
	// totals holds the prompt tokens asked for since its start, by source and service.
	totals map[string]map[string]float64
	asked  map[string]float64
	rates  map[string]float64
	at     time.Time
}

// NewMeter returns a meter that has seen nothing.
func NewMeter(t *endpoints.Table, now func() time.Time) *Meter {
	return &Meter{
		Endpoints: t, Now: now, totals: make(map[string]map[string]float64),
		asked: make(map[string]float64), rates: make(map[string]float64), at: now(),
	}
}

// Heard takes the prompt tokens that one start of an instance was asked to have read, by service.
func (m *Meter) Heard(source string, totals map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, known := m.totals[source]
	m.totals[source] = totals
	if known {
		for name, n := range totals {
			m.asked[name] += max(0, n-before[name])
		}
	}
	m.turn()
}

// turn takes the rates anew once a span has passed. The lock is held.
func (m *Meter) turn() {
	now := m.Now()
	passed := now.Sub(m.at)
	if passed < rateSpan {
		return
	}
	clear(m.rates)
	for name, n := range m.asked {
		m.rates[name] = n / passed.Seconds()
	}
	clear(m.asked)
	m.at = now
}

// Engines implements Load.
func (m *Meter) Engines(s *routing.Service) float64 {
	m.mu.Lock()
	rate := m.rates[s.Name]
	m.mu.Unlock()
	running := 0
	for _, e := range m.Endpoints.All() {
		if e.Service == s.Name {
			running += e.Total().Running
		}
	}
	slots := float64(maxRunning)
	if s.Engine != nil && s.Engine.Slots > 0 {
		slots = min(slots, runningShare*float64(s.Engine.Slots))
	}
	return max(rate/promptRate, float64(running)/slots)
}
