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
	// riseWindow is the time over which a rise of the load is looked for: instances boot for
	// seconds, and callers wait for them.
	riseWindow = 500 * time.Millisecond
	// riseFactor is the ratio of the rate in a riseWindow to the present one from which it takes
	// effect at once. Random differences between windows are smaller.
	riseFactor = 1.5
	// minRiseRate is the rate, in engines, below which rises aren't looked for: with few requests
	// random differences between windows are as large, and each costs instances for seconds.
	minRiseRate = 20.0
	// minReportInterval is the shortest time between two reports over which a rate is formed.
	minReportInterval = 100 * time.Millisecond
)

// sourceState is what a source has told.
type sourceState struct {
	// totals holds the engine seconds requested since the source started, by service.
	totals map[string]float64
	// heardAt is when they were recorded, and rates the engine seconds requested per second since
	// the record before.
	heardAt time.Time
	rates   map[string]float64
}

// Meter computes how many engines the load of a service needs, from the work
// requested at all gateway instances. It counts requested rather than running work, as
// the latter grows without bound if there are too few engines. It is safe for
// concurrent use.
type Meter struct {
	Now func() time.Time

	mu sync.Mutex
	// sources holds what each source has told.
	sources map[string]sourceState
	// requested holds the engine seconds requested in the current window, by service.
	requested map[string]float64
	// recorded holds the engine seconds requested since this meter was created, by service.
	recorded map[string]float64
	// rates holds the engine seconds requested per second of the last window, by service.
	rates       map[string]float64
	windowStart time.Time
	// risingSince is when a rise was last looked for.
	risingSince time.Time
	// risen holds the services whose rate rose in the last riseWindow, which may have held only
	// the beginning of the rise.
	risen map[string]bool
	// measured is true once a whole window has passed.
	measured bool
}

// NewMeter returns a meter without measurements.
func NewMeter(now func() time.Time) *Meter {
	return &Meter{
		Now: now, sources: make(map[string]sourceState),
		requested: make(map[string]float64), recorded: make(map[string]float64), rates: make(map[string]float64), windowStart: now(),
		risingSince: now(), risen: make(map[string]bool),
	}
}

// Record records the total engine seconds requested at a source since it started, by
// service. A source is one process run of a gateway instance.
func (m *Meter) Record(source string, totals map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	before, known := m.sources[source]
	next := sourceState{totals: totals, heardAt: now, rates: make(map[string]float64, len(totals))}
	if known {
		for name, n := range totals {
			work := max(0, n-before.totals[name])
			m.requested[name] += work
			m.recorded[name] += work
			next.rates[name] = work / max(now.Sub(before.heardAt), minReportInterval).Seconds()
		}
	}
	m.sources[source] = next
	m.updateRates()
	m.updateRises()
}

// updateRises raises the rates that have grown to riseFactor times the last ones within a
// riseWindow. The caller holds the lock.
func (m *Meter) updateRises() {
	now := m.Now()
	if now.Sub(m.risingSince) < riseWindow {
		return
	}
	m.risingSince = now
	if !m.measured {
		return
	}
	for name, rate := range m.newestRates(now) {
		rises := rate >= minRiseRate && (rate > riseFactor*m.rates[name] || m.risen[name] && rate > m.rates[name])
		m.risen[name] = rises && !m.risen[name]
		if rises {
			m.rates[name] = rate
			clear(m.requested)
			m.windowStart = now
		}
	}
}

// newestRates returns the sums of the rates between the last two reports of each source, by service.
// What a source tells of after a cut is spread over the cut, so that it is no rise. The caller holds
// the lock.
func (m *Meter) newestRates(now time.Time) map[string]float64 {
	sum := make(map[string]float64)
	for _, s := range m.sources {
		if now.Sub(s.heardAt) >= rateWindow {
			continue
		}
		for name, rate := range s.rates {
			sum[name] += rate
		}
	}
	return sum
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

// RequestedWork implements LoadMeter.
func (m *Meter) RequestedWork(s *routing.Service) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recorded[s.Name]
}
