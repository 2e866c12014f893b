package rewatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

// faults returns a store whose next watches have the given faults, in turn.
func faults(list ...memstore.Fault) *memstore.Store {
	store := memstore.New()
	store.SetHook(func(op memstore.Op, _ string) memstore.Fault {
		if op != memstore.OpWatch || len(list) == 0 {
			return memstore.FaultNone
		}
		next := list[0]
		list = list[1:]
		return next
	})
	return store
}

// Guards against a watch that the store cut and that is taken for an outage, and against one that misses
// changes since.
func TestStore_RepeatsInterruptedWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		inner := faults(memstore.FaultInterrupted, memstore.FaultInterrupted)
		o, err := inner.Create(t.Context(), "x/1", nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = inner.Create(t.Context(), "x/2", nil)
		g.Expect(err).NotTo(HaveOccurred())
		s := New(inner, time.Now)
		_, err = s.Watch(t.Context(), "x/", o.Version)
		g.Expect(err).To(MatchError(objectstore.ErrUnavailable), "interrupted twice")
		c, err := s.Watch(t.Context(), "x/", o.Version)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.Objects).To(HaveLen(1))
		g.Expect(c.Reset).To(BeFalse())
	})
}

// Guards against an outage that isn't noticed, as only the first call of it was interrupted.
func TestStore_ReturnsErrorOfRepeatedWatch(t *testing.T) {
	g := NewWithT(t)
	s := New(faults(memstore.FaultInterrupted, memstore.FaultUnavailable), time.Now)
	_, err := s.Watch(t.Context(), "x/", 1)
	g.Expect(err).To(MatchError(objectstore.ErrUnavailable))
	g.Expect(err).NotTo(MatchError(objectstore.ErrInterrupted))
}

// Guards against calls without pause to a store that closes each connection at once: each is paid for.
func TestStore_PausesBetweenInterruptedWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memstore.New()
		calls := 0
		inner.SetHook(func(memstore.Op, string) memstore.Fault {
			calls++
			if calls%2 == 1 {
				return memstore.FaultInterrupted
			}
			return memstore.FaultNone
		})
		s := New(inner, time.Now)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		for ctx.Err() == nil {
			_, err := s.Watch(ctx, "x/", 1)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
		}
		NewWithT(t).Expect(calls).To(BeNumerically("<=", 2*int(10*time.Second/minInterval)+2))
	})
}
