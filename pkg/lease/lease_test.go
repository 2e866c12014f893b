package lease

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

func newLease(store *memstore.Store, id string) *Lease {
	n := 0
	return New(Options{
		Config: Config{Self: id, Duration: DefaultDuration, Rand: rand.New(rand.NewPCG(1, uint64(len(id)))), WriteID: func() string {
			n++
			return fmt.Sprint(id, n)
		}},
		Duty: "capacity", Store: store, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Now: time.Now, Candidate: func(bool) bool { return true },
	})
}

func TestSuccessorTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := memstore.New()
		a, b := newLease(store, "a"), newLease(store, "bb")
		ctxA, stopA := context.WithCancel(t.Context())
		ctxB, stopB := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = a.Run(ctxA) })
		time.Sleep(5 * time.Second)
		running.Go(func() { _ = b.Run(ctxB) })
		time.Sleep(time.Minute)
		fence, ok := a.Held()
		g.Expect(ok).To(BeTrue())
		g.Expect(fence).To(BeEquivalentTo(1))
		g.Expect(b.Do(t.Context(), 0, nil)).To(MatchError(ErrNotHeld))

		stopA() // as if it were paused for good
		time.Sleep(2 * DefaultDuration)
		_, ok = a.Held()
		g.Expect(ok).To(BeFalse())
		fence, ok = b.Held()
		g.Expect(ok).To(BeTrue())
		g.Expect(fence).To(BeEquivalentTo(2))
		g.Expect(b.WaitOut(time.Minute)).To(BeNumerically(">", 40*time.Second))
		g.Expect(b.Do(t.Context(), DefaultDuration, nil)).To(MatchError(ErrNotHeld))

		stopB()
		running.Wait()
		g.Expect(b.Release(t.Context())).To(Succeed())
		_, ok = b.Held()
		g.Expect(ok).To(BeFalse())
		c := newLease(store, "ccc")
		ctxC, stopC := context.WithCancel(t.Context())
		running.Go(func() { _ = c.Run(ctxC) })
		time.Sleep(DefaultDuration / 2)
		fence, ok = c.Held()
		g.Expect(ok).To(BeTrue())
		g.Expect(fence).To(BeEquivalentTo(3))
		g.Expect(c.WaitOut(time.Minute)).To(BeZero())
		stopC()
		running.Wait()
	})
}

// TestAShortHoldIsNotGivenUp keeps a holder from acting twice around another
// one within the duration of a lease.
func TestAShortHoldIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := memstore.New()
		for _, held := range []time.Duration{DefaultDuration / 2, 2 * DefaultDuration} {
			a := newLease(store, fmt.Sprint(held))
			a.machine.MinHold = DefaultDuration
			ctx, stop := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { _ = a.Run(ctx) })
			g.Eventually(func() bool { _, ok := a.Held(); return ok }, time.Minute).Should(BeTrue())
			time.Sleep(held)
			stop()
			running.Wait()
			g.Expect(a.Release(t.Context())).To(Succeed())
			_, ok := a.Held()
			g.Expect(ok).To(BeFalse(), "it stops acting either way")
			s, err := load(t.Context(), store, a.key())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Released).To(Equal(held >= DefaultDuration))
		}
	})
}

// outage is a store that refuses all calls while it is down.
type outage struct {
	*memstore.Store
	down atomic.Bool
}

func (o *outage) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if o.down.Load() {
		return objectstore.Object{}, objectstore.ErrUnknown
	}
	return o.Store.Get(ctx, key)
}

func (o *outage) Update(ctx context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	if o.down.Load() {
		return objectstore.Object{}, objectstore.ErrUnknown
	}
	return o.Store.Update(ctx, key, value, version)
}

// TestTheLastHolderReturnsAfterAnOutage has a holder that is no candidate any
// more lose the store for longer than its lease: it takes the lease again, before
// the candidates could.
func TestTheLastHolderReturnsAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &outage{Store: memstore.New()}
		l := newLease(store.Store, "a")
		l.Store = store
		var first atomic.Bool
		first.Store(true)
		l.Candidate = func(returning bool) bool { return first.Load() || returning }
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = l.Run(ctx) })
		time.Sleep(10 * time.Second)
		first.Store(false)
		_, ok := l.Held()
		g.Expect(ok).To(BeTrue())
		store.down.Store(true)
		time.Sleep(2 * DefaultDuration)
		_, ok = l.Held()
		g.Expect(ok).To(BeFalse())
		store.down.Store(false)
		time.Sleep(DefaultDuration / 4)
		fence, ok := l.Held()
		g.Expect(ok).To(BeTrue())
		g.Expect(fence).To(BeEquivalentTo(2))
		stop()
		running.Wait()
	})
}
