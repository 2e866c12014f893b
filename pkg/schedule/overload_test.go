package schedule

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

const (
	// prefillMicros is the time in which a fake engine prefills a prompt token, in microseconds.
	prefillMicros = 25
	// decodeTime is the time in which a fake engine decodes an answer.
	decodeTime = 200 * time.Millisecond
	// latencyObjective is the latency objective of the requests, callerTimeout the time after
	// which callers disconnect.
	latencyObjective = 600 * time.Millisecond
	callerTimeout    = 2500 * time.Millisecond
)

// fakeEngine prefills one prompt after the other, including those whose caller has
// disconnected.
type fakeEngine struct {
	mu     sync.Mutex
	idleAt time.Time
}

// prefill queues a prompt and returns the time at which it will be prefilled.
func (e *fakeEngine) prefill(tokens int) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.idleAt.Before(now) {
		e.idleAt = now
	}
	e.idleAt = e.idleAt.Add(time.Duration(tokens) * prefillMicros * time.Microsecond)
	return e.idleAt
}

// fleet is a scheduler with a few fake engines.
type fleet struct {
	scheduler *Scheduler
	table     *endpoints.Table
	engines   map[string]*fakeEngine
	random    *rand.Rand

	mu sync.Mutex
	// onTime, arrived and refused count the requests by the second of their arrival.
	onTime, arrived, refused map[int]int
	// longestRefusal is the longest time that Place took to refuse a request.
	longestRefusal time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{
		table: newTable(n, 64), engines: make(map[string]*fakeEngine), random: rand.New(rand.NewPCG(1, 2)),
		onTime: make(map[int]int), arrived: make(map[int]int), refused: make(map[int]int),
	}
	f.scheduler = New(f.table, slotsOf, time.Now)
	for _, e := range f.table.All() {
		f.engines[e.ID] = &fakeEngine{}
	}
	return f
}

// request sends one request; a refused one is retried once.
func (f *fleet) request(second, tokens int, arrived time.Time, retry bool) {
	ctx, cancel := context.WithDeadline(context.Background(), arrived.Add(callerTimeout))
	defer cancel()
	start := time.Now()
	p, err := f.scheduler.Place(ctx, Request{
		Service: "s1", Route: "r1", Prompt: tokens, Output: 100, EventTokens: 1,
		Arrived: arrived, Target: latencyObjective, Deadline: arrived.Add(callerTimeout),
	})
	if err != nil {
		f.locked(func() { f.refused[second]++; f.longestRefusal = max(f.longestRefusal, time.Since(start)) })
		if !retry {
			time.Sleep(200 * time.Millisecond)
			f.request(second, tokens, arrived, true)
		}
		return
	}
	defer p.End()
	answerAt := f.engines[p.Endpoint.ID].prefill(tokens)
	select {
	case <-ctx.Done():
		p.Abandoned()
		return
	case <-time.After(time.Until(answerAt)):
	}
	p.AnswerStarted()
	if time.Since(arrived) <= latencyObjective {
		f.locked(func() { f.onTime[second]++ })
	}
	time.Sleep(decodeTime)
}

func (f *fleet) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// load sends requests at a rate for a number of seconds.
func (f *fleet) load(wg *sync.WaitGroup, second, seconds int, perSecond float64) {
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	start := time.Now()
	for time.Now().Before(end) {
		arrival := second + int(time.Since(start).Seconds())
		tokens := 1000 + f.random.IntN(4000)
		f.locked(func() { f.arrived[arrival]++ })
		wg.Go(func() { f.request(arrival, tokens, time.Now(), false) })
		time.Sleep(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

func (f *fleet) onTimeShare(second int) float64 {
	return float64(f.onTime[second]) / float64(f.arrived[second])
}

// Offers twice the prefill capacity of four engines for some seconds, then less than the
// capacity. Guards against a backlog of late requests: during the overload the engines
// must still answer part of the requests on time, and right after it nearly all.
func TestPlace_RecoversOnceOverloadEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(4)
		var wg sync.WaitGroup
		const capacity = 4 * 1e6 / (3000 * prefillMicros)
		f.load(&wg, 0, 10, 0.5*capacity)
		f.load(&wg, 10, 10, 2*capacity)
		f.load(&wg, 20, 10, 0.6*capacity)
		wg.Wait()
		for second := 4; second < 10; second++ {
			g.Expect(f.onTimeShare(second)).To(BeNumerically(">", 0.95), fmt.Sprint("before the overload, second ", second))
		}
		for second := 12; second < 20; second++ {
			g.Expect(f.onTimeShare(second)).To(BeNumerically(">", 0.4), fmt.Sprint("during the overload, second ", second))
		}
		for second := 21; second < 30; second++ {
			g.Expect(f.onTimeShare(second)).To(BeNumerically(">", 0.95), fmt.Sprint("after the overload, second ", second))
		}
		g.Expect(f.longestRefusal).To(BeZero(), "requests that can't be on time are refused at once")
	})
}

// Refused requests must count in RequestedWork: it drives scaling, which would otherwise
// underestimate the need exactly when most requests are refused.
func TestRequestedWork_CountsRefusedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(2)
		var wg sync.WaitGroup
		const capacity = 2 * 1e6 / (3000 * prefillMicros)
		f.load(&wg, 0, 10, 0.5*capacity)
		before := f.scheduler.RequestedWork.Totals()["s1"]
		f.load(&wg, 10, 10, 4*capacity)
		needed := (f.scheduler.RequestedWork.Totals()["s1"] - before) / 10
		wg.Wait()
		g.Expect(needed).To(BeNumerically(">", 4*2*0.8), "four times the capacity of two engines")
	})
}

// A prompt that no engine can prefill within the objective is served late rather than
// never, if no other prompt is pending on an engine.
func TestPlace_AcceptsLongPromptOnIdleEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(2)
		var wg sync.WaitGroup
		f.load(&wg, 0, 5, 10)
		wg.Wait()
		p, err := f.scheduler.Place(context.Background(), Request{
			Service: "s1", Prompt: 60_000, Arrived: time.Now(), Target: latencyObjective, Deadline: time.Now().Add(callerTimeout),
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Expected).To(BeNumerically(">", latencyObjective))
		p.End()
	})
}

// If the estimate says that no answer can be on time, an idle engine is still used, so
// that a wrong estimate is corrected by new samples.
func TestPlace_UsesIdleEndpointDespitePessimisticEstimate(t *testing.T) {
	g := NewWithT(t)
	s := New(newTable(1, 64), slotsOf, time.Now)
	speeds := s.Speeds.Service("s1")
	for range 100 {
		speeds.RecordStart(speed.PrefillWork{Own: 1000}, 10*time.Second)
	}
	g.Expect(speeds.Estimate().TimeToFirstToken(speed.PrefillWork{Own: 1000})).To(BeNumerically(">", latencyObjective))
	r := Request{Service: "s1", Prompt: 1000, Arrived: time.Now(), Target: latencyObjective, Deadline: time.Now().Add(callerTimeout)}
	p, err := s.Place(context.Background(), r)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.Place(context.Background(), r)
	g.Expect(err).To(MatchError(ErrBusy), "no second prompt while one is pending")
	p.End()
}

// Fills the only engine with prompts until a request is refused. Its RetryAfter must be
// close to the time in which the engine prefills them.
func TestBusyError_RetryAfterMatchesBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(1)
		var wg sync.WaitGroup
		f.load(&wg, 0, 10, 8)
		wg.Wait()
		var err error
		sent := 0
		for err == nil {
			_, err = f.scheduler.Place(context.Background(), Request{
				Service: "s1", Prompt: 4000, Arrived: time.Now(), Target: latencyObjective, Deadline: time.Now().Add(callerTimeout),
			})
			sent++
		}
		g.Expect(err).To(MatchError(ErrBusy))
		var busy *BusyError
		g.Expect(errors.As(err, &busy)).To(BeTrue())
		backlog := time.Duration(sent-1) * 4000 * prefillMicros * time.Microsecond
		g.Expect(busy.RetryAfter).To(BeNumerically("~", backlog, backlog/2))
	})
}
