package poison

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics counts crashes and what follows from them.
type metrics struct {
	// crashes counts the crashes that this instance has seen, refused the requests that it
	// kept away from the endpoints, and probes those that it sent nevertheless.
	crashes, refused, probes prometheus.Counter
	// quarantined is the number of traits in quarantine.
	quarantined prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	factory := promauto.With(reg)
	return &metrics{
		crashes:     factory.NewCounter(prometheus.CounterOpts{Name: "medlarsill_poison_crashes_total", Help: "Endpoints that ended while requests of this instance ran or waited there."}),
		refused:     factory.NewCounter(prometheus.CounterOpts{Name: "medlarsill_poison_refused_total", Help: "Requests not sent since they, or a part of their prompt, crash endpoints."}),
		probes:      factory.NewCounter(prometheus.CounterOpts{Name: "medlarsill_poison_probes_total", Help: "Requests sent to check whether they still crash endpoints."}),
		quarantined: factory.NewGauge(prometheus.GaugeOpts{Name: "medlarsill_poison_parts", Help: "Parts of prompts and whole requests that are kept away from endpoints."}),
	}
}
