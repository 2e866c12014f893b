package scaling

import (
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

const (
	// maxUtilisation is the largest share of the time that an engine should be busy,
	// so that new requests start within their latency objectives.
	maxUtilisation = 0.8
	// rateWindow is the time over which request rates are averaged.
	rateWindow = 2 * time.Second
)

// Meter computes how many engines the load of a service needs, from the work
// requested at all gateway instances. It counts requested rather than running work, as
// the latter grows without bound if there are too few engines. It is safe for
// concurrent use.
type Meter struct {
	Now func() time.Time

	mu sync.Mutex
	// totals holds the engine seconds requested since a source started, by source and
	// service.
	totals map[string]map[string]float64
	// requested holds the engine seconds requested in the current window, by service.
	requested map[string]float64
	// rates holds the engine seconds requested per second of the last window, by service.
	rates       map[string]float64
	windowStart time.Time
	// measured is true once a whole window has passed.
	measured bool
}

// NewMeter returns a meter without measurements.
func NewMeter(now func() time.Time) *Meter {
	return &Meter{
		Now: now, totals: make(map[string]map[string]float64),
		requested: make(map[string]float64), rates: make(map[string]float64), windowStart: now(),
	}
}

// Record records the total engine seconds requested at a source since it started, by
// service. A source is one process run of a gateway instance.
func (m *Meter) Record(source string, totals map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, known := m.totals[source]
	m.totals[source] = totals
	if known {
		for name, n := range totals {
			m.requested[name] += max(0, n-before[name])
		}
	}
	m.updateRates()
}

// updateRates computes the rates once a window has passed. The caller holds the lock.
func (m *Meter) updateRates() {
	now := m.Now()
	elapsed := now.Sub(m.windowStart)
	if elapsed < rateWindow {
		return
	}
	clear(m.rates)
	for name, n := range m.requested {
		m.rates[name] = n / elapsed.Seconds()
	}
	clear(m.requested)
	m.windowStart = now
	m.measured = true
}

// RequiredEngines implements LoadMeter.
func (m *Meter) RequiredEngines(s *routing.Service) (float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rates[s.Name] / maxUtilisation, m.measured
}
