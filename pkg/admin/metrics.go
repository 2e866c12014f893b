package admin

import "github.com/prometheus/client_golang/prometheus"

// outcomeAuditUnavailable is the outcome of changes that were not written because
// their audit record couldn't be stored.
const outcomeAuditUnavailable = "audit-unavailable"

// Metrics counts changes, errors and lost audit records.
type Metrics struct {
	changes *prometheus.CounterVec
	errors  *prometheus.CounterVec
	// AuditMissed counts records that couldn't be stored or exceeded the rate limit.
	AuditMissed prometheus.Counter
}

// NewMetrics returns Metrics registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_admin_changes_total", Help: "Changes of the configuration by outcome.",
		}, []string{"outcome"}),
		errors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_admin_errors_total", Help: "Failed requests of operators by code.",
		}, []string{"code"}),
		AuditMissed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_admin_audit_missed_total", Help: "Audit records of refusals and outcomes that were not stored.",
		}),
	}
	reg.MustRegister(m.changes, m.errors, m.AuditMissed)
	return m
}

func (m *Metrics) countChange(outcome string) { m.changes.WithLabelValues(outcome).Inc() }

func (m *Metrics) countError(code string) { m.errors.WithLabelValues(code).Inc() }
