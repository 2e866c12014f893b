package ratelimit

import "github.com/prometheus/client_golang/prometheus"

// Values of the label "send".
const (
	firstSend    = "first"
	repeatedSend = "repeated"
)

// Metrics holds the metrics of rate limits.
type Metrics struct {
	// sends counts the requests sent to endpoints with a limit in force, by whether the
	// request was sent for the first time.
	sends *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_limited_endpoint_sends_total", Help: "Requests sent to endpoints with a rate limit in force, by whether the request was sent for the first time.",
		}, []string{"send"}),
	}
	reg.MustRegister(m.sends)
	return m
}

func (m *Metrics) recordSend(repeated bool) {
	if repeated {
		m.sends.WithLabelValues(repeatedSend).Inc()
		return
	}
	m.sends.WithLabelValues(firstSend).Inc()
}
