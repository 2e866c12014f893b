package configlag

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

const patience = time.Second

// start runs a detector until the test ends, with a configuration of the given version in force.
func start(t *testing.T, own *atomic.Uint64) *Detector {
	d := New(Options{
		Own: own.Load, Patience: patience, State: func() slog.Attr { return slog.Attr{} },
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
		var own atomic.Uint64
		own.Store(5)
		d := start(t, &own)
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
