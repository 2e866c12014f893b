package gossip

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of a node.
type metrics struct {
	sentBytes *prometheus.CounterVec
	passedOn  prometheus.Counter
}

// newMetrics returns metrics, which are registered unless reg is nil.
func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		sentBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_gossip_sent_bytes_total", Help: "Bytes of datagrams that were sent to peers, without headers, by the receiver's data centre: same, other or unknown.",
		}, []string{"data_centre"}),
		passedOn: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_gossip_passed_on_total", Help: "Datagrams of peers of other data centres that were passed on to peers.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.sentBytes, m.passedOn)
	}
	return m
}
