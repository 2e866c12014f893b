package fairshare

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of the fair shares.
type metrics struct {
	refused, behind *prometheus.CounterVec
	ignored         prometheus.Counter
}

// newMetrics registers the metrics; reg may be nil.
func newMetrics(reg prometheus.Registerer, s *Shares) *metrics {
	m := &metrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_fair_share_refused_total", Help: "Requests refused since their workspace asks for more than its fair share, by service.",
		}, []string{"service"}),
		behind: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_fair_share_waited_behind_total", Help: "Requests that waited behind those of workspaces within their fair share, by service.",
		}, []string{"service"}),
		ignored: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_fair_share_reports_ignored_total", Help: "Reports of peers on the demand of workspaces that can't be decoded.",
		}),
	}
	if reg != nil {
		peers := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "medlarsill_fair_share_peers", Help: "Peers whose demand by workspace was received in the last minute.",
		}, func() float64 { return float64(s.Peers()) })
		reg.MustRegister(m.refused, m.behind, m.ignored, peers)
	}
	return m
}
