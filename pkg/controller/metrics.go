package controller

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/capacity"
	"github.com/medlarsill/medlarsill/pkg/cloud"
)

// Metrics counts steps, actions and load reports.
type Metrics struct {
	steps   *prometheus.CounterVec
	actions *prometheus.CounterVec
	polls   prometheus.Counter
}

// NewMetrics registers the metrics of this package.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		steps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_controller_steps_total", Help: "Steps of the capacity controller by outcome.",
		}, []string{"outcome"}),
		actions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_controller_actions_total", Help: "Actions of capacity plans by kind and outcome.",
		}, []string{"kind", "outcome"}),
		polls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_controller_load_reports_total", Help: "Load reports requested from endpoints.",
		}),
	}
	reg.MustRegister(m.steps, m.actions, m.polls)
	return m
}

func (m *Metrics) recordStep(err error) { m.steps.WithLabelValues(stepOutcome(err)).Inc() }

func (m *Metrics) recordPolls(n int) { m.polls.Add(float64(n)) }

func (m *Metrics) recordAction(kind capacity.ActionKind, err error) {
	result := "failed"
	switch {
	case err == nil:
		result = "done"
	case errors.Is(err, cloud.ErrRefused):
		result = "refused"
	case errors.Is(err, ErrNotHolder):
		result = "not_holder"
	}
	m.actions.WithLabelValues(string(kind), result).Inc()
}
