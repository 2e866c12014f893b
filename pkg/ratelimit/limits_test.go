package ratelimit

import (
	"bytes"
	"errors"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// Checks that log and metrics tell when an endpoint announces a limit and what is sent to
// it meanwhile.
func TestLimits_ReportAnnouncementsAndSends(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := New(Options{Members: func() Membership { return Membership{Self: "gw-1", IDs: []string{"gw-1"}, Settled: true} }, Metrics: NewMetrics(prometheus.NewRegistry()), Log: slog.New(slog.NewTextHandler(&out, nil)), Now: time.Now})
	k := endpoints.Key{ID: "i-1", Born: 1}
	l.Sent(k, false)
	for _, a := range []Announcement{{Limited: true, PerSecond: 2.4}, {Limited: true, PerSecond: 2.4}, {Err: errors.New("invalid")}, {Limited: true, PerSecond: 1.5}} {
		l.Observe(k, time.Now(), a)
		l.Sent(k, true)
	}
	g.Expect(l.Active()).To(Equal(1))
	l.Observe(k, time.Now(), Announcement{})
	l.Sent(k, false)
	g.Expect(testutil.ToFloat64(l.Metrics.sends.WithLabelValues(firstSend))).To(BeEquivalentTo(1), "only the last one, while the rate grows again")
	g.Expect(testutil.ToFloat64(l.Metrics.sends.WithLabelValues(repeatedSend))).To(BeEquivalentTo(4))
	for _, line := range []string{"endpoint rate limit announced", "ignoring invalid rate limit", "endpoint rate limit lifted"} {
		g.Expect(out.String()).To(ContainSubstring(line))
	}
}

// Guards against limits that are so high that a number overflows, or so low that no
// instance may ever use the endpoint.
func TestLimits_ExtremeRates(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		perSecond float64
		share     float64
	}{{1e300, 5e299}, {1e19, 5e18}, {0, minPerSecond}, {1e-300, minPerSecond}} {
		now := time.Unix(1000, 0)
		l := newLimits(&now) // of two members
		k := endpoints.Key{ID: "i-1", Born: 1}
		l.Observe(k, now, Announcement{Limited: true, PerSecond: c.perSecond})
		limit, _ := l.find(k)
		limit.rank = 0
		limit.setShare(2, true, now)
		g.Expect(limit.share).To(BeNumerically("~", c.share, c.share*1e-9), "%v", c.perSecond)
		now = now.Add(20 * time.Second)
		limit.refill(now)
		g.Expect(limit.tokens).To(BeNumerically(">=", 1))
		g.Expect(l.Wait(k)).To(BeZero())
	}
}
