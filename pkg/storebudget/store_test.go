package storebudget

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

// Parameters of the simulated outage.
const (
	clients        = 880
	outageDuration = 60 * time.Second
	recovery       = 10 * time.Second
	timeStep       = time.Millisecond
	retryInterval  = 250 * time.Millisecond
	callInterval   = 700 * time.Millisecond
)

// peakCallRates simulates 880 clients that all fail in the same outage. It returns the
// largest number of calls in any second of the outage, after its first ten seconds, and in
// any second after the outage. Without the breaker the clients retry at a fixed interval.
func peakCallRates(useBreaker bool) (during, afterwards int) {
	rng := rand.New(rand.NewPCG(1, 1))
	breakers := make([]*Breaker, clients)
	due := make([]time.Duration, clients)
	for i := range breakers {
		breakers[i] = &Breaker{Rand: rng}
	}
	calls := make([]int, (outageDuration+recovery)/timeStep)
	base := time.Unix(0, 0)
	for now := time.Duration(0); now < outageDuration+recovery; now += timeStep {
		up := now >= outageDuration
		for i, b := range breakers {
			if now < due[i] {
				continue
			}
			due[i] = now + retryInterval
			ok, probe := b.Allow(base.Add(now))
			if useBreaker && !ok {
				continue
			}
			calls[now/timeStep]++
			b.Done(base.Add(now), probe, up)
			if up {
				due[i] = now + callInterval
			}
		}
	}
	second := int(time.Second / timeStep)
	for at := 10 * second; at+second <= len(calls); at += second / 10 {
		sum := 0
		for _, n := range calls[at : at+second] {
			sum += n
		}
		if at+second <= int(outageDuration/timeStep) {
			during = max(during, sum)
		} else {
			afterwards = max(afterwards, sum)
		}
	}
	return during, afterwards
}

func TestBreaker_LimitsCallRateDuringAndAfterOutage(t *testing.T) {
	g := NewWithT(t)
	fixedDuring, fixedAfter := peakCallRates(false)
	during, afterwards := peakCallRates(true)
	t.Logf("peak calls/s of %d clients: with fixed retries %d during the outage and %d after it; with the breaker %d and %d",
		clients, fixedDuring, fixedAfter, during, afterwards)
	g.Expect(5 * during).To(BeNumerically("<", fixedDuring))
	g.Expect(afterwards).To(BeNumerically("<=", fixedAfter))
}

func newStore(inner objectstore.Store, now func() time.Time, b Budget) *Store {
	return New(Options{
		Inner: inner, Role: "entry", Budget: b, Metrics: NewMetrics(prometheus.NewRegistry()),
		Now: now, Rand: rand.New(rand.NewPCG(1, 1)),
	})
}

func TestStore_EnforcesBudgetAndBackoff(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	inner := memstore.New()
	s := newStore(inner, func() time.Time { return now }, Budget{CallsPerSecond: 1, Burst: 3, Watches: 0})
	for range 5 {
		_, _ = s.List(t.Context(), "")
	}
	g.Expect(inner.Calls()[memstore.OpList]).To(Equal(3))
	_, err := s.Watch(t.Context(), "", 0)
	g.Expect(err).To(MatchError(objectstore.ErrUnavailable))

	s = newStore(inner, func() time.Time { return now }, DefaultBudget)
	inner.SetHook(func(memstore.Op, string) memstore.Fault { return memstore.FaultUnavailable })
	for range 20 {
		_, err = s.Get(t.Context(), "k")
		g.Expect(err).To(MatchError(objectstore.ErrUnavailable))
	}
	g.Expect(inner.Calls()[memstore.OpGet]).To(Equal(1))
	inner.SetHook(nil)
	now = now.Add(maxBackoff)
	_, err = s.Get(t.Context(), "k")
	g.Expect(err).To(MatchError(objectstore.ErrNotFound))
	_, err = s.Create(t.Context(), "k", nil)
	g.Expect(err).NotTo(HaveOccurred())
}
