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

func newTable(n, slots int) *endpoints.Table {
	t := endpoints.NewTable(func() {})
	for i := range n {
		t.Put(endpoints.Info{ID: fmt.Sprintf("i-%d", i), Service: "s1", Addr: "10.0.0.1:80", Slots: slots})
	}
	return t
}

func slotsOf(e *endpoints.Endpoint) int { return e.Info().Slots }

// initialEstimate is the estimate before any sample.
func initialEstimate() *speed.Estimate { return speed.New(time.Now).Service("s1").Estimate() }

func testRequest(now time.Time) Request {
	return Request{Service: "s1", Arrived: now, Target: time.Second, Deadline: now.Add(10 * time.Second)}
}

func TestPlace_SpreadsRequestsAndRespectsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(newTable(3, 2), slotsOf, time.Now)
		count := map[string]int{}
		var held []*Placement
		for range 6 {
			p, err := s.Place(context.Background(), testRequest(time.Now()))
			g.Expect(err).NotTo(HaveOccurred())
			count[p.Endpoint.ID]++
			held = append(held, p)
		}
		g.Expect(count).To(Equal(map[string]int{"i-0": 2, "i-1": 2, "i-2": 2}))
		start := time.Now()
		_, err := s.Place(context.Background(), testRequest(start))
		g.Expect(err).To(MatchError(ErrBusy))
		g.Expect(time.Since(start)).To(BeNumerically("<=", 500*time.Millisecond), "a request waits at most half of its objective")
		held[0].End()
		held[0].End() // has no effect
		_, err = s.Place(context.Background(), testRequest(time.Now()))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Fills the only slot and queues requests. Expected order: requests that can be on time
// first, then by priority, then by the time at which the objective passes.
func TestPlace_ServesWaitingRequestsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(newTable(1, 1), slotsOf, time.Now)
		first, err := s.Place(context.Background(), testRequest(time.Now()))
		g.Expect(err).NotTo(HaveOccurred())
		order := make(chan string, 4)
		wait := func(name string, change func(*Request)) {
			r := testRequest(time.Now())
			r.Target = 4 * time.Second
			change(&r)
			go func() {
				p, err := s.Place(context.Background(), r)
				if err != nil {
					order <- name + ": " + err.Error()
					return
				}
				order <- name
				p.End()
			}()
			synctest.Wait()
		}
		wait("late", func(r *Request) { r.Priority = 0; r.Arrived = r.Arrived.Add(-5 * time.Second) })
		wait("normal", func(r *Request) { r.Priority = 2 })
		wait("later", func(r *Request) { r.Priority = 2; r.Arrived = r.Arrived.Add(time.Millisecond) })
		wait("urgent", func(r *Request) { r.Priority = 1 })
		g.Expect(s.Waiting("s1")).To(Equal(4))
		first.End()
		for _, name := range []string{"urgent", "normal", "later", "late"} {
			g.Expect(<-order).To(Equal(name))
		}
	})
}

func TestPlace_CancelledRequestLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(newTable(1, 1), slotsOf, time.Now)
		held, err := s.Place(context.Background(), testRequest(time.Now()))
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		go func() {
			_, err := s.Place(ctx, testRequest(time.Now()))
			failed <- err
		}()
		synctest.Wait()
		cancel()
		g.Expect(<-failed).To(MatchError(ErrCancelled))
		g.Expect(s.Waiting("s1")).To(BeZero())
		held.End()
	})
}

func TestPlaceWaiting_UsesNewEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var s *Scheduler
		table := endpoints.NewTable(func() { s.PlaceWaiting() })
		s = New(table, slotsOf, time.Now)
		placed := make(chan error, 1)
		go func() {
			_, err := s.Place(context.Background(), testRequest(time.Now()))
			placed <- err
		}()
		synctest.Wait()
		table.Put(endpoints.Info{ID: "i-0", Service: "s1", Addr: "10.0.0.1:80", Slots: 1})
		g.Expect(<-placed).To(Succeed())
	})
}

func TestPlace_RefusesWhenAllEndpointsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(newTable(2, 1), slotsOf, time.Now)
		r := testRequest(time.Now())
		r.Avoid = map[string]bool{"i-0": true, "i-1": true}
		start := time.Now()
		_, err := s.Place(context.Background(), r)
		g.Expect(err).To(MatchError(ErrBusy))
		g.Expect(time.Since(start)).To(BeZero())
	})
}

// newBuildTable returns endpoints of one slot each, with the given versions.
func newBuildTable(versions ...string) *endpoints.Table {
	t := endpoints.NewTable(func() {})
	for i, v := range versions {
		t.Put(endpoints.Info{ID: fmt.Sprintf("i-%d", i), Service: "s1", Addr: "10.0.0.1:80", Slots: 1, Version: v})
	}
	return t
}

// Guards against a stream that goes on at another build, or that waits for its build though no
// endpoint of it is left.
func TestPlace_KeepsToBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newBuildTable("v1", "v2", "v2")
		table2 := table.Service("s1")
		s := New(table, slotsOf, time.Now)
		r := testRequest(time.Now())
		r.Build = table2[0].Build()
		p, err := s.Place(context.Background(), r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Endpoint.ID).To(Equal("i-0"))
		_, err = s.Place(context.Background(), r)
		g.Expect(err).To(MatchError(ErrBusy), "its only endpoint is full")

		waited := make(chan error, 1)
		r.Arrived = time.Now()
		go func() {
			_, err := s.Place(context.Background(), r)
			waited <- err
		}()
		synctest.Wait()
		start := time.Now()
		table.Remove("i-0")
		s.PlaceWaiting()
		g.Expect(<-waited).To(MatchError(ErrBusy), "its only endpoint has gone")
		g.Expect(time.Since(start)).To(BeZero())
	})
}

// Guards against requests that wait behind a stream whose build has no free slot.
func TestPlace_StreamThatWaitsForItsBuildHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newBuildTable("v1", "v2", "v2")
		s := New(table, slotsOf, time.Now)
		r := testRequest(time.Now())
		r.Build = table.Service("s1")[0].Build()
		held, err := s.Place(context.Background(), r)
		g.Expect(err).NotTo(HaveOccurred())
		placed := make(chan error, 1)
		go func() {
			_, err := s.Place(context.Background(), r)
			placed <- err
		}()
		synctest.Wait()
		var others []*Placement
		for range 2 {
			start := time.Now()
			p, err := s.Place(context.Background(), testRequest(start))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(time.Since(start)).To(BeZero())
			others = append(others, p)
		}
		waits := make(chan error, 1)
		go func() {
			_, err := s.Place(context.Background(), testRequest(time.Now()))
			waits <- err
		}()
		synctest.Wait()
		others[0].End()
		g.Expect(<-waits).To(Succeed(), "a slot of another build is free")
		held.End()
		g.Expect(<-placed).To(Succeed())
	})
}

func TestPlace_SamePrefixGoesToSameEndpoint(t *testing.T) {
	g := NewWithT(t)
	s := New(newTable(8, 96), slotsOf, time.Now)
	usedByDocument := map[string]map[string]bool{}
	for i := range 64 {
		document := fmt.Sprintf("document-%d", i%8)
		r := testRequest(time.Now())
		r.Prompt = 12_000
		r.Parts = []Part{{ID: "common", Tokens: 512}, {ID: document, Tokens: 4870}, {ID: fmt.Sprint("own", i), Tokens: 6600}}
		p, err := s.Place(context.Background(), r)
		g.Expect(err).NotTo(HaveOccurred())
		if usedByDocument[document] == nil {
			usedByDocument[document] = map[string]bool{}
		}
		usedByDocument[document][p.Endpoint.ID] = true
		p.End()
	}
	for document, used := range usedByDocument {
		g.Expect(used).To(HaveLen(1), document)
	}
}

// All requests share one prefix. Guards against placing them all on the endpoint with the
// cached prefix: the cache hit must not outweigh the queue.
func TestPlace_SpreadsHotPrefix(t *testing.T) {
	g := NewWithT(t)
	table := newTable(4, 96)
	s := New(table, slotsOf, time.Now)
	for i := range 40 {
		r := testRequest(time.Now())
		r.Prompt = 12_000
		r.Parts = []Part{{ID: "hot", Tokens: 5400}, {ID: fmt.Sprint("own", i), Tokens: 6600}}
		_, err := s.Place(context.Background(), r)
		g.Expect(err).NotTo(HaveOccurred())
	}
	most := 0
	for _, e := range table.Service("s1") {
		most = max(most, e.OwnLoad().Running)
	}
	g.Expect(most).To(BeNumerically("<=", 20), "at most half of the requests")
}

func TestChoose_UsesPausedEndpointsOnlyAsLastResort(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := newTable(2, 1)
	s := New(table, slotsOf, time.Now)
	all := table.Service("s1")
	all[0].RecordUnreachable(now)
	c, ok := s.choose(all, testRequest(now), initialEstimate(), now)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.endpoint.ID).To(Equal("i-1"))
	all[1].Begin(0, now)
	_, ok = s.choose(all, testRequest(now), initialEstimate(), now)
	g.Expect(ok).To(BeFalse(), "requests wait for a full endpoint rather than use an unreachable one")
	all[1].End()
	all[1].RecordUnreachable(now)
	_, ok = s.choose(all, testRequest(now), initialEstimate(), now)
	g.Expect(ok).To(BeTrue(), "an unreachable endpoint is used if all are")
}

func TestRequestedWork_CountsRetriedRequestOnce(t *testing.T) {
	g := NewWithT(t)
	s := New(newTable(1, 96), slotsOf, time.Now)
	r := testRequest(time.Now())
	r.Prompt, r.OutputHint = 10_000, 100
	_, err := s.Place(context.Background(), r)
	g.Expect(err).NotTo(HaveOccurred())
	once := s.RequestedWork.Totals()["s1"]
	est := initialEstimate()
	batch := fullBatch(96)
	decodeSeconds := 100 * est.StepTime(batch).Seconds() / float64(batch)
	g.Expect(once).To(BeNumerically("~", est.PrefillTime(10_000, 0).Seconds()+decodeSeconds, 0.001))
	r.Retry = true
	_, err = s.Place(context.Background(), r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.RequestedWork.Totals()["s1"]).To(Equal(once))
}

func TestEngineTime_GrowsWithSmallerBatch(t *testing.T) {
	g := NewWithT(t)
	r := Request{Prompt: 1, OutputHint: 1000}
	speeds := speed.New(time.Now).Service("s1")
	g.Expect(r.engineTime(12, speeds)).To(BeNumerically(">", r.engineTime(24, speeds)))
	g.Expect(r.engineTime(0, speeds)).To(Equal(r.engineTime(defaultSlots, speeds)))
	g.Expect(Request{}.engineTime(12, speeds)).To(BeZero())
}

// 80 instances place 20 requests each before they receive each other's loads. Guards
// against all of them filling the endpoints in the same order.
func TestPlace_InstancesDoNotOverloadSameEndpoints(t *testing.T) {
	g := NewWithT(t)
	const instances, servers, requests = 80, 90, 20
	random := rand.New(rand.NewPCG(1, 2))
	count := map[string]int{}
	for range instances {
		s := New(newTable(servers, 96), slotsOf, time.Now)
		s.Members = func() int { return instances }
		s.random = random.IntN
		for range requests {
			p, err := s.Place(t.Context(), testRequest(time.Now()))
			g.Expect(err).NotTo(HaveOccurred())
			count[p.Endpoint.ID]++
		}
	}
	mean := instances * requests / servers
	for id, n := range count {
		g.Expect(n).To(BeNumerically("<=", 2*mean), id)
	}
}
