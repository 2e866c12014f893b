//go:build knownred

package scaling

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

// measuredDemand returns the demand that a meter measures for four instances, each of
// which gets requests worth half an engine. The received function reports whether the
// report of an instance arrives at a time after the start.
func measuredDemand(g *WithT, received func(id string, after time.Duration) bool, end time.Duration) float64 {
	start := time.Unix(0, 0)
	now := start
	m := NewMeter(func() time.Time { return now })
	for after := time.Duration(0); after <= end; after += 200 * time.Millisecond {
		now = start.Add(after)
		for _, id := range []string{"a", "b", "c", "d"} {
			if received(id, after) {
				m.Record(id+"/1", map[string]float64{"s1": 0.5 * after.Seconds()})
			}
		}
	}
	engines, observed := m.RequiredEngines(&routing.Service{Name: "s1"})
	g.Expect(observed).To(BeTrue())
	return engines * maxUtilisation
}

// Guards against scaling down during a network partition: the demand at unreachable
// instances was not received and counted as zero.
func TestMeter_KeepsDemandOfUnreachableInstances(t *testing.T) {
	g := NewWithT(t)
	received := func(id string, after time.Duration) bool { return id == "a" || after < 5*time.Second }
	g.Expect(measuredDemand(g, received, 12*time.Second)).To(BeNumerically("~", 2, 0.05))
	g.Expect(measuredDemand(g, received, 30*time.Second)).To(BeNumerically("~", 0.5, 0.05), "instances unreachable for long have no demand")
}

// Guards against orders for many times the load when a network partition ends: the
// requests of the whole partition were counted as those of a two-second window.
func TestMeter_IgnoresBacklogAfterPartition(t *testing.T) {
	g := NewWithT(t)
	received := func(id string, after time.Duration) bool {
		return id == "a" || after < 5*time.Second || after >= 17*time.Second
	}
	for end := 17 * time.Second; end < 25*time.Second; end += 400 * time.Millisecond {
		g.Expect(measuredDemand(g, received, end)).To(BeNumerically("~", 2, 0.1), end.String())
	}
}
