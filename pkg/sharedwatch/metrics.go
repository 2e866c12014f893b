package sharedwatch

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Values of the metrics' labels.
const (
	eventSent     = "told"
	eventReceived = "heard"
	eventOmitted  = "omitted"

	reasonIncomplete  = "incomplete"
	reasonUnreachable = "silent"
	reasonLate        = "late"
	reasonLarge       = "large"
)

// metrics counts the batches of the relays, and the direct watches and reads of the
// followers.
type metrics struct {
	batches *prometheus.CounterVec
	direct  *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	factory := promauto.With(reg)
	return &metrics{
		batches: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_shared_watch_batches_total", Help: "Batches of changes that were sent to the peers, received from them, or too large to be sent, by event.",
		}, []string{"event"}),
		direct: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_shared_watch_direct_total", Help: "Watches and reads that this follower made directly on the store, by reason.",
		}, []string{"reason"}),
	}
}
