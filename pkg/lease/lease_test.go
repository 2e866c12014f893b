package lease

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
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

func TestLease_PassesToNextCandidate(t *testing.T) {
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

		stopA() // as if the process were paused
		time.Sleep(2 * DefaultDuration)
		_, ok = a.Held()
		g.Expect(ok).To(BeFalse())
		fence, ok = b.Held()
		g.Expect(ok).To(BeTrue())
		g.Expect(fence).To(BeEquivalentTo(2))
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
		stopC()
		running.Wait()
	})
}

// Guards against a process that holds the lease twice, with another holder in between,
// within one lease duration.
func TestRelease_LetsShortHoldExpire(t *testing.T) {
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
			g.Expect(ok).To(BeFalse(), "the lease isn't held after Release")
			s, err := load(t.Context(), store, a.key())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Released).To(Equal(held >= DefaultDuration))
		}
	})
}

// outageStore is a store whose calls fail with an unknown outcome while it is down.
type outageStore struct {
	*memstore.Store
	down atomic.Bool
}

func (o *outageStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if o.down.Load() {
		return objectstore.Object{}, objectstore.ErrUnknown
	}
	return o.Store.Get(ctx, key)
}

func (o *outageStore) Update(ctx context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	if o.down.Load() {
		return objectstore.Object{}, objectstore.ErrUnknown
	}
	return o.Store.Update(ctx, key, value, version)
}

// A holder that is no longer a candidate loses the store for longer than its lease: it
// must acquire the lease again, before the candidates could.
func TestLease_LastHolderReacquiresAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &outageStore{Store: memstore.New()}
		l := newLease(store.Store, "a")
		l.Store = store
		var isCandidate atomic.Bool
		isCandidate.Store(true)
		l.Candidate = func(wasLastHolder bool) bool { return isCandidate.Load() || wasLastHolder }
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = l.Run(ctx) })
		time.Sleep(10 * time.Second)
		isCandidate.Store(false)
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

// Guards against duties that nobody performs any more after another writer has replaced the
// lease by something that can't be decoded, or by a fencing token that leaves none larger.
func TestLease_IsAcquiredAgainAfterOddRecord(t *testing.T) {
	for name, odd := range map[string]string{
		"nested deep":            strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"no JSON":                "nonsense",
		"released, but invalid":  `{"released":true,"fence":-1}`,
		"fence beyond 64 bits":   `{"holder":"x","fence":18446744073709551616}`,
		"fence is too large":     `{"holder":"x","fence":1e400}`,
		"the largest fence":      `{"holder":"x","fence":18446744073709551615,"write_id":"y"}`,
		"almost the largest one": `{"holder":"x","fence":18446744073709551614,"write_id":"y"}`,
		"empty":                  ``,
		"null":                   `null`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := memstore.New()
				a, b := newLease(store, "a"), newLease(store, "bb")
				ctx, stop := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { _ = a.Run(ctx) })
				time.Sleep(time.Minute)
				running.Go(func() { _ = b.Run(ctx) })
				time.Sleep(time.Minute)
				o, err := store.Get(ctx, a.key())
				g.Expect(err).NotTo(HaveOccurred())
				_, err = store.Update(ctx, a.key(), []byte(odd), o.Version)
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(DefaultDuration / 2)
				_, heldByB := b.Held()
				g.Expect(heldByB).To(BeFalse(), "the holder may still act")
				time.Sleep(3 * DefaultDuration)
				fenceA, heldByA := a.Held()
				fenceB, heldByB := b.Held()
				g.Expect([]bool{heldByA, heldByB}).To(ContainElement(true))
				g.Expect(heldByA && heldByB).To(BeFalse())
				g.Expect(max(fenceA, fenceB)).To(BeNumerically(">", 1), "larger than that of the last holder")
				stop()
				running.Wait()
			})
		})
	}
}
