package dispatch

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/engine"
)

// Metrics counts requests, attempts and tokens.
type Metrics struct {
	requests        *prometheus.CounterVec
	attemptFailures *prometheus.CounterVec
	tokenCount      prometheus.Counter
	recomputedCount *prometheus.CounterVec
	attempts        *prometheus.CounterVec
}

// NewMetrics registers the metrics of this package.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_dispatch_requests_total", Help: "Model requests by outcome.",
		}, []string{"outcome"}),
		attemptFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_dispatch_attempt_failures_total", Help: "Failed attempts by reason.",
		}, []string{"reason"}),
		tokenCount: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_dispatch_tokens_total", Help: "Tokens received from endpoints.",
		}),
		recomputedCount: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_dispatch_recomputed_tokens_total", Help: "Tokens computed again after an earlier attempt had computed them, by how the attempt continued the answer.",
		}, []string{"way"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_dispatch_attempts_total", Help: "Attempts by how they started or continued the answer.",
		}, []string{"way"}),
	}
	reg.MustRegister(m.requests, m.attemptFailures, m.tokenCount, m.recomputedCount, m.attempts)
	return m
}

func (m *Metrics) finished(err error) {
	m.requests.WithLabelValues(string(CodeOf(err))).Inc()
}

func (m *Metrics) attemptFailed(err error) {
	reason := "broken"
	switch {
	case errors.Is(err, engine.ErrNotRun):
		reason = "not_run"
	case errors.Is(err, engine.ErrRejected):
		reason = "rejected"
	}
	m.attemptFailures.WithLabelValues(reason).Inc()
}

func (m *Metrics) attempt(mode startMode) { m.attempts.WithLabelValues(string(mode)).Inc() }
func (m *Metrics) tokens(n int)           { m.tokenCount.Add(float64(n)) }

func (m *Metrics) recomputed(mode startMode, n int) {
	m.recomputedCount.WithLabelValues(string(mode)).Add(float64(n))
}
