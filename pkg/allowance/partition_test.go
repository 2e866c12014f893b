package allowance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

const (
	// largeFleetSize is the number of instances in these tests, reportFanout the number of peers
	// that get one report, and reportInterval the time between two reports of an instance.
	largeFleetSize = 63
	reportFanout   = 15
	reportInterval = 200 * time.Millisecond
	// reportsPerRound is the number of reports of an instance in which each peer gets one.
	reportsPerRound = 5
	// largeFleetTimeout is the time after which a fleet of this size takes a peer for unreachable.
	largeFleetTimeout = 4 * reportsPerRound * reportInterval
)

// largeFleet is a fleet in which a report reaches only some peers, which successive reports
// rotate through.
type largeFleet struct {
	*fleet
	// group holds the group of each instance; reports arrive only within one.
	group []int
	next  []int
}

func newLargeFleet(w routing.Workspace, credit float64) *largeFleet {
	f := &largeFleet{
		fleet: &fleet{clock: &clock{now: time.Unix(1000, 0)}, limit: w, credit: credit, boots: make([]uint64, largeFleetSize), limiters: make([]*Limiter, largeFleetSize)},
		group: make([]int, largeFleetSize), next: make([]int, largeFleetSize),
	}
	for i := range f.limiters {
		f.boots[i] = uint64(f.clock.now.UnixNano())
		f.limiters[i] = New(Options{
			Overshoot: 0.05, Credit: credit, Now: f.clock.Now, PeerTimeout: func() time.Duration { return largeFleetTimeout },
			RoundTime: func() time.Duration { return reportsPerRound * reportInterval }, ReportInterval: reportInterval, Members: func() int { return largeFleetSize },
		})
		f.limiters[i].Open([]routing.Workspace{w})
		f.next[i] = i * 37 % largeFleetSize
	}
	return f
}

// report sends the totals of each instance to the next of its peers.
func (f *largeFleet) report() {
	for i, from := range f.limiters {
		totals := from.Totals()
		for range reportFanout {
			f.next[i] = (f.next[i] + 1) % largeFleetSize
			if f.next[i] == i {
				f.next[i] = (f.next[i] + 1) % largeFleetSize
			}
			if f.group[f.next[i]] == f.group[i] {
				f.limiters[f.next[i]].ReceiveTotals(fmt.Sprint(i), f.boots[i], totals)
			}
		}
	}
}

// run lets all instances get the same demand, as a multiple of the limit, for a time.
func (f *largeFleet) run(d time.Duration, demand, cost float64) {
	const step = 20 * time.Millisecond
	backlog := 0.0
	next := 0
	for at := time.Duration(0); at < d; at += step {
		f.clock.now = f.clock.now.Add(step)
		if f.clock.now.UnixNano()%int64(reportInterval) == 0 {
			f.report()
		}
		backlog += demand * f.limit.Rate * step.Seconds()
		for ; backlog > 0; backlog -= cost {
			next = (next + 1) % largeFleetSize
			if _, ok := f.limiters[next].Take(&f.limit, cost, false); ok {
				f.admitted = append(f.admitted, admission{at: f.clock.now, cost: cost})
			}
		}
	}
}

// Guards against instances of a large fleet that go on for seconds as if those that are cut off
// used no more than before, while the demand rises on both sides.
func TestLimiter_LimitHoldsWhenHalfOfLargeFleetIsCutOff(t *testing.T) {
	cuts := map[string]func(i int) int{
		"two halves":     func(i int) int { return i % 2 },
		"one half alone": func(i int) int { return i % 2 * i },
	}
	for name, group := range cuts {
		for _, before := range []float64{0.05, 0.2, 0.5, 0.8, 0.95} {
			for _, demand := range []float64{1.5, 3, 6} {
				t.Run(fmt.Sprintf("%s, demand from %.2f to %.1f", name, before, demand), func(t *testing.T) {
					checkCut(t, group, before, demand)
				})
			}
		}
	}
}

// checkCut checks that the limit holds while the instances are cut into groups and the demand,
// as a multiple of the limit, rises.
func checkCut(t *testing.T, group func(i int) int, before, demand float64) {
	t.Helper()
	g := NewWithT(t)
	const (
		rate, cost  = 1_385_000.0, 8000.0
		window      = 8 * time.Second
		over, slack = 0.1, 110_000.0
	)
	f := newLargeFleet(workspace(rate, rate), 0.4*slack)
	f.run(12*time.Second, before, cost)
	for i := range f.group {
		f.group[i] = group(i)
	}
	f.run(time.Second, before, cost)
	served := len(f.admitted)
	f.run(9*time.Second, demand, cost)
	allowed := (rate*window.Seconds()+rate)*(1+over) + slack
	g.Expect(f.maxInWindow(window)).To(BeNumerically("<=", allowed))
	g.Expect(float64(len(f.admitted)-served)*cost).To(BeNumerically(">=", 0.8*rate*9), "the limit stays usable")
}

// Guards against a large fleet that spends what its callers may have before its instances know
// of each other's use, as each one takes a share of the whole balance five times in that time.
func TestLimiter_LimitHoldsWhenDemandRisesInLargeFleet(t *testing.T) {
	for _, demand := range []float64{1.5, 3, 6} {
		for _, before := range []float64{0.05, 0.2, 0.5, 0.8, 0.95} {
			t.Run(fmt.Sprintf("from %.2f to %.1f", before, demand), func(t *testing.T) {
				checkCut(t, func(int) int { return 0 }, before, demand)
			})
		}
	}
}
