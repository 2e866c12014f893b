package ledger

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts claims, commits and calls to the object store.
type Metrics struct {
	claims     *prometheus.CounterVec
	commits    *prometheus.CounterVec
	groupSizes prometheus.Histogram
	storeCalls *prometheus.CounterVec
	fallbacks  prometheus.Counter
}

// NewMetrics registers the metrics of this package.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_ledger_claims_total", Help: "Claims of keys by outcome.",
		}, []string{"outcome"}),
		commits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_ledger_commits_total", Help: "Group commits by outcome.",
		}, []string{"outcome"}),
		groupSizes: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "medlarsill_ledger_group_size", Help: "Transitions in one group commit.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 10),
		}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_ledger_store_calls_total", Help: "Calls to the object store by operation.",
		}, []string{"op"}),
		fallbacks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_ledger_fallbacks_total", Help: "Transitions committed here because the shard's owner could not commit them.",
		}),
	}
	reg.MustRegister(m.claims, m.commits, m.groupSizes, m.storeCalls, m.fallbacks)
	return m
}

func (m *Metrics) countClaim(c Claim, err error) {
	m.claims.WithLabelValues(claimOutcome(c, err)).Inc()
}

func claimOutcome(c Claim, err error) string {
	switch {
	case c.Attempt != nil:
		return "granted"
	case err == nil:
		return "replayed"
	case errors.Is(err, ErrMismatch):
		return "mismatch"
	case errors.Is(err, ErrInDoubt):
		return "in_doubt"
	case errors.Is(err, ErrFull):
		return "full"
	case errors.Is(err, ErrAnswerLost):
		return "answer_lost"
	}
	return "unavailable"
}

func (m *Metrics) countCommit(transitions int, err error) {
	outcome := "committed"
	switch {
	case errors.Is(err, ErrUnavailable):
		outcome = "unavailable"
	case err != nil:
		outcome = "unresolved"
	}
	m.commits.WithLabelValues(outcome).Inc()
	m.groupSizes.Observe(float64(transitions))
}

func (m *Metrics) countStoreCall(op string) { m.storeCalls.WithLabelValues(op).Inc() }
func (m *Metrics) countFallback()           { m.fallbacks.Inc() }
