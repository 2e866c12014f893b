package scaling

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/routing"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// threeDataCentres returns the scaling limits of a service in three data centres.
func threeDataCentres() *routing.Scaling {
	return &routing.Scaling{
		Min: 1, Max: 8, Boot: 4 * time.Second, ReclaimablePrice: 0.22,
		Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1},
	}
}

// onDemandTotal returns the number of on-demand instances of a plan.
func onDemandTotal(want map[Pool]int) int {
	n := 0
	for pool, count := range want {
		if !pool.Reclaimable {
			n += count
		}
	}
	return n
}

// TestPlan_DemandMetAfterSuccessiveReclaims checks, while reclaimable instances are
// refused, that all needed instances remain whichever data centre is reclaimed next,
// and secondReclaimShare of them after one more, unless the limits prevent it.
func TestPlan_DemandMetAfterSuccessiveReclaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		o := Observation{Scaling: threeDataCentres(), Now: now, Demand: rapid.Float64Range(0, 12).Draw(t, "demand"), Refused: map[Pool]time.Time{reclaimablePool("a"): now}}
		o.Present = make(map[Pool]int)
		left, largest, smallest := 0, 0, o.Scaling.Max
		for _, dc := range []string{"a", "b", "c"} {
			n := rapid.IntRange(0, 8).Draw(t, dc)
			o.Present[reclaimablePool(dc)] = n
			left += n
			largest, smallest = max(largest, n), min(smallest, n)
		}
		want := Plan(o)
		onDemand := onDemandTotal(want)
		if onDemand < 3*o.Scaling.Max && left-largest+onDemand < neededInstances(o.Demand) {
			t.Fatalf("%d on-demand and %d reclaimable instances, of which %d are reclaimed next, for a demand of %.1f", onDemand, left, largest, o.Demand)
		}
		neededAfterTwo := int(math.Ceil(secondReclaimShare * float64(neededInstances(o.Demand))))
		counted := min(smallest, want[reclaimablePool("a")]) // reclaimable instances of the last of the three data centres
		if onDemand < 3*o.Scaling.Max && counted+onDemand < neededAfterTwo {
			t.Fatalf("%d on-demand and %d reclaimable instances remain after two more reclaims, for a demand of %.1f", onDemand, counted, o.Demand)
		}
		for _, dc := range []string{"a", "b", "c"} {
			if want[onDemandPool(dc)] > o.Scaling.Max {
				t.Fatalf("%s: planned %d on-demand instances, above the limit", dc, want[onDemandPool(dc)])
			}
		}
	})
}

// Guards against ordering on-demand instances in the cheapest data centre while it is
// full of reclaimable instances, so that they can't start.
func TestPlan_OnDemandAvoidsFullDataCentre(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	want := Plan(Observation{
		Scaling: threeDataCentres(), Demand: 9, Now: now, Refused: map[Pool]time.Time{reclaimablePool("c"): now},
		Present: map[Pool]int{reclaimablePool("a"): 8, reclaimablePool("b"): 8},
	})
	g.Expect(want[onDemandPool("a")] + want[onDemandPool("b")]).To(BeZero())
	g.Expect(want[onDemandPool("c")]).To(BeNumerically(">", 0))
}

// Guards against ordering on-demand instances in a cheaper data centre while enough of
// them are already booting elsewhere.
func TestPlan_KeepsBootingOnDemand(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	want := Plan(Observation{
		Scaling: threeDataCentres(), Demand: 7, Now: now, Refused: map[Pool]time.Time{reclaimablePool("a"): now},
		Present: map[Pool]int{onDemandPool("c"): 2}, Ordered: map[Pool]int{onDemandPool("c"): 6},
	})
	g.Expect(want[onDemandPool("c")]).To(Equal(6))
	g.Expect(want[onDemandPool("a")]).To(BeZero())
}

// TestService_ReleaseKeepsNeededInstances covers the time when reclaimable instances
// are available again but on-demand instances fill all data centres. Some on-demand
// instances are released to make room, but the needed number stays until the
// reclaimable ones have booted.
func TestService_ReleaseKeepsNeededInstances(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newService(false, now.Add(-time.Hour))
	s.demand = 10
	present := map[Pool]int{onDemandPool("a"): 8, onDemandPool("b"): 8, onDemandPool("c"): 8}
	want := make(map[Pool]int)
	for _, dc := range []string{"a", "b", "c"} {
		s.ordered[onDemandPool(dc)] = order{count: 8, at: now}
		s.ordered[reclaimablePool(dc)] = order{count: 7, at: now}
		want[reclaimablePool(dc)], want[onDemandPool(dc)] = 7, 0
	}
	for range 40 {
		now = now.Add(stepInterval)
		for _, dc := range []string{"a", "b", "c"} {
			if count, due := s.dueOrder(onDemandPool(dc), want, present, threeDataCentres(), now); due {
				s.ordered[onDemandPool(dc)] = order{count: count, at: now}
				present[onDemandPool(dc)] = min(present[onDemandPool(dc)], count)
			}
		}
		g.Expect(sum(present)).To(BeNumerically(">=", neededInstances(s.demand)))
	}
	g.Expect(sum(present)).To(BeNumerically("<", 24), "some on-demand instances were released")
}
