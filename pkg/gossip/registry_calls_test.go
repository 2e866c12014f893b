package gossip

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

// listRecorder records which lists may be stale.
type listRecorder struct {
	objectstore.Store
	stale []bool
	// hidden is true while stale lists are empty.
	hidden bool
}

func (s *listRecorder) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	stale := objectstore.StaleAllowed(ctx)
	s.stale = append(s.stale, stale)
	if stale && s.hidden {
		return nil, nil
	}
	return s.Store.List(ctx, prefix)
}

// runRegistry runs a registry for a time.
func runRegistry(store objectstore.Store, firstStart bool, d time.Duration) *Registry {
	n := NewNode(Options{ID: "a", Boot: 1, Listen: address(1), Fill: func(*Message) {}, OnMessage: func(Message) {}, Log: discard, Now: time.Now})
	r := &Registry{Store: store, Node: n, Log: discard, Now: time.Now, MayRemove: func() bool { return false }, FirstStart: firstStart}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = r.Run(ctx) }()
	time.Sleep(d)
	cancel()
	synctest.Wait()
	return r
}

// Guards against lists of members that cost as much as all other calls of a large fleet: once
// an instance has read its own registration, the lists may be stale.
func TestRegistry_ReadsStaleListsOnceRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &listRecorder{Store: memstore.New()}
		runRegistry(s, false, 3*listInterval)
		g.Expect(s.stale).To(Equal([]bool{false, false, true, true}))
	})
}

// Guards against an instance that takes a stale list, in which it is missing, for its removal.
func TestRegistry_DoesNotTrustStaleListWithoutOwnRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := memstore.New()
		s := &listRecorder{Store: store, hidden: true}
		r := runRegistry(s, false, rereadInterval+listInterval+time.Second)
		g.Expect(s.stale).To(Equal([]bool{false, false, true, false}))
		g.Expect(store.Calls()[memstore.OpCreate]).To(Equal(1))
		g.Expect(r.Node.Members()).To(Equal(1))
	})
}

// Guards against calls of a first start that can't find anything.
func TestRegistry_RegistersWithoutListAtFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := memstore.New()
		s := &listRecorder{Store: store}
		r := runRegistry(s, true, firstSettleTime)
		g.Expect(s.stale).To(Equal([]bool{false, true}))
		g.Expect(store.Calls()[memstore.OpCreate]).To(Equal(1))
		g.Expect(r.Settled()).To(BeTrue())
	})
}
