package load

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/standin"
	"github.com/medlarsill/medlarsill/pkg/standin/modelserver"
	"github.com/medlarsill/medlarsill/pkg/standin/platform"
)

// Guards against a lower bound of the cost that counts the work of all services once for
// each model service.
func TestAddCosts_BoundsEachServiceByItsOwnWork(t *testing.T) {
	g := NewWithT(t)
	doc := &config.Document{
		DataCentres: []config.DataCentre{{Name: "a"}},
		Classes: []config.MachineClass{
			{Name: "large", Prices: []config.Price{{DataCentre: "a", OnDemand: 10, Reclaimable: 4}}},
			{Name: "small", Prices: []config.Price{{DataCentre: "a", OnDemand: 2, Reclaimable: 1}}},
		},
		Services: []config.Service{
			{Name: "chat", Kind: config.KindModel, Class: "large"}, {Name: "tags", Kind: config.KindModel, Class: "small"}, {Name: "beds", Kind: config.KindPlain, Class: "small"},
		},
	}
	s := Summary{Work: standin.Accounting{
		Work:  modelserver.Totals{WorkSeconds: 3 * 3600, ServiceSeconds: map[string]float64{"chat": 1 * 3600, "tags": 2 * 3600}},
		Cloud: platform.CostReport{Services: []platform.ServiceCost{{Service: "chat", Cost: 20}, {Service: "tags", Cost: 5}, {Service: "beds", Cost: 3}}},
	}}
	(&Run{Document: doc, Speed: 1}).addCosts(&s)
	g.Expect(s.ModelCost).To(BeEquivalentTo(25))
	g.Expect(s.LowerBound).To(BeEquivalentTo(1*4+2*1), "one hour of a large instance and two of a small one, both reclaimable")
	g.Expect(s.PresetBound).To(BeEquivalentTo(1*10+2*2), "on demand, as no preset allows others")
}
