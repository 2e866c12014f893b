package sharedwatch

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/delta"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

// Guards against a change that an instance receives and never uses: the read of another object of the
// same batch fails, and when the batch is used again, the delta doesn't fit the value that it led to.
func TestStore_ResolvesChangesAgainAfterFailedRead(t *testing.T) {
	g := NewWithT(t)
	inner := memstore.New()
	failing := true
	inner.SetHook(func(memstore.Op, string) memstore.Fault {
		if failing {
			return memstore.FaultUnavailable
		}
		return memstore.FaultNone
	})
	s := New(Options{
		Store: inner, Rank: func() int { return 9 }, ReachablePeers: func() int { return 39 }, Members: func() int { return 40 },
		Broadcast: func([]byte) {}, Metrics: prometheus.NewRegistry(), Log: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	before, after := []byte(strings.Repeat("a", 2*largeValueBytes)), []byte(strings.Repeat("b", 2*largeValueBytes))
	known := newKnownValues()
	known.record([]objectstore.Object{{Key: prefix + "x", Version: 5, Value: before}})
	d := delta.New(before, after)
	changes := []change{
		{Object: objectstore.Object{Key: prefix + "x", Version: 6}, delta: &d},
		{Object: objectstore.Object{Key: prefix + "y", Version: 7}, unread: true},
	}
	_, err := s.resolve(context.Background(), known, changes)
	g.Expect(err).To(HaveOccurred())
	failing = false
	objects, err := s.resolve(context.Background(), known, changes)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(objects).To(ContainElement(objectstore.Object{Key: prefix + "x", Version: 6, Value: after}))
}
