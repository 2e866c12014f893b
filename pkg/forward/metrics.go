package forward

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts calls and attempts by outcome.
type Metrics struct {
	calls    *prometheus.CounterVec
	attempts *prometheus.CounterVec
}

// NewMetrics registers the metrics of this package.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_forward_calls_total", Help: "Calls to plain services by outcome.",
		}, []string{"outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_forward_attempts_total", Help: "Attempts to send calls to endpoints, by outcome.",
		}, []string{"outcome"}),
	}
	reg.MustRegister(m.calls, m.attempts)
	return m
}

func (m *Metrics) finished(err error)  { m.calls.WithLabelValues(outcome(err)).Inc() }
func (m *Metrics) attempted(err error) { m.attempts.WithLabelValues(outcome(err)).Inc() }

func outcome(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, ErrNotRun):
		return "not_run"
	case errors.Is(err, ErrNotAllowed):
		return "not_allowed"
	case errors.Is(err, ErrNotRecorded):
		return "not_recorded"
	case errors.Is(err, ErrKeyReused):
		return "key_reused"
	case errors.Is(err, ErrTooLarge):
		return "too_large"
	case errors.Is(err, ErrAnswerLost):
		return "answer_lost"
	}
	return "unknown"
}
