package main

import "github.com/prometheus/client_golang/prometheus"

// registerStateMetrics registers gauges of the state that this process works with
// and of its age.
func (p *process) registerStateMetrics() {
	gauges := map[string]struct {
		help  string
		value func() float64
	}{
		"medlarsill_config_age_seconds":       {"Time since the store last confirmed the configuration.", func() float64 { return p.config.Age().Seconds() }},
		"medlarsill_config_version":           {"Version of the current configuration; 0 while none is known.", func() float64 { return float64(p.config.Version()) }},
		"medlarsill_endpoints_age_seconds":    {"Time since the store last confirmed the list of endpoints.", func() float64 { return p.endpointFollower.Age().Seconds() }},
		"medlarsill_members":                  {"Instances that are registered or send messages, this one included.", func() float64 { return float64(p.node.Members()) }},
		"medlarsill_peers_heard":              {"Peers that are reachable.", func() float64 { return float64(p.node.ReachablePeers()) }},
		"medlarsill_duties_fence":             {"Fencing token under which this instance holds the duty lease; 0 if it doesn't.", p.dutyFence},
		"medlarsill_store_cut_off":            {"1 while this instance's calls to the object store fail.", p.storeCutOff},
		"medlarsill_endpoint_rate_limits":     {"Endpoints with a rate limit in force.", func() float64 { return float64(p.rateLimits.Active()) }},
		"medlarsill_endpoints_overload_known": {"Endpoints of which it is known whether they are sensitive to overload, while any is.", func() float64 { return float64(p.overload.Active()) }},
		"medlarsill_requests_active":          {"Requests in progress.", func() float64 { return float64(p.gateway.Active()) }},
	}
	for name, g := range gauges {
		p.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: g.help}, g.value))
	}
}

func (p *process) dutyFence() float64 {
	fence, _ := p.dutyLease.Held()
	return float64(fence)
}

func (p *process) storeCutOff() float64 {
	if p.storeReach.CutOff() {
		return 1
	}
	return 0
}
