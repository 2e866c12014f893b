package gateway

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the calls by their ends.
type Metrics struct {
	// Arrived counts the calls on routes that arrive, by whether the caller seems to have
	// sent the request before.
	Arrived *prometheus.CounterVec
	// Refused counts the answers of the gateway's own by reason.
	Refused *prometheus.CounterVec
	// Answered holds the times of answered calls in seconds, by kind of route.
	Answered *prometheus.HistogramVec
	// FirstEvent holds the times until the first event of streams, in seconds.
	FirstEvent prometheus.Histogram
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		Arrived: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_gateway_arrived_total", Help: "Calls that arrive, by whether their caller seems to have come before.",
		}, []string{"returning"}),
		Refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_gateway_refused_total", Help: "Answers of the gateway's own, by reason.",
		}, []string{"reason"}),
		Answered: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "medlarsill_gateway_answer_seconds", Help: "Time of answered calls, by kind of route.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"kind"}),
		FirstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "medlarsill_gateway_first_event_seconds", Help: "Time until the first event of a stream.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
	}
	reg.MustRegister(m.Arrived, m.Refused, m.Answered, m.FirstEvent)
	return m
}
