package handover

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts copies, adoptions and followed answers.
type Metrics struct {
	copies      prometheus.Gauge
	adoptions   prometheus.Counter
	unprotected prometheus.Counter
	holdersLost prometheus.Counter
	tails       prometheus.Counter
}

// NewMetrics registers the metrics of this package.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		copies: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "medlarsill_handover_copies", Help: "Copies of other entries' requests held here.",
		}),
		adoptions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_handover_adoptions_total", Help: "Answers of other entries continued here.",
		}),
		unprotected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_handover_unprotected_total", Help: "Requests that continued without a copy on a peer.",
		}),
		holdersLost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_handover_keepers_lost_total", Help: "Copies that had to be made again on another peer.",
		}),
		tails: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_handover_tails_total", Help: "Answers read from another entry for a caller here.",
		}),
	}
	reg.MustRegister(m.copies, m.adoptions, m.unprotected, m.holdersLost, m.tails)
	return m
}

func (m *Metrics) setCopies(n int)   { m.copies.Set(float64(n)) }
func (m *Metrics) countAdoption()    { m.adoptions.Inc() }
func (m *Metrics) countUnprotected() { m.unprotected.Inc() }
func (m *Metrics) countHolderLost()  { m.holdersLost.Inc() }
func (m *Metrics) countTail()        { m.tails.Inc() }
