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
	// arrivals is the number of first requests in a test's run, one each arrivalGap.
	arrivals   = 4000
	arrivalGap = 5 * time.Millisecond
	// usualPatience is how long the most patient caller waits.
	usualPatience = 10 * time.Second
)

// plannedEngines is the number of instances that are planned for the load of callers
// each of whom waits for the time that patienceOf returns.
func plannedEngines(t *testing.T, patienceOf func() time.Duration) int {
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
	var seen patience
	for i := range arrivals {
		now = now.Add(arrivalGap)
		left := patienceOf()
		c := &call{
			table: routing.NewTable(routing.Config{}), route: route, service: "s1", arrived: now,
			first: now.Add(-seen.spent(route.Name, left)), deadline: now.Add(left),
			meta: Meta{Prompt: 2000, Output: 300},
		}
		p, err := scheduler.Place(context.Background(), c.demand())
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

// Guards against too little capacity where callers of one route wait for different
// times: all but the most patient were taken for returning ones, whose requests
// weren't counted, so that nearly all engines were given up under full load.
func TestCallersOfDifferentPatienceGetTheSameCapacity(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(5, 6))
	alike := plannedEngines(t, func() time.Duration { return usualPatience })
	differ := plannedEngines(t, func() time.Duration {
		return time.Duration((0.85 + 0.15*random.Float64()) * float64(usualPatience))
	})
	g.Expect(alike).To(BeNumerically(">", 4), "more than the least that any service gets")
	g.Expect(differ).To(Equal(alike))
}

// Guards against refusals that lower the capacity and so hold themselves: refused
// callers came back with less patience, and weren't counted.
func TestRefusedCallersThatComeBackGetAsMuchCapacity(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 8))
	alike := plannedEngines(t, func() time.Duration { return usualPatience })
	back := plannedEngines(t, func() time.Duration {
		if random.Float64() < 0.6 {
			return usualPatience - 400*time.Millisecond - time.Duration(random.Int64N(int64(time.Second)))
		}
		return usualPatience
	})
	g.Expect(back).To(BeNumerically(">=", alike))
}
