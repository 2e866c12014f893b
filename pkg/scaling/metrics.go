package scaling

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics holds the gauges of the capacity plan. Only the holder of the duty sets them.
type metrics struct {
	demand  *prometheus.GaugeVec
	present *prometheus.GaugeVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	factory := promauto.With(reg)
	return &metrics{
		demand: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "medlarsill_capacity_demand", Help: "Number of endpoints that the load of a service needs, set by the holder of the duty.",
		}, []string{"service"}),
		present: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "medlarsill_capacity_present", Help: "Number of endpoints of a service that accepted requests at the last capacity plan.",
		}, []string{"service"}),
	}
}
