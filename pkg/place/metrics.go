package place

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts the decisions of a Policy by outcome. A nil Metrics counts nothing.
type Metrics struct {
	placed, overBound, noEndpoint, nothingAllowed prometheus.Counter
}

// NewMetrics registers the metrics of this package.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "medlarsill_place_decisions_total", Help: "Placement decisions by outcome.",
	}, []string{"outcome"})
	reg.MustRegister(decisions)
	return &Metrics{
		placed:         decisions.WithLabelValues("placed"),
		overBound:      decisions.WithLabelValues("placed_over_bound"),
		noEndpoint:     decisions.WithLabelValues("no_endpoint"),
		nothingAllowed: decisions.WithLabelValues("nothing_allowed"),
	}
}

// recordDecision counts one decision. overBound means that no candidate's load was under
// the bound.
func (m *Metrics) recordDecision(overBound bool, err error) {
	switch {
	case m == nil:
	case errors.Is(err, ErrNoDataCentreAllowed):
		m.nothingAllowed.Inc()
	case err != nil:
		m.noEndpoint.Inc()
	case overBound:
		m.overBound.Inc()
	default:
		m.placed.Inc()
	}
}
