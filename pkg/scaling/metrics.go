package scaling

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics holds the gauges of the capacity plan and the counters of its cost. Only the holder of the duty sets them.
type metrics struct {
	demand  *prometheus.GaugeVec
	present *prometheus.GaugeVec
	// shortageShare is the share of the time by which the plan by price weighs reclaims.
	shortageShare *prometheus.GaugeVec
	// seconds and price count the time of ordered instances and its price, used the time in which
	// they were busy.
	seconds, price, used *prometheus.CounterVec
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
		shortageShare: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "medlarsill_capacity_shortage_share", Help: "Share of the time in which on-demand endpoints of a service replaced reclaimable ones, 0.3 if not known yet.",
		}, []string{"service"}),
		seconds: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_capacity_instance_seconds_total", Help: "Time of ordered endpoints by the cause for which they were there, counted by the holder of the duty.",
		}, []string{"service", "data_centre", "kind", "cause"}),
		price: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_capacity_price_total", Help: "Price of that time, in seconds of an on-demand endpoint at price 1.",
		}, []string{"service", "data_centre", "kind", "cause"}),
		used: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_capacity_used_seconds_total", Help: "Part of the time of running endpoints in which they were busy, estimated from the requested engine time.",
		}, []string{"service", "data_centre", "kind"}),
	}
}
