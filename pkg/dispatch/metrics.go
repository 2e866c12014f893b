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
	tokens          prometheus.Counter
	recomputed      *prometheus.CounterVec
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
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_dispatch_tokens_total", Help: "Tokens received from endpoints.",
		}),
		recomputed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_dispatch_recomputed_tokens_total", Help: "Tokens computed again after an earlier attempt had computed them, by how the attempt continued the answer.",
		}, []string{"way"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_dispatch_attempts_total", Help: "Attempts by how they started or continued the answer.",
		}, []string{"way"}),
	}
	reg.MustRegister(m.requests, m.attemptFailures, m.tokens, m.recomputed, m.attempts)
	return m
}

func (m *Metrics) countRequest(err error) {
	m.requests.WithLabelValues(string(CodeOf(err))).Inc()
}

func (m *Metrics) countFailure(err error) {
	reason := "broken"
	switch {
	case errors.Is(err, engine.ErrNotRun):
		reason = "not_run"
	case errors.Is(err, engine.ErrRejected):
		reason = "rejected"
	}
	m.attemptFailures.WithLabelValues(reason).Inc()
}

func (m *Metrics) countAttempt(mode startMode) { m.attempts.WithLabelValues(string(mode)).Inc() }
func (m *Metrics) countTokens(n int)           { m.tokens.Add(float64(n)) }

func (m *Metrics) countRecomputed(mode startMode, n int) {
	m.recomputed.WithLabelValues(string(mode)).Add(float64(n))
}
