package scaling

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

// States of another program under the planner's key: of a build that stored a format, and
// of an older one.
var foreignStates = []string{
	`{"format":"controller","fence":3,"write_id":"w1","slots":[{"id":"s"}],"drains":null,"refusals":null}`,
	`{"fence":3,"write_id":"w1","slots":[{"id":"s"}],"drains":null,"refusals":null}`,
}

// Guards against a planner that takes a state of another format for an empty one of its own
// and overwrites it.
func TestPlanner_RefusesStateOfOtherFormat(t *testing.T) {
	for _, value := range foreignStates {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			store := memstore.New()
			_, err := store.Create(t.Context(), stateKey, []byte(value))
			g.Expect(err).NotTo(HaveOccurred())
			m := &fakePlatform{table: endpoints.NewTable(func() {}), ordered: make(map[Pool]int)}
			p := newPlanner(m, store, &fakeLoad{engines: 2}, false)
			p.Log = slog.New(slog.DiscardHandler)
			g.Expect(p.step(t.Context())).To(MatchError(ErrStateFormat))
			g.Expect(m.orders.Load()).To(BeZero())
			_, err = StoredSpeeds(t.Context(), store)
			g.Expect(err).To(MatchError(ErrStateFormat))
			o, err := store.Get(t.Context(), stateKey)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(o.Value)).To(Equal(value))
		})
	}
}

// Guards against a planner that refuses the state of a build that stored no format.
func TestPlanner_LoadsStateOfOlderBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := memstore.New()
		value := fmt.Sprintf(`{"saved_ms":%d,"services":{"s1":{"demand":9,"places":[{"data_centre":"a","reclaimable":true,"count":3,"ordered_ms":%d}]}},"speeds":{"s1":{}}}`, time.Now().UnixMilli(), time.Now().UnixMilli())
		_, err := store.Create(t.Context(), stateKey, []byte(value))
		g.Expect(err).NotTo(HaveOccurred())
		p := newPlanner(&fakePlatform{table: endpoints.NewTable(func() {}), ordered: make(map[Pool]int)}, store, &fakeLoad{unknown: true}, false)
		g.Expect(p.loadState(t.Context(), time.Now())).To(Succeed())
		g.Expect(p.services["s1"].demand).To(BeEquivalentTo(9))
		g.Expect(p.services["s1"].ordered[reclaimablePool("a")].count).To(Equal(3))
		g.Expect(StoredSpeeds(t.Context(), store)).To(HaveKey("s1"))
	})
}
