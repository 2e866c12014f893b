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
	// readMicros is the time in which a test's engine reads a prompt token, in microseconds.
	prefillMicros = 25
	// writeTime is how long a test's engine writes an answer.
	decodeTime = 200 * time.Millisecond
	// objective is the latency objective of a test's requests, patience how long
	// their callers wait.
	objective     = 600 * time.Millisecond
	callerTimeout = 2500 * time.Millisecond
)

// busyEngine reads one prompt after the other. A prompt whose caller has left is
// read all the same if its reading has begun.
type fakeEngine struct {
	mu     sync.Mutex
	idleAt time.Time
}

// read returns when a prompt will have been read.
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

// fleet is a scheduler before a few engines.
type fleet struct {
	scheduler *Scheduler
	list      *endpoints.Table
	engines   map[string]*fakeEngine
	random    *rand.Rand

	mu sync.Mutex
	// onTime, late and refused count the requests by the second in which they came.
	onTime, all, refused map[int]int
	// longestRefusal is the longest time after which a request was refused.
	longestRefusal time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{
		list: newTable(n, 64), engines: make(map[string]*fakeEngine), random: rand.New(rand.NewPCG(1, 2)),
		onTime: make(map[int]int), all: make(map[int]int), refused: make(map[int]int),
	}
	f.scheduler = New(f.list, slotsOf, time.Now)
	for _, e := range f.list.All() {
		f.engines[e.ID] = &fakeEngine{}
	}
	return f
}

// request asks for one answer; a refused one is asked for once more.
func (f *fleet) request(second, tokens int, arrived time.Time, again bool) {
	ctx, cancel := context.WithDeadline(context.Background(), arrived.Add(callerTimeout))
	defer cancel()
	asked := time.Now()
	p, err := f.scheduler.Place(ctx, Request{
		Service: "s1", Route: "r1", Prompt: tokens, Output: 100, EventTokens: 1,
		Arrived: arrived, Target: objective, Deadline: arrived.Add(callerTimeout),
	})
	if err != nil {
		f.locked(func() { f.refused[second]++; f.longestRefusal = max(f.longestRefusal, time.Since(asked)) })
		if !again {
			time.Sleep(200 * time.Millisecond)
			f.request(second, tokens, arrived, true)
		}
		return
	}
	defer p.End()
	begins := f.engines[p.Endpoint.ID].prefill(tokens)
	select {
	case <-ctx.Done():
		p.Abandoned()
		return
	case <-time.After(time.Until(begins)):
	}
	p.AnswerStarted()
	if time.Since(arrived) <= objective {
		f.locked(func() { f.onTime[second]++ })
	}
	time.Sleep(decodeTime)
}

func (f *fleet) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// load sends requests at a rate for some seconds.
func (f *fleet) load(wg *sync.WaitGroup, second, seconds int, perSecond float64) {
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	start := time.Now()
	for time.Now().Before(end) {
		at := second + int(time.Since(start).Seconds())
		tokens := 1000 + f.random.IntN(4000)
		f.locked(func() { f.all[at]++ })
		wg.Go(func() { f.request(at, tokens, time.Now(), false) })
		time.Sleep(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

func (f *fleet) onTimeShare(second int) float64 {
	return float64(f.onTime[second]) / float64(f.all[second])
}

// TestAnOverloadEndsWithItsCause offers twice of what four engines can read for
// some seconds, and then less than they can: the requests after it are on time at
// once, and during it the engines still work for callers that get their answers.
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
			g.Expect(f.onTimeShare(second)).To(BeNumerically(">", 0.95), fmt.Sprint("before, second ", second))
		}
		for second := 12; second < 20; second++ {
			g.Expect(f.onTimeShare(second)).To(BeNumerically(">", 0.4), fmt.Sprint("overloaded twice, second ", second))
		}
		for second := 21; second < 30; second++ {
			g.Expect(f.onTimeShare(second)).To(BeNumerically(">", 0.95), fmt.Sprint("after, second ", second))
		}
		g.Expect(f.longestRefusal).To(BeZero(), "what is known not to be on time is refused at once")
	})
}

// TestAnOverloadDoesNotHideTheDemand refuses most of what is offered: the engine
// time that is asked for tells what would be needed all the same.
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

// TestALoneLongPromptIsServed asks for more than an engine can read within the
// objective: it is served late rather than never, if nothing waits at an engine.
func TestPlace_AcceptsLongPromptOnIdleEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(2)
		var wg sync.WaitGroup
		f.load(&wg, 0, 5, 10)
		wg.Wait()
		p, err := f.scheduler.Place(context.Background(), Request{
			Service: "s1", Prompt: 60_000, Arrived: time.Now(), Target: objective, Deadline: time.Now().Add(callerTimeout),
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Expected).To(BeNumerically(">", objective))
		p.End()
	})
}

// TestAWorseEngineIsStillTried has an estimate that says that no answer is ever on
// time: an engine with nothing to do is used all the same, so that a wrong estimate
// corrects itself.
func TestPlace_UsesIdleEndpointDespitePessimisticEstimate(t *testing.T) {
	g := NewWithT(t)
	s := New(newTable(1, 64), slotsOf, time.Now)
	speeds := s.Speeds.Service("s1")
	for range 100 {
		speeds.RecordStart(speed.PrefillWork{Own: 1000}, 10*time.Second)
	}
	g.Expect(speeds.Estimate().TimeToFirstToken(speed.PrefillWork{Own: 1000})).To(BeNumerically(">", objective))
	r := Request{Service: "s1", Prompt: 1000, Arrived: time.Now(), Target: objective, Deadline: time.Now().Add(callerTimeout)}
	p, err := s.Place(context.Background(), r)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.Place(context.Background(), r)
	g.Expect(err).To(MatchError(ErrBusy), "one at a time")
	p.End()
}

// TestARefusalTellsWhenTheBacklogIsRead fills the only engine with prompts: who comes
// next is told to come back when they have been read.
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
				Service: "s1", Prompt: 4000, Arrived: time.Now(), Target: objective, Deadline: time.Now().Add(callerTimeout),
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
