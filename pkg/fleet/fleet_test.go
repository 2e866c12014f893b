package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "fleet", suite, reporter)
}

// TestTable_LeavingIsPermanent applies notices and stale lists in random order. An
// endpoint known to be leaving remains leaving in every later snapshot, and onLeaving
// is called once for it.
func TestTable_LeavingIsPermanent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		now := time.Unix(1000, 0)
		notifications := map[string]int{}
		table := fleet.NewTable(func() time.Time { return now }, func(id string, _ time.Time) { notifications[id]++ })
		ids := []string{"a", "b", "c"}
		leaving := map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			if rapid.Bool().Draw(t, "notice") {
				g.Expect(table.MarkLeaving(id, now)).To(Equal(!leaving[id]))
				leaving[id] = true
			} else {
				var list []cloud.Instance
				for _, other := range ids {
					switch rapid.IntRange(0, 2).Draw(t, "state") {
					case 0:
						list = append(list, cloud.Instance{ID: other, Service: "s", State: cloud.StateReady})
					case 1:
						list = append(list, cloud.Instance{ID: other, Service: "s", State: cloud.StateLeaving})
						leaving[other] = true
					}
				}
				table.ApplyList(list)
			}
			for _, e := range table.Snapshot().Service("s") {
				g.Expect(e.Leaving).To(Equal(leaving[e.ID]), e.ID)
			}
		}
		for _, id := range ids {
			g.Expect(notifications[id] == 1).To(Equal(leaving[id]), id)
		}
	})
}

var _ = Describe("Table", func() {
	list := []cloud.Instance{
		{ID: "a", Service: "s", State: cloud.StateReady},
		{ID: "b", Service: "s", State: cloud.StateStarting},
	}

	It("contains ready endpoints but not starting ones", func() {
		table := fleet.NewTable(time.Now, nil)
		Expect(table.Listed()).To(BeFalse())
		table.ApplyList(nil)
		Expect(table.Listed()).To(BeFalse())
		table.ApplyList(list)
		Expect(table.Listed()).To(BeTrue())
		Expect(table.Snapshot().Service("s")).To(HaveLen(1))
	})

	It("keeps its snapshot if the list has not changed", func() {
		table := fleet.NewTable(time.Now, nil)
		table.ApplyList(list)
		before := table.Snapshot()
		table.ApplyList(list)
		Expect(table.Snapshot()).To(BeIdenticalTo(before))
	})

	It("calls OnLeaving functions at the first notice", func() {
		table := fleet.NewTable(time.Now, nil)
		table.ApplyList(list)
		e, _ := table.Snapshot().ByID("a")
		called := make(chan struct{})
		e.OnLeaving(func() { close(called) })
		table.MarkLeaving("a", time.Time{})
		<-called
	})

	It("never calls OnLeaving functions of an endpoint that no table created", func() {
		e := fleet.Endpoint{ID: "x"}
		Expect(e.OnLeaving(func() { Fail("called") })()).To(BeTrue())
	})
})
