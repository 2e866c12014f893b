package admit

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of admission. A nil Metrics records nothing.
type Metrics struct {
	requests *prometheus.CounterVec
	wait     *prometheus.HistogramVec
	current  *prometheus.GaugeVec
}

// NewMetrics registers the metrics of this package.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_admit_requests_total", Help: "Requests by service and outcome.",
		}, []string{"service", "outcome"}),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "medlarsill_admit_wait_seconds", Help: "Time that admitted requests waited.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 9),
		}, []string{"service"}),
		current: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "medlarsill_admit_requests", Help: "Requests of this entry that run or wait, and the number that may run.",
		}, []string{"service", "state"}),
	}
	reg.MustRegister(m.requests, m.wait, m.current)
	return m
}

// recordOutcome counts the outcome of one request.
func (m *Metrics) recordOutcome(service string, waited time.Duration, err error) {
	if m == nil {
		return
	}
	var refusal *Refusal
	switch {
	case err == nil:
		m.requests.WithLabelValues(service, "admitted").Inc()
		m.wait.WithLabelValues(service).Observe(waited.Seconds())
	case errors.As(err, &refusal) && !refusal.callerGone:
		m.requests.WithLabelValues(service, "refused").Inc()
	default:
		m.requests.WithLabelValues(service, "caller_gone").Inc()
	}
}

// recordState sets the gauges of a service's current requests.
func (m *Metrics) recordState(service string, s *scheduler) {
	if m == nil {
		return
	}
	m.current.WithLabelValues(service, "running").Set(float64(len(s.running)))
	m.current.WithLabelValues(service, "waiting").Set(float64(s.waiting))
	m.current.WithLabelValues(service, "limit").Set(float64(s.limit))
}
