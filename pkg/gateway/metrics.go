package gateway

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the gateway's metrics.
type Metrics struct {
	// Arrived counts the requests to known routes, by whether the caller seems to
	// retry.
	Arrived *prometheus.CounterVec
	// Refused counts the requests that the gateway refused or aborted, by reason.
	Refused *prometheus.CounterVec
	// Forwarded counts the requests that were forwarded to peers, by result.
	Forwarded *prometheus.CounterVec
	// Answered holds the time in seconds until an endpoint's response was relayed,
	// by kind of route.
	Answered *prometheus.HistogramVec
	// FirstEvent holds the time in seconds until the first event of a stream.
	FirstEvent prometheus.Histogram
	// StreamBuilds counts the streams that may be resumed, by whether the build that began them was
	// known at their first event, and those of which it was found out later.
	StreamBuilds *prometheus.CounterVec
}

// Values of the label of StreamBuilds. A stream whose build is found out later is counted twice.
const (
	buildKnown      = "yes"
	buildUnknown    = "no"
	buildFoundLater = "later"
)

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		Arrived: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_gateway_arrived_total", Help: "Requests received, by whether their caller seems to retry.",
		}, []string{"returning"}),
		Refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_gateway_refused_total", Help: "Requests refused or aborted by the gateway, by reason.",
		}, []string{"reason"}),
		Forwarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_gateway_forwarded_total", Help: "Requests forwarded to other instances, by result.",
		}, []string{"result"}),
		Answered: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "medlarsill_gateway_answer_seconds", Help: "Time until an endpoint's response was relayed, by kind of route.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"kind"}),
		StreamBuilds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_gateway_stream_builds_total", Help: "Streams that may be resumed, by whether the build that began them was known at their first event, and those of which it was found out later.",
		}, []string{"known"}),
		FirstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "medlarsill_gateway_first_event_seconds", Help: "Time until the first event of a stream.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
	}
	reg.MustRegister(m.Arrived, m.Refused, m.Forwarded, m.Answered, m.FirstEvent, m.StreamBuilds)
	return m
}
