package sharedwatch

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Labels of the metrics.
const (
	eventTold    = "told"
	eventHeard   = "heard"
	eventOmitted = "omitted"

	reasonIncomplete = "incomplete"
	reasonSilent     = "silent"
)

// metrics counts what relays tell, and the watches that followers make themselves.
type metrics struct {
	batches *prometheus.CounterVec
	direct  *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	factory := promauto.With(reg)
	return &metrics{
		batches: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_shared_watch_batches_total", Help: "Answers of watches that were told to the peers, heard from them, or too large to be told.",
		}, []string{"event"}),
		direct: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_shared_watch_direct_total", Help: "Watches that this instance made itself though others watch for it, by reason.",
		}, []string{"reason"}),
	}
}
