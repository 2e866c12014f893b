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
	// rateSpan is the time over which the rate of the work is taken, and firstSpan the
	// time after which a first rate of an instance is taken.
	rateSpan  = 2 * time.Second
	firstSpan = 500 * time.Millisecond
	// silentFor is how long an instance that isn't heard is taken to be asked for as
	// much as before: one that is cut off from its peers still has its callers.
	silentFor = 10 * time.Second
)

// Meter works out from what all instances were asked how many engines the load
// of a service needs. It counts what is asked, not what is under way: that
// grows without bound where engines are missing. It is safe for concurrent use.
type Meter struct {
	Now func() time.Time

	mu        sync.Mutex
	began     time.Time
	instances map[string]*askedOf
}

// askedOf is what one start of an instance was asked for.
type askedOf struct {
	boot uint64
	// from holds the engine seconds since its start at the time at, by service, and
	// rates those for each second before that.
	from  map[string]float64
	at    time.Time
	rates map[string]float64
	// settled is true once the rates are those of a whole span.
	settled bool
	// heard is when the instance was heard last.
	heard time.Time
}

// NewMeter returns a meter that has seen nothing.
func NewMeter(now func() time.Time) *Meter {
	return &Meter{Now: now, began: now(), instances: make(map[string]*askedOf)}
}

// Heard takes the engine seconds that one start of an instance was asked for, by service.
func (m *Meter) Heard(id string, boot uint64, totals map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	a, known := m.instances[id]
	if !known || a.boot != boot {
		a = &askedOf{boot: boot, from: totals, at: now}
		m.instances[id] = a
	}
	a.heard = now
	a.take(totals, now)
}

// take works the rates out anew once a span has passed, however long the instance
// wasn't heard in it.
func (a *askedOf) take(totals map[string]float64, now time.Time) {
	passed := now.Sub(a.at)
	whole := passed >= rateSpan
	if !whole && (a.settled || passed < firstSpan) {
		return
	}
	a.rates = make(map[string]float64, len(totals))
	for name, n := range totals {
		a.rates[name] = max(0, n-a.from[name]) / passed.Seconds()
	}
	if whole {
		a.from, a.at, a.settled = totals, now, true
	}
}

// Left takes the news that an instance has ended its work.
func (m *Meter) Left(id string, boot uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a, known := m.instances[id]; known && a.boot == boot {
		delete(m.instances, id)
	}
}

// Engines implements Load.
func (m *Meter) Engines(s *routing.Service) (float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	rate := 0.0
	for id, a := range m.instances {
		if now.Sub(a.heard) > silentFor {
			delete(m.instances, id)
			continue
		}
		rate += a.rates[s.Name]
	}
	return rate / busyShare, now.Sub(m.began) >= rateSpan
}
