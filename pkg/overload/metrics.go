package overload

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of overload-sensitive endpoints.
type metrics struct {
	// refusals counts the requests that sensitive endpoints refused for want of room, and
	// growths the requests placed on them beyond this instance's part.
	refusals, growths prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) metrics {
	m := metrics{
		refusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_sensitive_endpoint_refusals_total", Help: "Requests that overload-sensitive endpoints refused for want of room.",
		}),
		growths: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_sensitive_endpoint_growths_total", Help: "Requests placed on overload-sensitive endpoints beyond this instance's part of their slots.",
		}),
	}
	reg.MustRegister(m.refusals, m.growths)
	return m
}
