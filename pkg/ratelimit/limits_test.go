package ratelimit

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// Checks that log and metrics tell when an endpoint announces a limit and what is sent to
// it meanwhile.
func TestLimits_ReportAnnouncementsAndSends(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := New(Options{Metrics: NewMetrics(prometheus.NewRegistry()), Log: slog.New(slog.NewTextHandler(&out, nil)), Now: time.Now})
	k := Key{Endpoint: "i-1", Born: 1}
	l.Sent(k, false)
	for _, a := range []Announcement{{Limited: true, PerSecond: 2.4}, {Limited: true, PerSecond: 2.4}, {Err: errors.New("invalid")}, {Limited: true, PerSecond: 1.5}} {
		l.Observe(k, a)
		l.Sent(k, true)
	}
	g.Expect(l.Active()).To(Equal(1))
	l.Observe(k, Announcement{})
	l.Sent(k, false)
	g.Expect(l.Active()).To(Equal(0))
	g.Expect(testutil.ToFloat64(l.Metrics.sends.WithLabelValues(firstSend))).To(BeZero(), "no limit was in force")
	g.Expect(testutil.ToFloat64(l.Metrics.sends.WithLabelValues(repeatedSend))).To(BeEquivalentTo(4))
	for _, line := range []string{"endpoint rate limit announced", "ignoring invalid rate limit", "endpoint rate limit changed", "endpoint rate limit lifted"} {
		g.Expect(strings.Count(out.String(), line)).To(Equal(1), line)
	}
}
