package ratelimit

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// fullSize returns Limits of one of 880 instances while all 4,500 endpoints announce a limit.
func fullSize(b *testing.B, ids *[]string) *Limits {
	for n := range 880 {
		*ids = append(*ids, fmt.Sprintf("gw-%d", n))
	}
	l := New(Options{
		Members: func() Membership { return Membership{Self: "gw-0", IDs: *ids, Settled: true} },
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	for n := range 4500 {
		l.Observe(endpoints.Key{ID: fmt.Sprintf("i-%d", n), Born: 1}, time.Now(), Announcement{Limited: true, PerSecond: 2})
	}
	l.Tick()
	b.ResetTimer()
	return l
}

// BenchmarkTick measures one tick while the members stay the same, and one after a change.
func BenchmarkTick(b *testing.B) {
	for _, changes := range []bool{false, true} {
		b.Run(fmt.Sprint("members change ", changes), func(b *testing.B) {
			var ids []string
			l := fullSize(b, &ids)
			for n := range b.N {
				if changes {
					ids[879] = fmt.Sprint("new-", n)
				}
				l.Tick()
			}
		})
	}
}

// BenchmarkReports measures the reports of one message.
func BenchmarkReports(b *testing.B) {
	var ids []string
	l := fullSize(b, &ids)
	for range b.N {
		l.Reports()
	}
}

// BenchmarkAvailable measures one look at an endpoint, with limits in force and without.
func BenchmarkAvailable(b *testing.B) {
	k := endpoints.Key{ID: "i-7", Born: 1}
	b.Run("limited", func(b *testing.B) {
		var ids []string
		l := fullSize(b, &ids)
		for range b.N {
			l.Available(k)
		}
	})
	b.Run("no limits", func(b *testing.B) {
		l := New(Options{Metrics: NewMetrics(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler), Now: time.Now})
		for range b.N {
			l.Available(k)
		}
	})
}
