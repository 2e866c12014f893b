package reach

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

func newTracker(count int, connects func(string) bool) *Tracker {
	table := endpoints.NewTable(func() {})
	for n := range count {
		id := fmt.Sprintf("i-%d", n)
		table.Put(endpoints.Info{ID: id, Service: "s1", Addr: id, Slots: 8})
	}
	return New(Options{Endpoints: table, Connects: connects, Log: slog.New(slog.DiscardHandler)})
}

// Guards against a service that counts as cut off since a single endpoint has ended.
func TestTracker_CutOffNeedsDifferentEndpoints(t *testing.T) {
	g := NewWithT(t)
	r := newTracker(10, nil)
	for range 5 {
		r.Missed("s1", "i-0")
	}
	r.Missed("s1", "i-1")
	g.Expect(r.CutOff("s1")).To(BeFalse())
	r.Missed("s1", "i-2")
	g.Expect(r.CutOff("s1")).To(BeTrue())
	g.Expect(r.CutOff("s2")).To(BeFalse())
	g.Expect(r.Services()).To(Equal([]string{"s1"}))
	r.Reached("s1")
	g.Expect(r.CutOff("s1")).To(BeFalse())
	r.Missed("s1", "i-0")
	g.Expect(r.CutOff("s1")).To(BeFalse(), "an answer ends what was missed before")
}

// Guards against a service with few endpoints that never counts as cut off.
func TestTracker_CutOffFromAllOfFewEndpoints(t *testing.T) {
	g := NewWithT(t)
	r := newTracker(1, nil)
	r.Missed("s1", "i-0")
	g.Expect(r.CutOff("s1")).To(BeTrue())
}

// Guards against an instance that goes on passing its callers' requests to others after its
// links are back.
func TestTracker_ProbesNoticeThatLinksAreBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var up atomic.Bool
		probes := 0
		r := newTracker(1, func(string) bool {
			probes++
			return up.Load()
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.Run(ctx) }()
		time.Sleep(time.Minute)
		g.Expect(probes).To(BeZero(), "nothing is cut off")
		r.Missed("s1", "i-0")
		time.Sleep(time.Second)
		g.Expect(r.CutOff("s1")).To(BeTrue())
		up.Store(true)
		time.Sleep(probeInterval)
		synctest.Wait()
		g.Expect(r.CutOff("s1")).To(BeFalse())
		cancel()
	})
}
