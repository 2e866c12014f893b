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

// Results of lookups in the archive.
const (
	lookupStream    = "stream"
	lookupOnlyBuild = "only build"
	lookupUnknown   = "unknown"
	lookupFailed    = "failed"
)

// archiveMetrics counts what is stored and looked up in the archive.
type archiveMetrics struct {
	recorded prometheus.Counter
	lookups  *prometheus.CounterVec
}

func newArchiveMetrics(reg prometheus.Registerer) *archiveMetrics {
	factory := promauto.With(reg)
	return &archiveMetrics{
		recorded: factory.NewCounter(prometheus.CounterOpts{Name: "medlarsill_origin_archived_total", Help: "Streams that this instance had stored, as several builds of their service served."}),
		lookups:  factory.NewCounterVec(prometheus.CounterOpts{Name: "medlarsill_origin_archive_lookups_total", Help: "Streams that were looked up in the archive, by result."}, []string{"result"}),
	}
}
