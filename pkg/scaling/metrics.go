package scaling

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics shows what the holder of the duty plans by; other instances show nothing.
type metrics struct {
	demand  *prometheus.GaugeVec
	present *prometheus.GaugeVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	factory := promauto.With(reg)
	return &metrics{
		demand: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "medlarsill_capacity_demand", Help: "Endpoints that the load of a service needs, as planned by the holder of the duties.",
		}, []string{"service"}),
		present: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "medlarsill_capacity_present", Help: "Endpoints of a service that take work, when its capacity was planned.",
		}, []string{"service"}),
	}
}
