package report

import (
	"fmt"
	"strings"
)

// Limits of the targets.
const (
	// minShareWithin is the minimum share of latencies within the service's
	// target, that is, the target must hold at p95.
	minShareWithin = 0.95
	// maxCostOverBound is the maximum ratio of the cost to its lower bound.
	maxCostOverBound = 1.3
	// minSaving is the minimum saving as a fraction of the best baseline's cost.
	minSaving = 0.25
	// maxRecomputedShare is the maximum number of recomputed tokens as a
	// fraction of the best baseline's.
	maxRecomputedShare = 0.5
	// minFairShare is the minimum fraction of its fair share that each workspace
	// must be served.
	minFairShare = 0.95
)

// OwnPolicy is the policy name in the rows that measure this system; all other
// policies are baselines.
const OwnPolicy = "ours"

// TargetResult is the comparison of a measured value with a target.
type TargetResult struct {
	Target   string
	Measured string
	Met      bool
}

// CheckTargets compares the measurements of OwnPolicy with the targets, for each
// profile and scenario.
func CheckTargets(groups []*Group) []TargetResult {
	var out []TargetResult
	for _, g := range groups {
		if g.Policy != OwnPolicy {
			continue
		}
		out = append(out, latencyTargets(g)...)
		out = append(out, fairShareTarget(g))
		switch g.Scenario {
		case "ordinary":
			out = append(out, boundTarget(g), savingTarget(g, groups))
		case "wave":
			out = append(out, recomputedTarget(g, groups, RecomputedTokens), recomputedTarget(g, groups, RepeatedTokens))
		}
	}
	return out
}

func targetPrefix(g *Group) string { return g.Profile + ", " + g.Scenario + ": " }

// meetsLatencyTarget reports whether the group's policy meets both latency targets.
func (g *Group) meetsLatencyTarget() bool {
	return g.Mean(FirstTokenWithin) >= minShareWithin && g.Mean(BetweenTokensWithin) >= minShareWithin
}

func latencyTargets(g *Group) []TargetResult {
	var out []TargetResult
	for _, m := range []Measure{FirstTokenWithin, BetweenTokensWithin} {
		out = append(out, TargetResult{
			Target:   targetPrefix(g) + fmt.Sprintf("%s at least %.2f", m, minShareWithin),
			Measured: formatDecimals(g.Mean(m), 3), Met: g.Mean(m) >= minShareWithin,
		})
	}
	return out
}

func fairShareTarget(g *Group) TargetResult {
	return TargetResult{
		Target:   targetPrefix(g) + fmt.Sprintf("no workspace under %.2f of its fair share", minFairShare),
		Measured: formatDecimals(g.Mean(LeastWorkspaceShare), 3), Met: g.Mean(LeastWorkspaceShare) >= minFairShare,
	}
}

func boundTarget(g *Group) TargetResult {
	return TargetResult{
		Target:   targetPrefix(g) + fmt.Sprintf("cost at most %.1f times the lower bound", maxCostOverBound),
		Measured: fmt.Sprintf("%s of the cheapest price, %s of the preset's cheapest mix", formatDecimals(g.Mean(CostOverBound), 2), formatDecimals(g.Mean(CostOverPreset), 2)),
		Met:      g.Mean(CostOverBound) <= maxCostOverBound && g.meetsLatencyTarget(),
	}
}

func savingTarget(g *Group, groups []*Group) TargetResult {
	r := TargetResult{Target: targetPrefix(g) + fmt.Sprintf("cost at least %.0f%% under the best baseline that meets the target", 100*minSaving)}
	best := cheapestBaseline(g, groups)
	if best == nil {
		r.Measured, r.Met = "no baseline meets the target", g.meetsLatencyTarget()
		return r
	}
	saving := 1 - g.Mean(ModelCost)/best.Mean(ModelCost)
	r.Measured, r.Met = fmt.Sprintf("%.1f%% under %s", 100*saving, best.Policy), saving >= minSaving && g.meetsLatencyTarget()
	return r
}

// cheapestBaseline returns the cheapest baseline that meets the latency targets,
// or nil if there is none.
func cheapestBaseline(g *Group, groups []*Group) *Group {
	var best *Group
	for _, other := range groups {
		same := other.Profile == g.Profile && other.Scenario == g.Scenario && other.Policy != OwnPolicy
		if same && other.meetsLatencyTarget() && (best == nil || other.Mean(ModelCost) < best.Mean(ModelCost)) {
			best = other
		}
	}
	return best
}

// recomputedTarget compares a count of recomputed tokens with the lowest count
// of the baselines. m is RecomputedTokens or RepeatedTokens.
func recomputedTarget(g *Group, groups []*Group, m Measure) TargetResult {
	lowest := -1.0
	name := ""
	for _, other := range groups {
		same := other.Profile == g.Profile && other.Scenario == g.Scenario && other.Policy != OwnPolicy
		if same && (lowest < 0 || other.Mean(m) < lowest) {
			lowest, name = other.Mean(m), other.Policy
		}
	}
	return TargetResult{
		Target:   targetPrefix(g) + fmt.Sprintf("%s at most %.1f of the best baseline's", m, maxRecomputedShare),
		Measured: fmt.Sprintf("%.0f, %s has %.0f", g.Mean(m), name, lowest),
		Met:      lowest >= 0 && g.Mean(m) <= maxRecomputedShare*lowest,
	}
}

// TargetsMarkdown returns a table of the results, missed targets first.
func TargetsMarkdown(results []TargetResult) string {
	var b strings.Builder
	b.WriteString("\n| target | figure | met |\n|---|---|---|\n")
	for _, met := range []bool{false, true} {
		for _, r := range results {
			if r.Met == met {
				fmt.Fprintf(&b, "| %s | %s | %s |\n", r.Target, r.Measured, yesNo(r.Met))
			}
		}
	}
	return b.String()
}

func yesNo(met bool) string {
	if met {
		return "yes"
	}
	return "**no**"
}
