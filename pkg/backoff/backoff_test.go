package backoff

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

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// Checks that log and metrics tell when an endpoint asks for no requests and what is sent
// to it meanwhile.
func TestBackoffs_ReportRequestsAndSends(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var out bytes.Buffer
	b := New(Options{Metrics: prometheus.NewRegistry(), Log: slog.New(slog.NewTextHandler(&out, nil)), Now: func() time.Time { return now }})
	k := endpoints.Key{ID: "i-1", Born: 1}
	b.Sent(k, false)
	b.Observe(k, Request{For: 3 * time.Second})
	b.Observe(k, Request{For: time.Second})
	b.Observe(k, Request{Err: errors.New("invalid")})
	b.Sent(k, false)
	now = now.Add(2 * time.Second)
	b.Sent(k, true)
	now = now.Add(time.Second)
	b.Sent(k, true)
	g.Expect(testutil.ToFloat64(b.sends.WithLabelValues("first"))).To(BeEquivalentTo(1))
	g.Expect(testutil.ToFloat64(b.sends.WithLabelValues("repeated"))).To(BeEquivalentTo(1))
	g.Expect(strings.Count(out.String(), "endpoint asks for no requests")).To(Equal(1))
	g.Expect(out.String()).To(ContainSubstring("ignoring invalid backoff time"))
}
