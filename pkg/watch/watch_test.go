package watch

import (
	"context"
	"io"
	"log/slog"
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
		down := false
		store.SetHook(func(memstore.Op, string) memstore.Fault {
			if down {
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
		down = true
		synctest.Wait()
		time.Sleep(3 * time.Second)
		calls := store.Calls()[memstore.OpWatch]
		g.Expect(calls).To(BeNumerically("<=", 50), "failed calls aren't repeated in haste")
		g.Expect(l.Age()).To(BeNumerically(">=", 3*time.Second))
		down = false
		time.Sleep(time.Second)
		last := len(seen) - 1
		g.Expect(backs[last]).To(BeTrue())
		g.Expect(seen[last].Objects).To(HaveLen(2), "the whole state, not only what changed")
		g.Expect(l.Age()).To(BeNumerically("<=", time.Second))
		cancel()
		g.Expect(<-done).To(Succeed())
	})
}
