package rollout

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the metrics of a registry.
type metrics struct {
	requests *prometheus.CounterVec
	stopped  *prometheus.CounterVec
	statuses *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer, delay func() time.Duration) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_rollout_requests_total", Help: "Requests that ended at endpoints of services under a rollout, by service, side (new or old) and outcome.",
		}, []string{"service", "side", "outcome"}),
		stopped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_rollout_stopped_total", Help: "Rollouts that this instance stopped sending to, as it found the version to be bad.",
		}, []string{"service"}),
		statuses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_rollout_statuses_total", Help: "Writes of a rollout's status, by state and result.",
		}, []string{"state", "result"}),
	}
	ownDelay := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "medlarsill_rollout_own_delay_seconds_total", Help: "Time for which this instance was held up itself while an order was in force.",
	}, func() float64 { return delay().Seconds() })
	reg.MustRegister(m.requests, m.stopped, m.statuses, ownDelay)
	return m
}

// count counts the end of a request.
func (m *metrics) count(service string, isNew bool, outcome Outcome) {
	at := "old"
	if isNew {
		at = "new"
	}
	m.requests.WithLabelValues(service, at, [...]string{"unknown", "good", "bad"}[outcome]).Inc()
}
