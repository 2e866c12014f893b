package origin

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics counts the messages and what became of the streams that callers took up.
type metrics struct {
	messages prometheus.Counter
	// found counts the streams that were looked up, by whether their builds were known.
	found *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	factory := promauto.With(reg)
	return &metrics{
		messages: factory.NewCounter(prometheus.CounterOpts{Name: "medlarsill_origin_messages_total", Help: "Messages to peers on where streams began."}),
		found:    factory.NewCounterVec(prometheus.CounterOpts{Name: "medlarsill_origin_lookups_total", Help: "Streams that callers took up, by whether the build that began them was known."}, []string{"known"}),
	}
}

// foundLabel returns the value of the label of lookups.
func foundLabel(known bool) string {
	if known {
		return "yes"
	}
	return "no"
}
