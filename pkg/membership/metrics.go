package membership

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the membership metrics.
type Metrics struct {
	// Present is the number of members that are alive or suspect, this one included.
	Present prometheus.Gauge
	// Changes counts member state changes by new state.
	Changes *prometheus.CounterVec
	// Heartbeats counts sent heartbeats by outcome.
	Heartbeats *prometheus.CounterVec
	// Exchanges counts exchanges of member tables.
	Exchanges prometheus.Counter
	// Leaving counts the leaving notices that were new to this process.
	Leaving prometheus.Counter
	// RelayFailures counts the failed relays of leaving notices, one per peer and batch.
	RelayFailures prometheus.Counter
}

// NewMetrics returns the metrics, registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		Present: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "medlarsill_members_present", Help: "Members that are alive or suspect."}),
		Changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_member_changes_total", Help: "Member state changes."}, []string{"state"}),
		Heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_heartbeats_total", Help: "Heartbeats sent."}, []string{"outcome"}),
		Exchanges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_member_exchanges_total", Help: "Exchanges of whole member tables."}),
		Leaving: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_leaving_endpoints_total", Help: "Leaving endpoints newly reported to this process."}),
		RelayFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_leaving_relay_failures_total", Help: "Failed relays of leaving-endpoint notices to a peer."}),
	}
	reg.MustRegister(m.Present, m.Changes, m.Heartbeats, m.Exchanges, m.Leaving, m.RelayFailures)
	return m
}
