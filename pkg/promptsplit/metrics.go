package promptsplit

import "github.com/prometheus/client_golang/prometheus"

// Values of the labels "kind" and "part".
const (
	kindLong, kindShort = "long", "short"
	partOwn, partOther  = "own", "other"
)

// metrics holds the metrics of the splits.
type metrics struct {
	placed *prometheus.CounterVec
	share  *prometheus.GaugeVec
}

// newMetrics registers the metrics; reg may be nil.
func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		placed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_split_prompts_placed_total", Help: "Requests placed while the endpoints are split between long and short prompts, by kind of prompt and part of the endpoints.",
		}, []string{"service", "kind", "part"}),
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "medlarsill_split_prompts_long_share", Help: "Share of a service's endpoints that long prompts are placed on; 0 while they aren't split.",
		}, []string{"service"}),
	}
	if reg != nil {
		reg.MustRegister(m.placed, m.share)
	}
	return m
}

func (m *metrics) recordPlaced(service string, long, ownPart bool) {
	kind, part := kindShort, partOther
	if long {
		kind = kindLong
	}
	if ownPart {
		part = partOwn
	}
	m.placed.WithLabelValues(service, kind, part).Inc()
}
