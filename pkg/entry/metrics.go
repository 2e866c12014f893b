package entry

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts accepted requests and error responses.
type Metrics struct {
	accepted       *prometheus.CounterVec
	errorResponses *prometheus.CounterVec
}

// NewMetrics registers the metrics of this package.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		accepted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_entry_accepted_total", Help: "Accepted requests by kind of service.",
		}, []string{"kind"}),
		errorResponses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_entry_errors_total", Help: "Error responses by code.",
		}, []string{"code"}),
	}
	reg.MustRegister(m.accepted, m.errorResponses)
	return m
}

func (m *Metrics) countAccepted(kind string) { m.accepted.WithLabelValues(kind).Inc() }
func (m *Metrics) countError(code string)    { m.errorResponses.WithLabelValues(code).Inc() }
