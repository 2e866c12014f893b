//go:build knownred

package scaling

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

// met is the demand that a meter of four instances measures, each asked for half an
// engine; heard tells whether an instance is heard at a time after the start.
func met(g *WithT, heard func(id string, after time.Duration) bool, end time.Duration) float64 {
	start := time.Unix(0, 0)
	now := start
	m := NewMeter(func() time.Time { return now })
	for after := time.Duration(0); after <= end; after += 200 * time.Millisecond {
		now = start.Add(after)
		for _, id := range []string{"a", "b", "c", "d"} {
			if heard(id, after) {
				m.Record(id+"/1", map[string]float64{"s1": 0.5 * after.Seconds()})
			}
		}
	}
	engines, observed := m.RequiredEngines(&routing.Service{Name: "s1"})
	g.Expect(observed).To(BeTrue())
	return engines * busyShare
}

// Guards against capacity being taken away while instances are cut off from their
// peers: what they are asked for wasn't heard, and counted as nothing.
func TestInstancesThatAreCutOffStillHaveTheirDemand(t *testing.T) {
	g := NewWithT(t)
	cut := func(id string, after time.Duration) bool { return id == "a" || after < 5*time.Second }
	g.Expect(met(g, cut, 12*time.Second)).To(BeNumerically("~", 2, 0.05))
	g.Expect(met(g, cut, 30*time.Second)).To(BeNumerically("~", 0.5, 0.05), "those that are gone for long have none")
}

// Guards against orders for many times the load when a cut heals: what was asked for
// in all of its time was taken for that of two seconds.
func TestWhatWasAskedForDuringACutIsNoDemandOfItsEnd(t *testing.T) {
	g := NewWithT(t)
	cut := func(id string, after time.Duration) bool {
		return id == "a" || after < 5*time.Second || after >= 17*time.Second
	}
	for end := 17 * time.Second; end < 25*time.Second; end += 400 * time.Millisecond {
		g.Expect(met(g, cut, end)).To(BeNumerically("~", 2, 0.1), end.String())
	}
}
