package configlag

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/medlarsill/medlarsill/pkg/sleep"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

const patience = time.Second

// start runs a detector until the test ends, with a configuration of the given version in force.
// Reads put version newest in force, unless it is 0.
func start(t *testing.T, own, newest *atomic.Uint64, receiving *atomic.Bool) *Detector {
	d := New(Options{
		Own: own.Load, Patience: patience, State: func() slog.Attr { return slog.Attr{} }, Receiving: receiving.Load,
		Refresh: func(context.Context) error {
			if newest.Load() == 0 {
				return errors.New("unavailable")
			}
			own.Store(newest.Load())
			return nil
		},
		Metrics: prometheus.NewRegistry(), Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return d
}

// Guards against an instance that is behind its peers for seconds and doesn't notice.
func TestDetector_ReportsVersionsThatPeersHadLongBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var own, newest atomic.Uint64
		own.Store(5)
		d := start(t, &own, &newest, new(atomic.Bool))
		d.Observe("a", 5)
		d.Observe("b", 4)
		time.Sleep(5 * patience)
		g.Expect(testutil.ToFloat64(d.late)).To(BeZero(), "no newer version")
		d.Observe("a", 6)
		time.Sleep(patience / 2)
		own.Store(6)
		time.Sleep(5 * patience)
		g.Expect(testutil.ToFloat64(d.late)).To(BeZero(), "in force in time")
		d.Observe("a", 7)
		time.Sleep(patience / 2)
		d.Observe("b", 9)
		time.Sleep(patience)
		g.Expect(testutil.ToFloat64(d.late)).To(BeEquivalentTo(1))
		own.Store(9)
		time.Sleep(5 * patience)
		g.Expect(testutil.ToFloat64(d.late)).To(BeEquivalentTo(1))
	})
}

// Guards against an instance that stays behind its peers, and against one that reads a large configuration
// once more while it is receiving it.
func TestDetector_ReadsConfigurationThatPeersHave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var own, newest atomic.Uint64
		var receiving atomic.Bool
		d := start(t, &own, &newest, &receiving)
		told := time.Now()
		messages, stop := context.WithCancel(t.Context())
		defer stop()
		go func() {
			for sleep.For(messages, patience/10) {
				d.Observe("a", 7)
			}
		}()
		receiving.Store(true)
		newest.Store(7)
		time.Sleep(3 * patience)
		g.Expect(own.Load()).To(BeZero(), "while it is received")
		receiving.Store(false)
		newest.Store(0)
		time.Sleep(3 * patience)
		g.Expect(own.Load()).To(BeZero(), "while reads fail")
		newest.Store(7)
		time.Sleep(2 * patience)
		g.Expect(own.Load()).To(BeEquivalentTo(7), "%s after the first message", time.Since(told))
	})
}
