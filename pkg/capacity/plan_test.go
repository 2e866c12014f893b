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
func (w *simulation) check(g *gomega.WithT) {
	preset, _ := w.env.Document.PresetByName(w.env.Preset)
	for _, c := range preset.Capacity {
		active := w.active(c.Service)
		starts := slices.ContainsFunc(w.actions, func(a capacity.Action) bool {
			return a.Kind == capacity.ActionStart && a.Service == c.Service
		})
		if starts {
			g.Expect(len(active)).To(gomega.BeNumerically("<=", c.Max))
		}
	}
	for _, a := range w.actions {
		switch a.Kind {
		case capacity.ActionStart:
			_, offered := w.env.Document.PriceOf(a.Start.Class, a.Start.DataCentre, a.Start.Reclaimable)
			g.Expect(offered).To(gomega.BeTrue())
			g.Expect(preset.ClosedDataCentres).NotTo(gomega.ContainElement(a.Start.DataCentre))
			g.Expect(a.Service == "p" && a.Start.Reclaimable).To(gomega.BeFalse())
		case capacity.ActionStop:
			g.Expect(w.draining(a.Instance)).To(gomega.BeTrue())
		}
	}
}

// TestPlan_StaysWithinBounds runs the planner with random demand, reclaims, refusals,
// lost instances and preset changes.
func TestPlan_StaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		w := newSimulation(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"", "", "demand", "notice", "kill", "refuse", "accept", "preset"}).Draw(t, "event") {
			case "demand":
				w.demand = rapid.IntRange(0, 120).Draw(t, "demand")
			case "notice":
				if len(w.list) > 0 {
					w.list[rapid.IntRange(0, len(w.list)-1).Draw(t, "instance")].State = cloud.StateLeaving
				}
			case "kill":
				if len(w.list) > 0 {
					w.remove(w.list[rapid.IntRange(0, len(w.list)-1).Draw(t, "instance")].ID)
				}
			case "refuse":
				w.refused[rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "dc")] = true
			case "accept":
				w.refused = make(map[string]bool)
			case "preset":
				w.env.Preset = rapid.SampledFrom([]string{"ordinary", "maintenance"}).Draw(t, "preset")
			}
			w.tick()
			w.check(g)
		}
	})
}

// TestPlan_RespectsReclaimableShare checks the share of reclaimable instances when only
// the planner starts and stops instances.
func TestPlan_RespectsReclaimableShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		w := newSimulation(1)
		for range 5 {
			w.demand = rapid.IntRange(0, 120).Draw(t, "demand")
			w.run(rapid.IntRange(1, 400).Draw(t, "ticks"))
			reclaimable := 0
			active := w.active("m")
			for _, in := range active {
				if in.Reclaimable {
					reclaimable++
				}
			}
			g.Expect(reclaimable).To(gomega.BeNumerically("<=", 0.6*float64(len(active))))
			for _, in := range w.active("p") {
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
		w := newSimulation(rapid.Uint64().Draw(t, "seed"))
		w.tuning.ScaleDownDelay = 30 * step
		w.demand = rapid.IntRange(0, 72).Draw(t, "before")
		w.run(rapid.IntRange(0, 100).Draw(t, "ticks"))
		w.demand = rapid.IntRange(0, 72).Draw(t, "demand")
		w.run(700)
		before := len(w.tokens)
		w.run(300)
		g.Expect(w.tokens).To(gomega.HaveLen(before))
		for _, in := range w.list {
			g.Expect(w.draining(in.ID)).To(gomega.BeFalse())
		}
		n := len(w.active("m"))
		g.Expect(float64(w.demand)).To(gomega.BeNumerically("<=", w.tuning.ScaleUpUtilisation*float64(batch*n)))
		fewer := n - 1
		afterLoss := fewer - (fewer+3)/4
		tooFew := float64(w.demand) > w.tuning.ScaleDownUtilisation*float64(batch*fewer) || w.tuning.ScaleUpUtilisation/w.tuning.ScaleDownUtilisation*float64(w.demand) > float64(batch*afterLoss)
		g.Expect(n == 4 || tooFew).To(gomega.BeTrue(), "%d instances for a demand of %d", n, w.demand)
	})
}

// TestPlan_RefusedStartsMoveToOtherDataCentres checks that all wanted instances are
// started if any one data centre accepts starts, and that refused starts are retried
// rarely.
func TestPlan_RefusedStartsMoveToOtherDataCentres(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		w := newSimulation(rapid.Uint64().Draw(t, "seed"))
		open := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "open")
		for _, dc := range []string{"a", "b", "c", "d"} {
			w.refused[dc] = dc != open
		}
		w.run(120)
		g.Expect(len(w.active("m"))).To(gomega.BeNumerically(">=", 4))
		g.Expect(w.active("p")).To(gomega.HaveLen(2))
		retries := 0
		for range 600 {
			w.tick()
			for _, a := range w.actions {
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
		w := newSimulation(rapid.Uint64().Draw(t, "seed"))
		w.demand = rapid.IntRange(0, 60).Draw(t, "demand")
		w.run(300)
		for _, lost := range []string{"a", "b", "c", "d"} {
			left := 0
			for _, in := range w.active("m") {
				if in.DataCentre != lost {
					left++
				}
			}
			g.Expect(left*batch).To(gomega.BeNumerically(">=", w.demand), "without %s", lost)
		}
	})
}

// TestPlan_InstancesReadyBeforeRisingDemand checks that the forecast starts instances
// early enough for a steady rise of the demand.
func TestPlan_InstancesReadyBeforeRisingDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(1)
	w.demand = 20
	w.run(300)
	g.Expect(w.active("m")).NotTo(gomega.BeEmpty())
	for i := range 120 {
		w.demand = 20 + i/3
		w.tick()
		ready := 0
		for _, in := range w.active("m") {
			if in.State == cloud.StateReady {
				ready++
			}
		}
		g.Expect(w.demand).To(gomega.BeNumerically("<=", ready*batch), "demand exceeds the batch slots of ready instances after %d s", i)
	}
}

// TestPlan_DelaysStartsOnInitialEmptyList guards against starting all instances a second
// time while the lagging instance list does not show them yet.
func TestPlan_DelaysStartsOnInitialEmptyList(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(1)
	w.run(4)
	g.Expect(w.list).To(gomega.BeEmpty())
	w.run(2)
	g.Expect(w.list).NotTo(gomega.BeEmpty())
}

// TestPlan_BoundsStartsWhenEndpointsReportLeaving guards against an unbounded number of
// starts if endpoints report that they are leaving but never do.
func TestPlan_BoundsStartsWhenEndpointsReportLeaving(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(1)
	for range 500 {
		for _, in := range w.list {
			if in.Load != nil {
				in.Load.Leaving = true
			}
		}
		w.tick()
	}
	g.Expect(len(w.list)).To(gomega.BeNumerically("<=", 2*(12+3)))
}

// TestPlan_DrainsClosedDataCentre checks a switch to a preset that closes a data centre.
func TestPlan_DrainsClosedDataCentre(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(1)
	w.demand = 20
	w.run(300)
	w.env.Preset = "maintenance"
	w.run(300)
	for _, in := range w.list {
		g.Expect(in.DataCentre).NotTo(gomega.Equal("d"))
	}
	g.Expect(len(w.active("m"))).To(gomega.BeNumerically(">=", 4))
}

// TestPlan_DoesNotStopBusyInstance checks that a draining instance is not stopped while
// it has requests, within the maximum duration of a drain.
func TestPlan_DoesNotStopBusyInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(1)
	w.demand = 60
	w.run(300)
	w.env.Preset = "maintenance"
	w.tick()
	g.Expect(w.state.Drains).NotTo(gomega.BeEmpty())
	i := slices.IndexFunc(w.state.Drains, func(d capacity.Drain) bool { return d.Service == "m" })
	busy := w.find(w.state.Drains[i].Instance)
	for range 30 {
		for _, in := range w.list {
			if in.ID == busy.ID && in.Load != nil {
				in.Load.Leaving = true
			}
		}
		s := capacity.Snapshot{Now: w.now, Envelope: &w.env}
		for _, in := range w.list {
			s.Instances = append(s.Instances, *in)
			if in.ID == busy.ID && in.Load != nil {
				s.Instances[len(s.Instances)-1].Load = &engine.Load{Running: 1, Leaving: true}
			}
		}
		w.state, w.actions = capacity.Plan(s, w.state, w.tuning, w.rng.Float64)
		g.Expect(w.actions).NotTo(gomega.ContainElement(gomega.And(
			gomega.HaveField("Kind", capacity.ActionStop), gomega.HaveField("Instance", busy.ID))))
		w.now = w.now.Add(step)
	}
}

// TestPlan_OrdersMissingModels checks that running instances are ordered to load missing
// models, up to MaxModelLoads.
func TestPlan_OrdersMissingModels(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(1)
	w.run(300)
	for _, in := range w.active("m") {
		in.Load.Models = []string{"x"}
	}
	w.tuning.MaxModelLoads = 2
	w.tick()
	orders := 0
	for _, a := range w.actions {
		if a.Kind == capacity.ActionOrder {
			g.Expect(a.Order).To(gomega.Equal(engine.Order{Kind: engine.OrderLoadModel, Name: "y"}))
			orders++
		}
	}
	g.Expect(orders).To(gomega.Equal(2))
}
