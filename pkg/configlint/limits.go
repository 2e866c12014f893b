package configlint

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/ledger"
	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// checkTargets finds targets that no answer can miss because the deadline comes first.
func checkTargets(d *config.Document) []strictjson.Problem {
	var out findings
	for i := range d.Services {
		s := &d.Services[i]
		deadline := s.Deadline().Milliseconds()
		if s.Kind != config.KindModel {
			continue
		}
		if int64(s.FirstTokenTargetMS) > deadline {
			out.add(at("services[%d].first_token_target_ms", i), "%d ms is more than the deadline of %d ms", s.FirstTokenTargetMS, deadline)
		}
		if int64(s.BetweenTokensTargetMS) > deadline {
			out.add(at("services[%d].between_tokens_target_ms", i), "%d ms is more than the deadline of %d ms", s.BetweenTokensTargetMS, deadline)
		}
	}
	return out
}

// checkRetention finds non-idempotent calls that may take longer than their keys are
// remembered: a repeat during such a call would run it again.
func checkRetention(d *config.Document) []strictjson.Problem {
	var out findings
	for i := range d.Services {
		s := &d.Services[i]
		if len(s.NonIdempotent) > 0 && s.Deadline() > ledger.DefaultRetention {
			out.add(at("services[%d].deadline_ms", i), "calls may take %d s but idempotency keys are remembered for %d s: a repeat may run a non-idempotent call twice",
				int(s.Deadline()/time.Second), int(ledger.DefaultRetention/time.Second))
		}
	}
	return out
}

// checkDisjointCapacity finds minimums above the maximum of the same service in another
// preset: a switch starts or drains instances at once, whatever the demand is.
func checkDisjointCapacity(d *config.Document) []strictjson.Problem {
	var out findings
	for i := range d.Presets {
		for j, c := range d.Presets[i].Capacity {
			if below := presetsBelow(d, c); len(below) > 0 {
				out.add(at("presets[%d].capacity[%d].min", i, j), "%d instances of service %q are more than max in preset %s", c.Min, c.Service, strings.Join(below, ", "))
			}
		}
	}
	return out
}

// presetsBelow returns the presets whose maximum of the service is below c.Min.
func presetsBelow(d *config.Document, c config.Capacity) []string {
	var out []string
	for i := range d.Presets {
		if slices.ContainsFunc(d.Presets[i].Capacity, func(other config.Capacity) bool { return other.Service == c.Service && other.Max < c.Min }) {
			out = append(out, d.Presets[i].Name)
		}
	}
	return out
}

// checkMinBelowPlaces finds minimums that leave some workspace without an instance. The
// planner derives the demand from running instances, so a workspace that none of them may
// serve gets no instance however much it asks for.
func checkMinBelowPlaces(d *config.Document) []strictjson.Problem {
	var out findings
	for i := range d.Presets {
		for j, c := range d.Presets[i].Capacity {
			s, ok := d.ServiceByName(c.Service)
			if !ok {
				continue
			}
			if apart := disjointCallers(d, d.Presets[i].Name, s); c.Min < len(apart) {
				out.add(at("presets[%d].capacity[%d].min", i, j), "%d instances of service %q can't serve workspaces that need %d (%s): with little demand some get none",
					c.Min, s.Name, len(apart), strings.Join(apart, ", "))
			}
		}
	}
	return out
}

// disjointCallers returns workspaces that may call a service and of which no two can
// share an instance. The choice is greedy, so that there may be more of them.
func disjointCallers(d *config.Document, preset string, s *config.Service) []string {
	type caller struct {
		name   string
		places []string
	}
	var all []caller
	for _, w := range callers(d, s.Name) {
		if p := places(d, preset, w, s); len(p) > 0 {
			all = append(all, caller{w.Name, p})
		}
	}
	slices.SortStableFunc(all, func(a, b caller) int { return cmp.Compare(len(a.places), len(b.places)) })
	var out []string
	taken := make(map[string]bool)
	for _, c := range all {
		if slices.ContainsFunc(c.places, func(dc string) bool { return taken[dc] }) {
			continue
		}
		out = append(out, c.name)
		for _, dc := range c.places {
			taken[dc] = true
		}
	}
	return out
}

// checkMinAboveLimits finds minimums that the workspaces together may never fill. The
// spare for the loss of a data centre and one instance in each are not counted.
func checkMinAboveLimits(d *config.Document) []strictjson.Problem {
	var out findings
	for i := range d.Presets {
		open := openDataCentres(d, &d.Presets[i])
		for j, c := range d.Presets[i].Capacity {
			s, ok := d.ServiceByName(c.Service)
			if !ok {
				continue
			}
			limit := inFlightLimit(callers(d, s.Name))
			if limit > 0 && float64(c.Min) > instancesFor(limit, s.BatchLimit, open) {
				out.add(at("presets[%d].capacity[%d].min", i, j), "%d instances run %d requests each, but the workspaces that may call service %q may have only %.0f in flight together",
					c.Min, s.BatchLimit, s.Name, limit)
			}
		}
	}
	return out
}

// inFlightLimit returns the number of requests that workspaces together may have in flight.
func inFlightLimit(workspaces []*config.Workspace) float64 {
	sum := 0.0
	for _, w := range workspaces {
		sum += float64(w.MaxInFlight)
	}
	return sum
}

// instancesFor returns the number of instances that run a number of requests at once
// even after the loss of one data centre, at least one in each data centre.
func instancesFor(requests float64, batch, dataCentres int) float64 {
	n := math.Ceil(requests / float64(batch))
	if dataCentres > 1 {
		n = math.Ceil(n * float64(dataCentres) / float64(dataCentres-1))
	}
	return max(n, float64(dataCentres))
}

// checkPrices finds reclaimable instances that cost more than on-demand ones.
func checkPrices(d *config.Document) []strictjson.Problem {
	var out findings
	for i, c := range d.Classes {
		for j, p := range c.Prices {
			if p.Reclaimable > p.OnDemand {
				out.add(at("machine_classes[%d].prices[%d].reclaimable_per_hour", i, j), "reclaimable instances cost more than on-demand ones (%g) in data centre %q", p.OnDemand, p.DataCentre)
			}
		}
	}
	return out
}

// checkWeights finds presets whose weights are all zero: all endpoints score the same.
func checkWeights(d *config.Document) []strictjson.Problem {
	var out findings
	for i, p := range d.Presets {
		if p.CostWeight == 0 && p.RecomputeWeight == 0 && p.LatencyWeight == 0 {
			out.add(at("presets[%d]", i), "preset %q has no weights, so placement prefers no endpoint to another", p.Name)
		}
	}
	return out
}
