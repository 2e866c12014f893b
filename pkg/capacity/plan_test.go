package capacity_test

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/capacity"
	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/engine"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// check asserts the invariants of every plan.
func (sim *simulation) check(g *gomega.WithT) {
	preset, _ := sim.env.Document.PresetByName(sim.env.Preset)
	for _, c := range preset.Capacity {
		active := sim.active(c.Service)
		starts := slices.ContainsFunc(sim.actions, func(a capacity.Action) bool {
			return a.Kind == capacity.ActionStart && a.Service == c.Service
		})
		if starts {
			g.Expect(len(active)).To(gomega.BeNumerically("<=", c.Max))
		}
	}
	for _, a := range sim.actions {
		switch a.Kind {
		case capacity.ActionStart:
			_, offered := sim.env.Document.PriceOf(a.Start.Class, a.Start.DataCentre, a.Start.Reclaimable)
			g.Expect(offered).To(gomega.BeTrue())
			g.Expect(preset.ClosedDataCentres).NotTo(gomega.ContainElement(a.Start.DataCentre))
			g.Expect(a.Service == "p" && a.Start.Reclaimable).To(gomega.BeFalse())
		case capacity.ActionStop:
			g.Expect(sim.draining(a.Instance)).To(gomega.BeTrue())
		}
	}
}

// TestPlan_StaysWithinBounds runs the planner with random demand, reclaims, refusals,
// lost instances and preset changes.
func TestPlan_StaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"", "", "demand", "notice", "kill", "refuse", "accept", "preset"}).Draw(t, "event") {
			case "demand":
				sim.demand = rapid.IntRange(0, 120).Draw(t, "demand")
			case "notice":
				if len(sim.list) > 0 {
					sim.list[rapid.IntRange(0, len(sim.list)-1).Draw(t, "instance")].State = cloud.StateLeaving
				}
			case "kill":
				if len(sim.list) > 0 {
					sim.remove(sim.list[rapid.IntRange(0, len(sim.list)-1).Draw(t, "instance")].ID)
				}
			case "refuse":
				sim.refused[rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "dc")] = true
			case "accept":
				sim.refused = make(map[string]bool)
			case "preset":
				sim.env.Preset = rapid.SampledFrom([]string{"ordinary", "maintenance"}).Draw(t, "preset")
			}
			sim.tick()
			sim.check(g)
		}
	})
}

// TestPlan_RespectsReclaimableShare checks the share of reclaimable instances when only
// the planner starts and stops instances.
func TestPlan_RespectsReclaimableShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		sim := newSimulation(1)
		for range 5 {
			sim.demand = rapid.IntRange(0, 120).Draw(t, "demand")
			sim.run(rapid.IntRange(1, 400).Draw(t, "ticks"))
			reclaimable := 0
			active := sim.active("m")
			for _, in := range active {
				if in.Reclaimable {
					reclaimable++
				}
			}
			g.Expect(reclaimable).To(gomega.BeNumerically("<=", 0.6*float64(len(active))))
			for _, in := range sim.active("p") {
				g.Expect(in.Reclaimable).To(gomega.BeFalse())
			}
		}
	})
}

// TestPlan_NoOscillationAtConstantDemand checks that constant demand leads to a constant
// number of instances that is large enough, and not larger than needed.
func TestPlan_NoOscillationAtConstantDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		sim.tuning.ScaleDownDelay = 30 * step
		sim.demand = rapid.IntRange(0, 72).Draw(t, "before")
		sim.run(rapid.IntRange(0, 100).Draw(t, "ticks"))
		sim.demand = rapid.IntRange(0, 72).Draw(t, "demand")
		sim.run(700)
		before := len(sim.tokens)
		sim.run(300)
		g.Expect(sim.tokens).To(gomega.HaveLen(before))
		for _, in := range sim.list {
			g.Expect(sim.draining(in.ID)).To(gomega.BeFalse())
		}
		n := len(sim.active("m"))
		g.Expect(float64(sim.demand)).To(gomega.BeNumerically("<=", sim.tuning.ScaleUpUtilisation*float64(batch*n)))
		fewer := n - 1
		afterLoss := fewer - (fewer+3)/4
		tooFew := float64(sim.demand) > sim.tuning.ScaleDownUtilisation*float64(batch*fewer) || sim.tuning.ScaleUpUtilisation/sim.tuning.ScaleDownUtilisation*float64(sim.demand) > float64(batch*afterLoss)
		g.Expect(n == 4 || tooFew).To(gomega.BeTrue(), "%d instances for a demand of %d", n, sim.demand)
	})
}

// TestPlan_RefusedStartsMoveToOtherDataCentres checks that all wanted instances are
// started if any one data centre accepts starts, and that refused starts are retried
// rarely.
func TestPlan_RefusedStartsMoveToOtherDataCentres(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		open := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "open")
		for _, dc := range []string{"a", "b", "c", "d"} {
			sim.refused[dc] = dc != open
		}
		sim.run(120)
		g.Expect(len(sim.active("m"))).To(gomega.BeNumerically(">=", 4))
		g.Expect(sim.active("p")).To(gomega.HaveLen(2))
		retries := 0
		for range 600 {
			sim.tick()
			for _, a := range sim.actions {
				if a.Kind == capacity.ActionStart && a.Start.DataCentre != open {
					retries++
				}
			}
		}
		g.Expect(retries).To(gomega.BeNumerically("<", 60), "refused starts are retried too often")
	})
}

// TestPlan_DemandMetAfterDataCentreLoss checks that the instances are spread so that,
// after the loss of any data centre, the rest can serve the demand with full batches.
func TestPlan_DemandMetAfterDataCentreLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		sim.demand = rapid.IntRange(0, 60).Draw(t, "demand")
		sim.run(300)
		for _, lost := range []string{"a", "b", "c", "d"} {
			left := 0
			for _, in := range sim.active("m") {
				if in.DataCentre != lost {
					left++
				}
			}
			g.Expect(left*batch).To(gomega.BeNumerically(">=", sim.demand), "without %s", lost)
		}
	})
}

// TestPlan_InstancesReadyBeforeRisingDemand checks that the forecast starts instances
// early enough for a steady rise of the demand.
func TestPlan_InstancesReadyBeforeRisingDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1)
	sim.demand = 20
	sim.run(300)
	g.Expect(sim.active("m")).NotTo(gomega.BeEmpty())
	for i := range 120 {
		sim.demand = 20 + i/3
		sim.tick()
		ready := 0
		for _, in := range sim.active("m") {
			if in.State == cloud.StateReady {
				ready++
			}
		}
		g.Expect(sim.demand).To(gomega.BeNumerically("<=", ready*batch), "demand exceeds the batch slots of ready instances after %d s", i)
	}
}

// TestPlan_DelaysStartsOnInitialEmptyList guards against starting all instances a second
// time while the lagging instance list does not show them yet.
func TestPlan_DelaysStartsOnInitialEmptyList(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1)
	sim.run(4)
	g.Expect(sim.list).To(gomega.BeEmpty())
	sim.run(2)
	g.Expect(sim.list).NotTo(gomega.BeEmpty())
}

// TestPlan_BoundsStartsWhenEndpointsReportLeaving guards against an unbounded number of
// starts if endpoints report that they are leaving but never do.
func TestPlan_BoundsStartsWhenEndpointsReportLeaving(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1)
	for range 500 {
		for _, in := range sim.list {
			if in.Load != nil {
				in.Load.Leaving = true
			}
		}
		sim.tick()
	}
	g.Expect(len(sim.list)).To(gomega.BeNumerically("<=", 2*(12+3)))
}

// TestPlan_DrainsClosedDataCentre checks a switch to a preset that closes a data centre.
func TestPlan_DrainsClosedDataCentre(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1)
	sim.demand = 20
	sim.run(300)
	sim.env.Preset = "maintenance"
	sim.run(300)
	for _, in := range sim.list {
		g.Expect(in.DataCentre).NotTo(gomega.Equal("d"))
	}
	g.Expect(len(sim.active("m"))).To(gomega.BeNumerically(">=", 4))
}

// TestPlan_DoesNotStopBusyInstance checks that a draining instance is not stopped while
// it has requests, within the maximum duration of a drain.
func TestPlan_DoesNotStopBusyInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1)
	sim.demand = 60
	sim.run(300)
	sim.env.Preset = "maintenance"
	sim.tick()
	g.Expect(sim.state.Drains).NotTo(gomega.BeEmpty())
	i := slices.IndexFunc(sim.state.Drains, func(d capacity.Drain) bool { return d.Service == "m" })
	busy := sim.find(sim.state.Drains[i].Instance)
	for range 30 {
		for _, in := range sim.list {
			if in.ID == busy.ID && in.Load != nil {
				in.Load.Leaving = true
			}
		}
		s := capacity.Snapshot{Now: sim.now, Envelope: &sim.env}
		for _, in := range sim.list {
			s.Instances = append(s.Instances, *in)
			if in.ID == busy.ID && in.Load != nil {
				s.Instances[len(s.Instances)-1].Load = &engine.Load{Running: 1, Leaving: true}
			}
		}
		sim.state, sim.actions = capacity.Plan(s, sim.state, sim.tuning, sim.rng.Float64)
		g.Expect(sim.actions).NotTo(gomega.ContainElement(gomega.And(
			gomega.HaveField("Kind", capacity.ActionStop), gomega.HaveField("Instance", busy.ID))))
		sim.now = sim.now.Add(step)
	}
}

// TestPlan_OrdersMissingModels checks that running instances are ordered to load missing
// models, up to MaxModelLoads.
func TestPlan_OrdersMissingModels(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1)
	sim.run(300)
	for _, in := range sim.active("m") {
		in.Load.Models = []string{"x"}
	}
	sim.tuning.MaxModelLoads = 2
	sim.tick()
	orders := 0
	for _, a := range sim.actions {
		if a.Kind == capacity.ActionOrder {
			g.Expect(a.Order).To(gomega.Equal(engine.Order{Kind: engine.OrderLoadModel, Name: "y"}))
			orders++
		}
	}
	g.Expect(orders).To(gomega.Equal(2))
}
