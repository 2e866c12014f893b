package scaling

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

func TestMeter_MeasuresRequestedRate(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	m := NewMeter(func() time.Time { return now })
	s := &routing.Service{Name: "s1"}
	_, observed := m.RequiredEngines(s)
	g.Expect(observed).To(BeFalse(), "no window has passed yet")
	for i := range 41 {
		now = now.Add(100 * time.Millisecond)
		m.Record("a/1", map[string]float64{"s1": float64(i) * 0.3})
		m.Record("b/1", map[string]float64{"s1": float64(i) * 0.1})
	}
	var engines float64
	engines, observed = m.RequiredEngines(s)
	g.Expect(engines).To(BeNumerically("~", 4/maxUtilisation, 0.5))
	g.Expect(observed).To(BeTrue())
	m.Record("a/2", map[string]float64{"s1": 1000})
	now = now.Add(rateWindow)
	m.Record("b/1", map[string]float64{"s1": 4})
	engines, _ = m.RequiredEngines(s)
	g.Expect(engines).To(BeNumerically("<", 1), "the first total of a restarted instance is not counted as demand")
}
