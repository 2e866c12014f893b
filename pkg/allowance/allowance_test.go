package allowance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/routing"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

const silence = 800 * time.Millisecond

// clock is the time that tests set.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newBook(c *clock, members int) *Limiter { return newBookWith(c, members, 0) }

// newBookWith returns a book whose accounts start with a credit.
func newBookWith(c *clock, members int, credit float64) *Limiter {
	return New(Options{Credit: credit, Now: c.Now, PeerTimeout: func() time.Duration { return silence }, Members: func() int { return members }})
}

func workspace(rate, burst float64) routing.Workspace {
	return routing.Workspace{Name: "w1", Rate: rate, Burst: burst}
}

func TestWorkspacesWithoutALimitAreAdmitted(t *testing.T) {
	g := NewWithT(t)
	b := newBook(&clock{now: time.Unix(0, 0)}, 1)
	w := workspace(0, 0)
	for range 100 {
		_, ok := b.Take(&w, 1e9, false)
		g.Expect(ok).To(BeTrue())
	}
}

func TestAnAccountStartsEmptyAndFills(t *testing.T) {
	g := NewWithT(t)
	c := &clock{now: time.Unix(0, 0)}
	b := newBook(c, 1)
	w := workspace(100, 50)
	b.Open([]routing.Workspace{w})
	_, ok := b.Take(&w, 1, false)
	g.Expect(ok).To(BeFalse(), "what was admitted before the start isn't known")
	c.now = c.now.Add(10 * time.Second)
	admitted := 0
	for range 200 {
		if _, ok := b.Take(&w, 1, false); ok {
			admitted++
		}
	}
	g.Expect(admitted).To(Equal(50))
}

func TestLargeRequestsAreServedAsOftenAsSmallOnes(t *testing.T) {
	g := NewWithT(t)
	c := &clock{now: time.Unix(0, 0)}
	b := newBook(c, 1)
	w := workspace(1000, 1000)
	b.Open([]routing.Workspace{w})
	admitted := map[float64]int{}
	random := rand.New(rand.NewPCG(1, 2))
	for range 4000 {
		c.now = c.now.Add(10 * time.Millisecond)
		cost := 10.0
		if random.IntN(2) == 0 {
			cost = 900
		}
		if _, ok := b.Take(&w, cost, false); ok {
			admitted[cost]++
		}
	}
	g.Expect(admitted[900]).To(BeNumerically("~", admitted[10], admitted[10]/2))
}

// TestLateRequestsGiveWay has a workspace ask for three times its limit, a
// third of it late already: what can be on time is admitted first.
func TestLateRequestsGiveWay(t *testing.T) {
	g := NewWithT(t)
	c := &clock{now: time.Unix(0, 0)}
	b := newBook(c, 1)
	w := workspace(100, 100)
	b.Open([]routing.Workspace{w})
	admitted := map[bool]int{}
	for range 3000 {
		c.now = c.now.Add(10 * time.Millisecond)
		for _, late := range []bool{false, true, false} {
			if _, ok := b.Take(&w, 1, late); ok {
				admitted[late]++
			}
		}
	}
	g.Expect(admitted[true]).To(BeZero())
	g.Expect(admitted[false]).To(BeNumerically("~", 3000, 100))
}

func TestARefusalTellsWhenToComeBack(t *testing.T) {
	g := NewWithT(t)
	c := &clock{now: time.Unix(0, 0)}
	b := newBook(c, 1)
	w := workspace(100, 100)
	b.Open([]routing.Workspace{w})
	c.now = c.now.Add(time.Second)
	_, ok := b.Take(&w, 300, false)
	g.Expect(ok).To(BeTrue())
	wait, ok := b.Take(&w, 10, false)
	g.Expect(ok).To(BeFalse())
	c.now = c.now.Add(wait)
	_, ok = b.Take(&w, 10, false)
	g.Expect(ok).To(BeTrue(), "a caller that comes back when told is admitted")
}

func TestARefundIsAdmittedAgain(t *testing.T) {
	g := NewWithT(t)
	c := &clock{now: time.Unix(0, 0)}
	b := newBook(c, 1)
	w := workspace(100, 100)
	b.Open([]routing.Workspace{w})
	c.now = c.now.Add(time.Second)
	_, ok := b.Take(&w, 150, false)
	g.Expect(ok).To(BeTrue())
	b.Refund(&w, 150)
	_, ok = b.Take(&w, 1, false)
	g.Expect(ok).To(BeTrue())
	g.Expect(b.Totals()).To(Equal(map[string]float64{"w1": 1}))
}

func TestALowerLimitBindsAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := &clock{now: time.Unix(0, 0)}
	b := newBook(c, 1)
	w := workspace(1000, 1000)
	b.Open([]routing.Workspace{w})
	c.now = c.now.Add(2 * time.Second)
	w = workspace(10, 10)
	admitted := 0
	for range 100 {
		if _, ok := b.Take(&w, 1, false); ok {
			admitted++
		}
	}
	g.Expect(admitted).To(Equal(10))
}

// fleet is a group of instances that share one limit.
type fleet struct {
	clock  *clock
	limit  routing.Workspace
	credit float64
	books  []*Limiter
	boots  []uint64
	// cut holds the instances that neither hear nor are heard.
	cut map[int]bool
	// admitted holds the cost admitted in all, and when.
	admitted []admission
}

type admission struct {
	at   time.Time
	cost float64
}

func newFleet(n int, w routing.Workspace) *fleet { return newFleetWith(n, w, 0) }

func newFleetWith(n int, w routing.Workspace, credit float64) *fleet {
	f := &fleet{clock: &clock{now: time.Unix(1000, 0)}, limit: w, credit: credit, cut: make(map[int]bool)}
	f.books = make([]*Limiter, n)
	f.boots = make([]uint64, n)
	for i := range n {
		f.restart(i)
	}
	return f
}

// restart has an instance start anew.
func (f *fleet) restart(i int) {
	f.boots[i] = uint64(f.clock.now.UnixNano())
	f.books[i] = newBookWith(f.clock, len(f.books), f.credit)
	f.books[i].Open([]routing.Workspace{f.limit})
}

// exchange has all connected instances tell each other their totals.
func (f *fleet) exchange() {
	for i, from := range f.books {
		totals := from.Totals()
		for j, to := range f.books {
			if i != j && !f.cut[i] && !f.cut[j] {
				to.ReceiveTotals(fmt.Sprint(i), f.boots[i], totals)
			}
		}
	}
}

// worst is the most that was admitted in a window.
func (f *fleet) worst(window time.Duration) float64 {
	most := 0.0
	for i := range f.admitted {
		sum := 0.0
		for _, a := range f.admitted[i:] {
			if a.at.Sub(f.admitted[i].at) >= window {
				break
			}
			sum += a.cost
		}
		most = max(most, sum)
	}
	return most
}

// TestTheLimitHoldsOverAllInstances is a property: whatever the demand, and
// whoever is cut off, comes back or restarts, what all instances together admit
// in a window stays within the limit and the allowed excess.
func TestTheLimitHoldsOverAllInstances(t *testing.T) {
	t.Run("small workspace", func(t *testing.T) { checkLimit(t, 20_000, 3000) })
	t.Run("large workspace", func(t *testing.T) { checkLimit(t, 320_000, 12_000) })
}

// checkLimit checks the property for a rate per second, which is also the burst,
// and requests of one cost.
func checkLimit(t *testing.T, rate, cost float64) {
	t.Helper()
	const (
		window      = 8 * time.Second
		over, slack = 0.1, 140_000.0
		step        = 50 * time.Millisecond
		ticks       = 400
		credit      = 0.4 * slack
	)
	rapid.Check(t, func(t *rapid.T) {
		w := workspace(rate, rate)
		n := rapid.IntRange(2, 8).Draw(t, "instances")
		f := newFleetWith(n, w, credit)
		allRestart := rapid.IntRange(0, ticks).Draw(t, "all restart at")
		demand := 0
		for tick := range ticks {
			f.clock.now = f.clock.now.Add(step)
			if tick%20 == 0 {
				who := rapid.IntRange(0, n-1).Draw(t, "who")
				switch rapid.IntRange(0, 3).Draw(t, "event") {
				case 0:
					f.cut[who] = true
				case 1:
					delete(f.cut, who)
				case 2:
					f.restart(who)
					// The holder of the duties may have been silent while others were at work.
					f.books[who].CreditIdleTime(f.clock.now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "holder silent ms")) * time.Millisecond))
				}
			}
			if tick == allRestart {
				lastSaved := f.clock.now.Add(-time.Duration(rapid.IntRange(0, 300).Draw(t, "saved before ms")) * time.Millisecond)
				f.clock.now = f.clock.now.Add(time.Duration(rapid.IntRange(500, 3000).Draw(t, "down ms")) * time.Millisecond)
				for i := range f.books {
					f.restart(i)
					f.books[i].CreditIdleTime(lastSaved.Add(500 * time.Millisecond))
				}
			}
			if tick%4 == 0 {
				f.exchange()
			}
			if tick%10 == 0 {
				demand = rapid.IntRange(0, 6).Draw(t, "demand")
			}
			for i := range demand * n {
				if _, ok := f.books[i%n].Take(&w, cost, false); ok {
					f.admitted = append(f.admitted, admission{at: f.clock.now, cost: cost})
				}
			}
		}
		allowed := (rate*window.Seconds()+rate)*(1+over) + slack
		if got := f.worst(window); got > allowed {
			t.Fatalf("%d instances admitted %.0f in a window, allowed %.0f", n, got, allowed)
		}
	})
}

// TestAnUnevenDemandGetsTheWholeLimit has one instance get all requests: what
// the others don't use isn't lost.
func TestAnUnevenDemandGetsTheWholeLimit(t *testing.T) {
	g := NewWithT(t)
	w := workspace(1000, 1000)
	f := newFleet(6, w)
	admitted := 0.0
	for tick := range 400 {
		f.clock.now = f.clock.now.Add(50 * time.Millisecond)
		if tick%4 == 0 {
			f.exchange()
		}
		for range 10 {
			if _, ok := f.books[0].Take(&w, 10, false); ok {
				admitted += 10
			}
		}
	}
	g.Expect(admitted).To(BeNumerically(">", 0.9*20*1000))
}

// TestAnInstanceThatHearsNobodyTakesItsEqualPart checks the behaviour in a partition.
func TestAnInstanceThatHearsNobodyTakesItsEqualPart(t *testing.T) {
	g := NewWithT(t)
	w := workspace(1000, 1000)
	f := newFleet(5, w)
	for i := range 5 {
		f.cut[i] = true
	}
	admitted := 0.0
	for tick := range 400 {
		f.clock.now = f.clock.now.Add(50 * time.Millisecond)
		if tick%4 == 0 {
			f.exchange()
		}
		for range 100 {
			if _, ok := f.books[2].Take(&w, 1, false); ok {
				admitted++
			}
		}
	}
	g.Expect(admitted).To(BeNumerically("~", 20*1000/5, 0.1*20*1000/5))
}

// TestAfterAPauseNobodyTakesItselfForTheOnlyOne has all instances get requests
// at the same time after a pause in which their rates have faded.
func TestAfterAPauseNobodyTakesItselfForTheOnlyOne(t *testing.T) {
	g := NewWithT(t)
	const rate = 20_000.0
	w := workspace(rate, rate)
	f := newFleet(6, w)
	admitted := 0.0
	ask := func(rounds int) {
		for i := range rounds * 6 {
			if _, ok := f.books[i%6].Take(&w, 3000, false); ok {
				admitted += 3000
			}
		}
	}
	for tick := range 400 {
		f.clock.now = f.clock.now.Add(50 * time.Millisecond)
		if tick%4 == 0 {
			f.exchange()
		}
		switch {
		case tick == 150:
			ask(1) // a rate that fades in the pause
		case tick >= 300 && tick < 312:
			if tick == 300 {
				admitted = 0
			}
			ask(6)
		}
	}
	g.Expect(admitted).To(BeNumerically("<=", 3*rate), "what was saved up, the rate of the time, and an overdraft of each")
}

// TestWhatWasSavedUpInAnIdleTimeIsThere has all instances start 2 s after the
// last one was at work.
func TestWhatWasSavedUpInAnIdleTimeIsThere(t *testing.T) {
	g := NewWithT(t)
	c := &clock{now: time.Unix(1000, 0)}
	b := newBook(c, 2)
	w := workspace(1000, 1000)
	b.Open([]routing.Workspace{w})
	b.CreditIdleTime(c.now.Add(-400 * time.Millisecond))
	g.Expect(b.accounts["w1"].level).To(BeNumerically("~", 400, 1))

	b.ReceiveTotals("p", uint64(c.now.Add(-100*time.Millisecond).UnixNano()), map[string]float64{"w1": 300})
	g.Expect(b.accounts["w1"].level).To(BeNumerically("~", 100, 1), "a peer that started since has used its part")
	b.ReceiveTotals("q", uint64(c.now.Add(-time.Minute).UnixNano()), nil)
	g.Expect(b.accounts["w1"].level).To(BeNumerically("<=", 0), "a peer was at work all the while")
}

// TestAPeerThatIsHeardLateIsNotChargedAgain has a peer start beside this process
// and be heard a minute later: an equal part was set aside for it all the while.
func TestAPeerThatIsHeardLateIsNotChargedAgain(t *testing.T) {
	g := NewWithT(t)
	c := &clock{now: time.Unix(1000, 0)}
	b := newBook(c, 2)
	w := workspace(1000, 1000)
	b.Open([]routing.Workspace{w})
	b.CreditIdleTime(c.now.Add(-time.Second))
	boot := uint64(c.now.UnixNano())
	c.now = c.now.Add(time.Minute)
	b.ReceiveTotals("p", boot, map[string]float64{"w1": 30_000})
	_, ok := b.Take(&w, 10, false)
	g.Expect(ok).To(BeTrue())
	g.Expect(b.accounts["w1"].level).To(BeNumerically(">", 0))
}

// TestARestartedPeerBeginsAnew has a peer restart that told a large total: its
// next small one is no refund.
func TestARestartedPeerBeginsAnew(t *testing.T) {
	g := NewWithT(t)
	c := &clock{now: time.Unix(0, 0)}
	b := newBook(c, 2)
	w := workspace(1000, 1000)
	b.Open([]routing.Workspace{w})
	b.ReceiveTotals("p", 1, nil)
	b.ReceiveTotals("p", 1, map[string]float64{"w1": 50_000})
	c.now = c.now.Add(200 * time.Millisecond)
	before := b.accounts["w1"].level
	b.ReceiveTotals("p", 2, nil)
	c.now = c.now.Add(200 * time.Millisecond)
	b.ReceiveTotals("p", 2, map[string]float64{"w1": 10})
	g.Expect(b.accounts["w1"].level).To(BeNumerically("<=", before+400), "only its rate is added")
}

// TestAfterALossOfAllTheCreditIsSpentOnce has all instances start anew while
// callers come back: some are served before the instances have heard each other.
func TestAfterALossOfAllTheCreditIsSpentOnce(t *testing.T) {
	g := NewWithT(t)
	const rate, credit = 20_000.0, 12_000.0
	f := newFleetWith(6, workspace(rate, rate), credit)
	first := 0.0
	for range 4 {
		f.clock.now = f.clock.now.Add(50 * time.Millisecond)
		for i := range 60 {
			if _, ok := f.books[i%6].Take(&f.limit, 500, false); ok {
				first += 500
			}
		}
	}
	g.Expect(first).To(BeNumerically(">=", credit))
	g.Expect(first).To(BeNumerically("<=", 1.2*credit+0.2*rate+6*500))
}
