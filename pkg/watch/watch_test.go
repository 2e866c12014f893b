package watch

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

func TestAfterAnOutageTheWholeListIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := memstore.New()
		var down atomic.Bool
		store.SetHook(func(memstore.Op, string) memstore.Fault {
			if down.Load() {
				return memstore.FaultUnavailable
			}
			return memstore.FaultNone
		})
		var seen []objectstore.Changes
		var backs []bool
		l := &Loop{
			Store: store, Prefix: "x/", What: "objects", Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: time.Now,
			Apply: func(c objectstore.Changes, back bool) {
				seen = append(seen, c)
				backs = append(backs, back)
			},
		}
		g.Expect(l.Age()).To(BeZero())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- l.Run(ctx) }()
		_, err := store.Create(ctx, "x/1", []byte("1"))
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		_, err = store.Create(ctx, "x/2", []byte("2")) // ends the waiting watch
		g.Expect(err).NotTo(HaveOccurred())
		down.Store(true)
		synctest.Wait()
		time.Sleep(3 * time.Second)
		calls := store.Calls()[memstore.OpWatch]
		g.Expect(calls).To(BeNumerically("<=", 50), "failed calls aren't repeated in haste")
		g.Expect(l.Age()).To(BeNumerically(">=", 3*time.Second))
		down.Store(false)
		time.Sleep(time.Second)
		synctest.Wait()
		last := len(seen) - 1
		g.Expect(backs[last]).To(BeTrue())
		g.Expect(seen[last].Objects).To(HaveLen(2), "the whole state, not only what changed")
		g.Expect(l.Age()).To(BeNumerically("<=", time.Second))
		cancel()
		g.Expect(<-done).To(Succeed())
	})
}

// TestAStoreThatWentBackIsLikeAnOutage has the store lose its newest writes between
// two watches: what is missing may still come back.
func TestAStoreThatWentBackIsLikeAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := memstore.New()
		var seen []objectstore.Changes
		var backs []bool
		l := &Loop{
			Store: store, Prefix: "x/", What: "objects", Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: time.Now,
			Apply: func(c objectstore.Changes, back bool) {
				seen = append(seen, c)
				backs = append(backs, back)
			},
		}
		ctx, cancel := context.WithCancel(context.Background())
		_, err := store.Create(ctx, "x/1", []byte("1"))
		g.Expect(err).NotTo(HaveOccurred())
		copied := store.Snapshot()
		_, err = store.Create(ctx, "x/2", []byte("2"))
		g.Expect(err).NotTo(HaveOccurred())
		done := make(chan error, 1)
		go func() { done <- l.Run(ctx) }()
		synctest.Wait()
		store.RollBack(copied)
		synctest.Wait()
		last := len(seen) - 1
		g.Expect(backs[last]).To(BeTrue())
		g.Expect(seen[last].Reset).To(BeTrue())
		g.Expect(seen[last].Objects).To(HaveLen(1))
		_, err = store.Create(ctx, "x/2", []byte("3"))
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		g.Expect(seen[len(seen)-1].Objects[0].Value).To(Equal([]byte("3")), "the watch goes on in the new history")
		g.Expect(backs[len(seen)-1]).To(BeFalse())
		cancel()
		<-done
	})
}
