package schedule

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

func table(n, slots int) *endpoints.Table {
	t := endpoints.NewTable(func() {})
	for i := range n {
		t.Put(endpoints.Info{ID: fmt.Sprintf("i-%d", i), Service: "s1", Addr: "10.0.0.1:80", Slots: slots})
	}
	return t
}

func places(e *endpoints.Endpoint) int { return e.Info().Slots }

// guess is what is believed of endpoints before any answer was seen.
func guess() *speed.Estimate { return speed.New(time.Now).Service("s1").Estimate() }

func demand(now time.Time) Request {
	return Request{Service: "s1", Arrived: now, Target: time.Second, Deadline: now.Add(10 * time.Second)}
}

func TestPlacesAreSpreadAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(table(3, 2), places, time.Now)
		count := map[string]int{}
		var held []*Placement
		for range 6 {
			p, err := s.Place(context.Background(), demand(time.Now()))
			g.Expect(err).NotTo(HaveOccurred())
			count[p.Endpoint.ID]++
			held = append(held, p)
		}
		g.Expect(count).To(Equal(map[string]int{"i-0": 2, "i-1": 2, "i-2": 2}))
		start := time.Now()
		_, err := s.Place(context.Background(), demand(start))
		g.Expect(err).To(MatchError(ErrBusy))
		g.Expect(time.Since(start)).To(BeNumerically("<=", 500*time.Millisecond), "it isn't held beyond half of its objective")
		held[0].End()
		held[0].End() // a second end is none
		_, err = s.Place(context.Background(), demand(time.Now()))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// TestWaitingRequestsAreServedInOrder fills the only place and lets requests
// queue up: those that can be on time first, then the urgent, then the oldest.
func TestWaitingRequestsAreServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(table(1, 1), places, time.Now)
		first, err := s.Place(context.Background(), demand(time.Now()))
		g.Expect(err).NotTo(HaveOccurred())
		order := make(chan string, 4)
		wait := func(name string, change func(*Request)) {
			d := demand(time.Now())
			d.Target = 4 * time.Second
			change(&d)
			go func() {
				p, err := s.Place(context.Background(), d)
				if err != nil {
					order <- name + ": " + err.Error()
					return
				}
				order <- name
				p.End()
			}()
			synctest.Wait()
		}
		wait("late", func(d *Request) { d.Priority = 0; d.Arrived = d.Arrived.Add(-5 * time.Second) })
		wait("usual", func(d *Request) { d.Priority = 2 })
		wait("younger", func(d *Request) { d.Priority = 2; d.Arrived = d.Arrived.Add(time.Millisecond) })
		wait("urgent", func(d *Request) { d.Priority = 1 })
		g.Expect(s.Waiting("s1")).To(Equal(4))
		first.End()
		for _, name := range []string{"urgent", "usual", "younger", "late"} {
			g.Expect(<-order).To(Equal(name))
		}
	})
}

func TestACallerThatLeavesGivesItsPlaceInTheQueueBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(table(1, 1), places, time.Now)
		held, err := s.Place(context.Background(), demand(time.Now()))
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		go func() {
			_, err := s.Place(ctx, demand(time.Now()))
			failed <- err
		}()
		synctest.Wait()
		cancel()
		g.Expect(<-failed).To(MatchError(ErrGone))
		g.Expect(s.Waiting("s1")).To(BeZero())
		held.End()
	})
}

func TestANewEndpointTakesWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var s *Scheduler
		list := endpoints.NewTable(func() { s.PlaceWaiting() })
		s = New(list, places, time.Now)
		placed := make(chan error, 1)
		go func() {
			_, err := s.Place(context.Background(), demand(time.Now()))
			placed <- err
		}()
		synctest.Wait()
		list.Put(endpoints.Info{ID: "i-0", Service: "s1", Addr: "10.0.0.1:80", Slots: 1})
		g.Expect(<-placed).To(Succeed())
	})
}

func TestARequestThatWasEverywhereIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(table(2, 1), places, time.Now)
		d := demand(time.Now())
		d.Avoid = map[string]bool{"i-0": true, "i-1": true}
		start := time.Now()
		_, err := s.Place(context.Background(), d)
		g.Expect(err).To(MatchError(ErrBusy))
		g.Expect(time.Since(start)).To(BeZero())
	})
}

func TestRequestsWithTheSameSharedPartsMeet(t *testing.T) {
	g := NewWithT(t)
	s := New(table(8, 96), places, time.Now)
	homes := map[string]map[string]bool{}
	for i := range 64 {
		thing := fmt.Sprintf("thing-%d", i%8)
		d := demand(time.Now())
		d.Prompt = 12_000
		d.Parts = []Part{{ID: "common", Tokens: 512}, {ID: thing, Tokens: 4870}, {ID: fmt.Sprint("own", i), Tokens: 6600}}
		p, err := s.Place(context.Background(), d)
		g.Expect(err).NotTo(HaveOccurred())
		if homes[thing] == nil {
			homes[thing] = map[string]bool{}
		}
		homes[thing][p.Endpoint.ID] = true
		p.End()
	}
	for thing, at := range homes {
		g.Expect(at).To(HaveLen(1), thing)
	}
}

// TestAHotPrefixDoesNotPileUp sends one shared prompt only: its home takes no
// more than its queue is worth.
func TestAHotPrefixDoesNotPileUp(t *testing.T) {
	g := NewWithT(t)
	list := table(4, 96)
	s := New(list, places, time.Now)
	for i := range 40 {
		d := demand(time.Now())
		d.Prompt = 12_000
		d.Parts = []Part{{ID: "hot", Tokens: 5400}, {ID: fmt.Sprint("own", i), Tokens: 6600}}
		_, err := s.Place(context.Background(), d)
		g.Expect(err).NotTo(HaveOccurred())
	}
	most := 0
	for _, e := range list.Service("s1") {
		most = max(most, e.OwnLoad().Running)
	}
	g.Expect(most).To(BeNumerically("<=", 20), "half of the batch at most")
}

func TestBrokenEndpointsAreTheLastResort(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	list := table(2, 1)
	all := list.Service("s1")
	all[0].RecordUnreachable(now)
	c, ok := choose(all, demand(now), places, now, sampling{size: len(all)}, guess())
	g.Expect(ok).To(BeTrue())
	g.Expect(c.endpoint.ID).To(Equal("i-1"))
	all[1].Begin(0, now)
	_, ok = choose(all, demand(now), places, now, sampling{size: len(all)}, guess())
	g.Expect(ok).To(BeFalse(), "a full endpoint is waited for rather than a broken one tried")
	all[1].End()
	all[1].RecordUnreachable(now)
	_, ok = choose(all, demand(now), places, now, sampling{size: len(all)}, guess())
	g.Expect(ok).To(BeTrue(), "where all are broken one is tried")
}

func TestWorkIsCountedOnce(t *testing.T) {
	g := NewWithT(t)
	s := New(table(1, 96), places, time.Now)
	d := demand(time.Now())
	d.Prompt, d.OutputHint = 10_000, 100
	_, err := s.Place(context.Background(), d)
	g.Expect(err).NotTo(HaveOccurred())
	once := s.RequestedWork.Totals()["s1"]
	known := guess()
	batch := fullBatch(96)
	written := 100 * known.Step(batch).Seconds() / float64(batch)
	g.Expect(once).To(BeNumerically("~", known.Read(10_000, 0).Seconds()+written, 0.001))
	d.Retry = true
	_, err = s.Place(context.Background(), d)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.RequestedWork.Totals()["s1"]).To(Equal(once))
}

func TestASmallBatchWritesMoreSlowly(t *testing.T) {
	g := NewWithT(t)
	d := Request{Prompt: 1, OutputHint: 1000}
	learnt := speed.New(time.Now).Service("s1")
	g.Expect(d.work(12, learnt)).To(BeNumerically(">", d.work(24, learnt)))
	g.Expect(d.work(0, learnt)).To(Equal(d.work(unknownSlots, learnt)))
	g.Expect(Request{}.work(12, learnt)).To(BeZero())
}

// TestManyInstancesDoNotHerd has 80 instances place 20 requests each before they
// hear of each other: each would fill the endpoints in the same order.
func TestManyInstancesDoNotHerd(t *testing.T) {
	g := NewWithT(t)
	const instances, servers, requests = 80, 90, 20
	random := rand.New(rand.NewPCG(1, 2))
	count := map[string]int{}
	for range instances {
		s := New(table(servers, 96), places, time.Now)
		s.Members = func() int { return instances }
		s.random = random.IntN
		for range requests {
			p, err := s.Place(t.Context(), demand(time.Now()))
			g.Expect(err).NotTo(HaveOccurred())
			count[p.Endpoint.ID]++
		}
	}
	mean := instances * requests / servers
	for id, n := range count {
		g.Expect(n).To(BeNumerically("<=", 2*mean), id)
	}
}
