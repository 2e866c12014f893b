package gateway

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/routing"
	"github.com/medlarsill/medlarsill/pkg/scaling"
	"github.com/medlarsill/medlarsill/pkg/schedule"
)

const (
	// arrivals is the number of requests in a test run, one per arrivalGap.
	arrivals   = 4000
	arrivalGap = 5 * time.Millisecond
	// longestDeadline is the longest deadline of a caller.
	longestDeadline = 10 * time.Second
)

// plannedInstances returns the number of instances planned for a steady load. deadlineOf
// returns the deadline of each request.
func plannedInstances(t *testing.T, deadlineOf func() time.Duration) int {
	t.Helper()
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	list := endpoints.NewTable(func() {})
	list.Put(endpoints.Info{ID: "i-1", Service: "s1", Addr: "10.0.0.1:80", Slots: 12})
	scheduler := schedule.New(list, func(e *endpoints.Endpoint) int { return e.Info().Slots }, clock)
	meter := scaling.NewMeter(clock)
	meter.Record("instance", scheduler.RequestedWork.Totals())
	route := &routing.Route{Name: "r1", Target: 300 * time.Millisecond}
	var detector retryDetector
	for i := range arrivals {
		now = now.Add(arrivalGap)
		left := deadlineOf()
		c := &call{
			table: routing.NewTable(routing.Config{}), route: route, service: "s1", arrived: now,
			firstSent: now.Add(-detector.elapsed(route.Name, left)), deadline: now.Add(left),
			meta: Meta{Prompt: 2000, Output: 300},
		}
		p, err := scheduler.Place(context.Background(), c.placementRequest())
		g.Expect(err).NotTo(HaveOccurred(), "request %d", i)
		p.End()
		meter.Record("instance", scheduler.RequestedWork.Totals())
	}
	demand, observed := meter.RequiredEngines(&routing.Service{Name: "s1"})
	g.Expect(observed).To(BeTrue())
	total := 0
	for _, n := range scaling.Plan(scaling.Observation{Service: "s1", Scaling: &routing.Scaling{
		Min: 1, Max: 36, Boot: 4 * time.Second, Prices: map[string]float64{"a": 1, "b": 1, "c": 1},
	}, Demand: demand, Now: now}) {
		total += n
	}
	return total
}

// Guards against too little capacity where the deadlines of one route vary: all
// callers but those with the longest deadline were mistaken for retrying ones, whose
// requests weren't counted, so that nearly all instances were released under full load.
func TestPlannedCapacity_UnaffectedByVaryingDeadlines(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(5, 6))
	same := plannedInstances(t, func() time.Duration { return longestDeadline })
	varying := plannedInstances(t, func() time.Duration {
		return time.Duration((0.85 + 0.15*random.Float64()) * float64(longestDeadline))
	})
	g.Expect(same).To(BeNumerically(">", 4), "more than the minimum of any service")
	g.Expect(varying).To(Equal(same))
}

// Guards against refusals that lower the capacity and thereby cause more refusals:
// callers that were refused retried with less time left, and weren't counted.
func TestPlannedCapacity_NotReducedByRetryingCallers(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 8))
	withoutRetries := plannedInstances(t, func() time.Duration { return longestDeadline })
	withRetries := plannedInstances(t, func() time.Duration {
		if random.Float64() < 0.6 {
			return longestDeadline - 400*time.Millisecond - time.Duration(random.Int64N(int64(time.Second)))
		}
		return longestDeadline
	})
	g.Expect(withRetries).To(BeNumerically(">=", withoutRetries))
}
