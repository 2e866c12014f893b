package scaling

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	"github.com/medlarsill/medlarsill/pkg/routing"
	"github.com/medlarsill/medlarsill/pkg/speed"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

func prices() *routing.Scaling {
	return &routing.Scaling{
		Min: 1, Max: 6, Boot: 4 * time.Second, ReclaimablePrice: 0.22,
		Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
	}
}

func spot(dc string) Place   { return Place{DataCentre: dc, Reclaimable: true} }
func steady(dc string) Place { return Place{DataCentre: dc} }

// TestTheLossOfADataCentreLeavesEnough is a property of the plan on a day on
// which reclaimable instances can be had.
func TestTheLossOfADataCentreLeavesEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.Float64Range(0, 17).Draw(t, "demand")
		want := Plan(Observation{Scaling: prices(), Demand: demand, Now: time.Unix(0, 0)})
		total, largest := 0, 0
		for place, n := range want {
			if !place.Reclaimable && n > 0 {
				t.Fatalf("on-demand instances while reclaimable ones are to be had: %v", want)
			}
			if place.Reclaimable && (n < 1 || n > 6) {
				t.Fatalf("%v wants %d, beyond the limits", place, n)
			}
			total += n
			largest = max(largest, n)
		}
		if float64(total-largest) < demand {
			t.Fatalf("%d of %d are left for a demand of %.1f", total-largest, total, demand)
		}
	})
}

func TestOnDemandOnesMakeUpForWhatIsScarce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	want := Plan(Observation{
		Scaling: prices(), Demand: 7, Now: now,
		Present: map[Place]int{spot("a"): 3, spot("b"): 1}, Refused: map[Place]time.Time{spot("c"): now.Add(-time.Second)},
	})
	needed := int(math.Ceil(7 * onDemandShare))
	g.Expect(want[steady("b")]).To(Equal(needed-1), "the cheapest first; of those that run only one may be counted on")
	g.Expect(want[steady("a")] + want[steady("c")] + want[steady("d")]).To(BeZero())
	later := Plan(Observation{Scaling: prices(), Demand: 7, Now: now, Refused: map[Place]time.Time{spot("c"): now.Add(-refusedFor)}})
	g.Expect(later[steady("b")]).To(BeZero())
}

func TestAPlanStaysWithinTheLimitsOfEachDataCentre(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	want := Plan(Observation{Scaling: prices(), Demand: 100, Now: now, Refused: map[Place]time.Time{spot("a"): now}})
	for place, n := range want {
		g.Expect(n).To(BeNumerically("<=", 6), fmt.Sprint(place))
	}
	g.Expect(Plan(Observation{Scaling: &routing.Scaling{}, Now: now})).To(BeEmpty())
}

// market is a platform that boots what is ordered.
type market struct {
	table *endpoints.Table
	want  map[Place]int
	born  atomic.Int64
	dry   atomic.Bool
	// planner gives the orders.
	planner *Planner
	// orders counts the orders, refused the refused ones.
	orders, refused atomic.Int64
	// mu protects want: instances boot from timers of their own.
	mu sync.Mutex
}

func (m *market) Order(_ context.Context, _ uint64, o Order) error {
	m.orders.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	place := Place{DataCentre: o.DataCentre, Reclaimable: o.Reclaimable}
	if o.Reclaimable && m.dry.Load() && o.Count > m.have(place) {
		m.refused.Add(1)
		return cloud.ErrRefused
	}
	before := m.want[place]
	m.want[place] = o.Count
	for range o.Count - max(before, m.have(place)) {
		time.AfterFunc(4*time.Second, func() { m.add(place) })
	}
	for range m.have(place) - o.Count {
		m.drop(place)
	}
	return nil
}

func (m *market) add(p Place) {
	born := m.born.Add(1) // instances that boot together come from timers of their own
	m.table.Put(endpoints.Info{ID: fmt.Sprintf("i-%d", born), Service: "s1", Addr: "10.0.0.1:80", DataCentre: p.DataCentre, Reclaimable: p.Reclaimable})
}

func (m *market) have(p Place) int {
	n := 0
	for _, e := range m.table.Service("s1") {
		if e.DataCentre == p.DataCentre && e.Info().Reclaimable == p.Reclaimable {
			n++
		}
	}
	return n
}

func (m *market) drop(p Place) {
	for _, e := range m.table.Service("s1") {
		if e.DataCentre == p.DataCentre && e.Info().Reclaimable == p.Reclaimable {
			m.table.Remove(e.ID)
			return
		}
	}
}

// reclaim takes all reclaimable instances of a data centre.
func (m *market) reclaim(dc string) {
	for m.have(spot(dc)) > 0 {
		m.drop(spot(dc))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.want[spot(dc)] = 0
}

func (m *market) total() int { return len(m.table.Service("s1")) }

type steadyLoad struct {
	// mu protects engines, which tests change.
	mu      sync.Mutex
	engines float64
	// unknown is true while the load hasn't been observed.
	unknown bool
}

func (l *steadyLoad) RequiredEngines(*routing.Service) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engines, !l.unknown
}

func (l *steadyLoad) set(engines float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engines = engines
}

type alwaysHeld struct{}

func (alwaysHeld) Held() (uint64, bool) { return 1, true }
func (alwaysHeld) Do(ctx context.Context, _ time.Duration, action func(context.Context, uint64) error) error {
	return action(ctx, 1)
}

type config struct{ t *routing.Table }

func (c config) Current() *routing.Table { return c.t }

// plan runs a planner over a market with some on-demand instances.
func plan(load *steadyLoad, first bool, body func(m *market)) {
	m := &market{want: make(map[Place]int)}
	m.table = endpoints.NewTable(func() { m.planner.Wake() })
	m.planner = newPlanner(m, memstore.New(), load, first)
	for _, dc := range []string{"a", "a", "a", "b", "b", "c", "c", "d", "d"} {
		m.add(steady(dc))
		m.want[steady(dc)]++
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.planner.Run(ctx) }()
	defer func() {
		cancel()
		<-done
	}()
	body(m)
}

func newPlanner(m *market, store objectstore.Store, load *steadyLoad, first bool) *Planner {
	return NewPlanner(Options{
		Config: config{routing.NewTable(routing.Config{Services: []routing.Service{{Name: "s1", Scaling: prices()}}})}, Endpoints: m.table,
		Load: load, Lease: alwaysHeld{}, Store: store, Platform: m, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: time.Now, Speeds: speed.New(time.Now), FirstStart: first,
	})
}

// TestANewHolderGoesOnWithWhatWasOrdered has the holder end while instances
// boot: the next one knows the demand and the orders, though it has observed no
// load yet.
func TestANewHolderGoesOnWithWhatWasOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		load := &steadyLoad{engines: 9}
		plan(load, false, func(m *market) {
			// Between two steps of the holder, which goes on in this test.
			time.Sleep(2*time.Second + stepInterval/2)
			orders := m.orders.Load()
			g.Expect(orders).NotTo(BeZero())
			next := newPlanner(m, m.planner.Store, &steadyLoad{unknown: true}, false)
			g.Expect(next.step(t.Context())).To(Succeed())
			g.Expect(next.services["s1"].demand).To(BeNumerically("~", 9, 1))
			g.Expect(m.orders.Load()).To(Equal(orders), "nothing is ordered twice or taken back")
		})
	})
}

// Guards against a demand that nobody sees: it once fell while callers
// were refused, and only the orders showed it.
func TestTheDemandThatIsPlannedForIsShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan(&steadyLoad{engines: 9}, false, func(m *market) {
			time.Sleep(8*time.Second + stepInterval/2)
			g.Expect(testutil.ToFloat64(m.planner.metrics.demand.WithLabelValues("s1"))).To(BeNumerically("~", 9, 0.5))
			g.Expect(testutil.ToFloat64(m.planner.metrics.present.WithLabelValues("s1"))).To(BeNumerically(">=", 9))
		})
	})
}

func TestNothingIsOrderedWhileTheDemandIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan(&steadyLoad{unknown: true}, false, func(m *market) {
			time.Sleep(5 * time.Second)
			g.Expect(m.orders.Load()).To(BeZero())
		})
	})
}

func TestTheFirstStartSwapsToReclaimableOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan(&steadyLoad{}, true, func(m *market) {
			time.Sleep(8 * time.Second)
			on := 0
			for _, dc := range []string{"a", "b", "c", "d"} {
				on += m.have(steady(dc))
				g.Expect(m.have(spot(dc))).To(Equal(3), "half of the most")
			}
			g.Expect(on).To(BeZero())
		})
	})
}

// TestAFirstStartWithoutReclaimableOnesKeepsWhatIsThere: nothing is given up for
// instances that aren't to be had.
func TestAFirstStartWithoutReclaimableOnesKeepsWhatIsThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan(&steadyLoad{}, true, func(m *market) {
			m.dry.Store(true)
			for range 80 {
				time.Sleep(100 * time.Millisecond)
				g.Expect(m.total()).To(BeNumerically(">=", 4))
			}
		})
	})
}

func TestOnDemandOnesStayUntilOthersServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		load := &steadyLoad{engines: 6}
		plan(load, false, func(m *market) {
			for range 200 {
				time.Sleep(100 * time.Millisecond)
				g.Expect(m.total()).To(BeNumerically(">=", 6))
			}
			g.Expect(m.have(steady("c"))).To(BeZero(), "in the end the dear ones are given up")
		})
	})
}

// TestReclaimsInADryMarket has the reclaimable instances of all data centres go
// one after the other while no more are to be had.
func TestReclaimsInADryMarket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		load := &steadyLoad{engines: 5}
		plan(load, false, func(m *market) {
			time.Sleep(30 * time.Second)
			m.dry.Store(true)
			for _, dc := range []string{"a", "b", "c", "d"} {
				m.reclaim(dc)
				time.Sleep(5 * time.Second)
				g.Expect(m.total()).To(BeNumerically(">=", 4), "after "+dc)
			}
			g.Expect(m.refused.Load()).To(BeNumerically("<=", 30), "orders that are refused aren't repeated in haste")
			m.dry.Store(false)
			time.Sleep(30 * time.Second)
			on := 0
			for _, dc := range []string{"a", "b", "c", "d"} {
				on += m.have(steady(dc))
			}
			g.Expect(on).To(BeZero(), "reclaimable ones take over again")
			g.Expect(m.total()).To(BeNumerically(">=", 7))
		})
	})
}

// TestASteadyLoadNeedsFewOrders checks that the plan doesn't swing.
func TestASteadyLoadNeedsFewOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		load := &steadyLoad{engines: 6}
		plan(load, false, func(m *market) {
			time.Sleep(30 * time.Second)
			before := m.orders.Load()
			for i := range 120 {
				load.set(6 + 0.4*float64(i%2))
				time.Sleep(500 * time.Millisecond)
			}
			g.Expect(m.orders.Load() - before).To(BeNumerically("<=", 4))
		})
	})
}

// TestOnDemandOnesDoNotBlockTheirDataCentre has on-demand instances fill a data
// centre's limit after a dry time: the reclaimable ones that lack there must not
// keep them.
func TestOnDemandOnesDoNotBlockTheirDataCentre(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newService(false, now.Add(-time.Minute))
	want := map[Place]int{spot("a"): 3, spot("b"): 3, spot("c"): 3, spot("d"): 3, steady("b"): 0}
	present := map[Place]int{spot("a"): 3, spot("b"): 1, spot("c"): 3, spot("d"): 3, steady("b"): 5}
	s.ordered[steady("b")] = order{count: 5, at: now.Add(-time.Minute)}
	_, due := s.due(steady("b"), want, present, prices(), now)
	g.Expect(due).To(BeFalse(), "a surplus has to last")
	count, due := s.due(steady("b"), want, present, prices(), now.Add(stepInterval))
	g.Expect(due).To(BeTrue())
	g.Expect(count).To(BeZero())
}
