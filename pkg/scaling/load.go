package scaling

import (
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

const (
	// busyShare is the share of the time that an engine should be busy at most, so
	// that new requests begin within their objectives.
	busyShare = 0.8
	// rateSpan is the time over which the rate of the work is taken.
	rateSpan = 2 * time.Second
)

// Meter works out from what all instances were asked how many engines the load
// of a service needs. It counts what is asked, not what is under way: that
// grows without bound where engines are missing. It is safe for concurrent use.
type Meter struct {
	Now func() time.Time

	mu sync.Mutex
	// totals holds the engine seconds asked for since its start, by source and service.
	totals map[string]map[string]float64
	asked  map[string]float64
	rates  map[string]float64
	at     time.Time
	// measured is true once a whole span was observed.
	measured bool
}

// NewMeter returns a meter that has seen nothing.
func NewMeter(now func() time.Time) *Meter {
	return &Meter{
		Now: now, totals: make(map[string]map[string]float64),
		asked: make(map[string]float64), rates: make(map[string]float64), at: now(),
	}
}

// Heard takes the engine seconds that one start of an instance was asked for, by service.
func (m *Meter) Record(source string, totals map[string]float64) {
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
	m.measured = true
}

// Engines implements Load.
func (m *Meter) RequiredEngines(s *routing.Service) (float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rates[s.Name] / busyShare, m.measured
}
