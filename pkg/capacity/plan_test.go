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

// check checks what must hold after every plan.
func (w *world) check(g *gomega.WithT) {
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

// TestPlanKeepsToTheBounds drives the planner with random demand, reclaims,
// refusals, losses and preset switches.
func TestPlan_StaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
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

// TestShareOfReclaimable checks the share whenever it is the planner that adds instances.
func TestPlan_RespectsReclaimableShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		w := newWorld(1)
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

// TestNoOscillation checks that constant demand ends in a constant fleet that is large enough.
func TestPlan_NoOscillationAtConstantDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.t.ScaleDownDelay = 30 * step
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
		g.Expect(float64(w.demand)).To(gomega.BeNumerically("<=", w.t.ScaleUpUtilisation*float64(batch*n)))
		fewer := n - 1
		afterLoss := fewer - (fewer+3)/4
		tooFew := float64(w.demand) > w.t.ScaleDownUtilisation*float64(batch*fewer) || w.t.ScaleUpUtilisation/w.t.ScaleDownUtilisation*float64(w.demand) > float64(batch*afterLoss)
		g.Expect(n == 4 || tooFew).To(gomega.BeTrue(), "%d instances for %d", n, w.demand)
	})
}

// TestRefusedStartsMoveOn checks that the fleet reaches its size if any allowed data centre accepts starts.
func TestPlan_RefusedStartsMoveToOtherDataCentres(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		open := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "open")
		for _, dc := range []string{"a", "b", "c", "d"} {
			w.refused[dc] = dc != open
		}
		w.run(120)
		g.Expect(len(w.active("m"))).To(gomega.BeNumerically(">=", 4))
		g.Expect(w.active("p")).To(gomega.HaveLen(2))
		asked := 0
		for range 600 {
			w.tick()
			for _, a := range w.actions {
				if a.Kind == capacity.ActionStart && a.Start.DataCentre != open {
					asked++
				}
			}
		}
		g.Expect(asked).To(gomega.BeNumerically("<", 60), "refused starts are not remembered")
	})
}

// TestLossOfADataCentre checks the spread: what is left of any loss carries the demand in full batches.
func TestPlan_DemandMetAfterDataCentreLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
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

// TestRisingDemand checks that instances are ready before a steady rise needs them.
func TestPlan_InstancesReadyBeforeRisingDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(1)
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
		g.Expect(w.demand).To(gomega.BeNumerically("<=", ready*batch), "after %d s", i)
	}
}

// TestEmptyListIsNotBelievedAtOnce checks that a fleet that the lagging list
// does not show yet is not started a second time.
func TestPlan_DelaysStartsOnInitialEmptyList(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(1)
	w.run(4)
	g.Expect(w.list).To(gomega.BeEmpty())
	w.run(2)
	g.Expect(w.list).NotTo(gomega.BeEmpty())
}

// TestEndpointsThatOnlySayTheyLeave checks that reports that never come true don't start instances without end.
func TestPlan_BoundsStartsWhenEndpointsReportLeaving(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(1)
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

// TestClosedDataCentreIsDrained checks a switch to the preset for maintenance.
func TestPlan_DrainsClosedDataCentre(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(1)
	w.demand = 20
	w.run(300)
	w.env.Preset = "maintenance"
	w.run(300)
	for _, in := range w.list {
		g.Expect(in.DataCentre).NotTo(gomega.Equal("d"))
	}
	g.Expect(len(w.active("m"))).To(gomega.BeNumerically(">=", 4))
}

// TestBusyInstanceIsNotStopped checks that a drain lasts as long as there is work, at most as long as a request may take.
func TestPlan_DoesNotStopBusyInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(1)
	w.demand = 60
	w.run(300)
	w.env.Preset = "maintenance"
	w.tick()
	g.Expect(w.st.Drains).NotTo(gomega.BeEmpty())
	i := slices.IndexFunc(w.st.Drains, func(d capacity.Drain) bool { return d.Service == "m" })
	busy := w.find(w.st.Drains[i].Instance)
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
		w.st, w.actions = capacity.Plan(s, w.st, w.t, w.rng.Float64)
		g.Expect(w.actions).NotTo(gomega.ContainElement(gomega.And(
			gomega.HaveField("Kind", capacity.ActionStop), gomega.HaveField("Instance", busy.ID))))
		w.now = w.now.Add(step)
	}
}

// TestModelOrders checks that a warm instance without a model is told to load it, as the weight store has room.
func TestPlan_OrdersMissingModels(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(1)
	w.run(300)
	for _, in := range w.active("m") {
		in.Load.Models = []string{"x"}
	}
	w.t.MaxModelLoads = 2
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
