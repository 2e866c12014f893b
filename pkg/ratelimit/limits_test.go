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
