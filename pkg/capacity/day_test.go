package capacity_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/capacity"
	"github.com/medlarsill/medlarsill/pkg/cloud"
)

// measuredSeeds is the number of simulated days per variant in the table.
const measuredSeeds = 3

// dayStep is the time between two plans of a simulated day.
const dayStep = 5 * time.Second

// dayResult holds the results of one simulated day.
type dayResult struct {
	cost float64
	// bound is the cost of serving the demand with full batches at the cheapest
	// price, mixBound at the cheapest mix that the preset allows.
	bound, mixBound float64
	// shortShare is the share of the requests that found no slot.
	shortShare float64
	starts     int
	// refused is the number of refused starts, reclaimed the number of reclaim notices.
	refused, reclaimed int
}

// usableShare is the share of the batch slots that can be used at the same time, as
// requests are not placed perfectly.
const usableShare = 0.9

// demandAt returns the number of concurrent requests at a time of the day, including
// the noise. It is low at night and high by day, with sudden rises at 9:00 and 15:00.
// If flat is set, it is constant apart from the noise.
func demandAt(t time.Duration, noise float64, flat bool) int {
	if flat {
		return max(0, int(60+noise))
	}
	part := float64(t) / float64(24*time.Hour)
	level := 60 - 40*math.Cos(2*math.Pi*part)
	if t > 9*time.Hour && t < 10*time.Hour {
		level *= 1 + 0.5*min(1, (t-9*time.Hour).Minutes()/4)
	}
	if t > 15*time.Hour && t < 15*time.Hour+30*time.Minute {
		level *= 1 + 0.4*min(1, (t-15*time.Hour).Minutes()/2)
	}
	return max(0, int(level+noise))
}

// runDay runs the planner through one day with random reclaims of single instances,
// refused starts in one data centre, and a wave of reclaims over two data centres at
// noon that is repeated twice.
func runDay(seed uint64, t capacity.Tuning, minInstances, maxInstances int, flat bool) dayResult {
	sim := newSimulation(seed)
	sim.tuning = t
	preset := &sim.env.Document.Presets[0]
	preset.Capacity[0].Min, preset.Capacity[0].Max = minInstances, maxInstances
	rng := rand.New(rand.NewPCG(seed, 2))
	var out dayResult
	noise, requested, unserved := 0.0, 0.0, 0.0
	for at := time.Duration(0); at < 24*time.Hour; at += dayStep {
		noise = 0.97*noise + rng.NormFloat64()
		sim.demand = demandAt(at, noise, flat)
		out.reclaimed += sim.applyReclaims(rng, at)
		sim.tick()
		sim.now = sim.now.Add(dayStep - step)
		if at < 10*time.Minute {
			continue
		}
		out.add(sim)
		requested += float64(sim.demand)
		unserved += max(0, float64(sim.demand)-usableShare*float64(sim.slots()))
	}
	out.shortShare = unserved / requested
	out.starts, out.refused = len(sim.tokens), sim.refusals
	return out
}

// applyReclaims issues reclaim notices and removes instances whose notice has expired.
// It returns the number of notices.
func (sim *simulation) applyReclaims(rng *rand.Rand, at time.Duration) int {
	n := 0
	for _, in := range sim.active("m") {
		if in.Reclaimable && (inWave(in.DataCentre, at) || rng.Float64() < dayStep.Hours()/12) {
			in.State = cloud.StateLeaving
			sim.started[in.ID] = sim.now
			n++
		}
	}
	for i := len(sim.list) - 1; i >= 0; i-- {
		if in := sim.list[i]; in.State == cloud.StateLeaving && sim.now.Sub(sim.started[in.ID]) > 30*time.Second {
			sim.remove(in.ID)
		}
	}
	sim.refused["a"] = at >= 12*time.Hour && at < 13*time.Hour
	return n
}

// inWave reports whether the wave of reclaims hits a data centre at a time.
func inWave(dataCentre string, at time.Duration) bool {
	for _, start := range []time.Duration{12 * time.Hour, 12*time.Hour + 10*time.Minute, 12*time.Hour + 20*time.Minute} {
		if dataCentre == "a" && at == start || dataCentre == "b" && at == start+5*time.Minute {
			return true
		}
	}
	return false
}

// slots returns the number of batch slots of the ready instances.
func (sim *simulation) slots() int {
	n := 0
	for _, in := range sim.active("m") {
		if in.State == cloud.StateReady {
			n += batch
		}
	}
	return n
}

func (d *dayResult) add(sim *simulation) {
	for _, in := range sim.list {
		if in.Service == "m" {
			price, _ := sim.env.Document.PriceOf("gpu", in.DataCentre, in.Reclaimable)
			d.cost += price * dayStep.Hours()
		}
	}
	full := float64(sim.demand) / batch * dayStep.Hours()
	d.bound += full * 1.2
	d.mixBound += full * (0.6*1.2 + 0.4*3.6)
}

// variant is a configuration of the planner to simulate.
type variant struct {
	name                       string
	minInstances, maxInstances int
	change                     func(t *capacity.Tuning)
}

var variants = []variant{
	{"ours", 4, 40, func(*capacity.Tuning) {}},
	{"without forecast", 4, 40, func(t *capacity.Tuning) { t.Horizon = 0 }},
	{"without memory of refusals", 4, 40, func(t *capacity.Tuning) { t.RefusalBackoff, t.RefusalBackoffMax = 0, 0 }},
	{"without waiting before drains", 4, 40, func(t *capacity.Tuning) { t.ScaleDownDelay = 0 }},
	{"one use threshold", 4, 40, func(t *capacity.Tuning) { t.ScaleDownUtilisation = t.ScaleUpUtilisation }},
	{"static", 19, 19, func(*capacity.Tuning) {}},
	{"static", 21, 21, func(*capacity.Tuning) {}},
}

func (v variant) run(seed uint64, flat bool) dayResult {
	t := capacity.DefaultTuning()
	v.change(&t)
	return runDay(seed, t, v.minInstances, v.maxInstances, flat)
}

// TestPlan_CostAndShortageOverDay compares cost and shortage over a day with the
// smallest static fleet of the same mix that has as few shortages.
func TestPlan_CostAndShortageOverDay(t *testing.T) {
	g := gomega.NewWithT(t)
	ours, static := variants[0].run(1, false), variants[len(variants)-1].run(1, false)
	g.Expect(ours.shortShare).To(gomega.BeNumerically("<", 0.001))
	g.Expect(ours.cost).To(gomega.BeNumerically("<", 0.75*static.cost))
}

// TestMeasureDay writes the table of all variants to the file named by the environment
// variable MEASURE.
func TestMeasureDay(t *testing.T) {
	path := os.Getenv("MEASURE")
	if path == "" {
		t.Skip("MEASURE is not set")
	}
	var b strings.Builder
	for _, flat := range []bool{false, true} {
		b.WriteString(map[bool]string{false: "\nA day with its rises:\n", true: "\nA day of constant demand:\n"}[flat])
		b.WriteString("\n| variant | cost | cost / bound | cost / preset's bound | requests without a slot | starts | refused | reclaimed |\n|---|---|---|---|---|---|---|---|\n")
		for _, v := range variants {
			v.row(&b, flat)
		}
	}
	if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// row writes the table row of a variant over all seeds.
func (v variant) row(b *strings.Builder, flat bool) {
	var days []dayResult
	for seed := range uint64(measuredSeeds) {
		days = append(days, v.run(seed+1, flat))
	}
	name := v.name
	if v.minInstances == v.maxInstances {
		name = fmt.Sprintf("%s, %d instances", v.name, v.minInstances)
	}
	fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", name,
		formatRange(days, "%.1f", func(d dayResult) float64 { return d.cost }),
		formatRange(days, "%.2f", func(d dayResult) float64 { return d.cost / d.bound }),
		formatRange(days, "%.2f", func(d dayResult) float64 { return d.cost / d.mixBound }),
		formatRange(days, "%.4f%%", func(d dayResult) float64 { return 100 * d.shortShare }),
		formatRange(days, "%.0f", func(d dayResult) float64 { return float64(d.starts) }),
		formatRange(days, "%.0f", func(d dayResult) float64 { return float64(d.refused) }),
		formatRange(days, "%.0f", func(d dayResult) float64 { return float64(d.reclaimed) }))
}

// formatRange formats the mean, minimum and maximum of a value.
func formatRange(days []dayResult, format string, value func(dayResult) float64) string {
	lowest, highest, sum := math.Inf(1), math.Inf(-1), 0.0
	for _, d := range days {
		v := value(d)
		lowest, highest, sum = min(lowest, v), max(highest, v), sum+v
	}
	return fmt.Sprintf(format+" ("+format+" to "+format+")", sum/float64(len(days)), lowest, highest)
}
