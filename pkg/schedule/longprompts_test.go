package schedule

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/speed"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

const (
	// slowPrefillPerToken is the time in which a slow engine prefills a prompt token.
	slowPrefillPerToken = 20 * time.Microsecond
	// slowStep and slowStepDuringPrefill are the times of a decode step of a slow engine
	// without and with a concurrent prefill.
	slowStep, slowStepDuringPrefill = 10 * time.Millisecond, 50 * time.Millisecond
	// maxGap is the longest time allowed between two events.
	maxGap      = 250 * time.Millisecond
	eventTokens = 5
	longPrompt  = 12_000
	shortPrompt = 600
)

// streamRequest returns a streaming request with a prompt of the given length.
func streamRequest(prompt int) Request {
	now := time.Now()
	return Request{
		Service: "s1", Route: "r1", Prompt: prompt, Output: 200, EventTokens: eventTokens, MaxEventGap: maxGap,
		Arrived: now, Target: 2 * time.Second, Deadline: now.Add(10 * time.Second),
	}
}

// learnSlowEngines records samples of slow engines in a scheduler's speed model. disturbed
// is the time per token during prefills.
func learnSlowEngines(s *Scheduler, disturbed time.Duration) {
	speeds := s.Speeds.Service("s1")
	for i := range 200 {
		own := 500 + 100*i
		speeds.RecordStart(speed.PrefillWork{Own: own}, 20*time.Millisecond+time.Duration(own)*slowPrefillPerToken)
		speeds.RecordStartAlone(speed.PrefillWork{Own: own}, 20*time.Millisecond+time.Duration(own)*slowPrefillPerToken)
		speeds.RecordDisturbedDecode(disturbed)
	}
}

// endpointsUsed places requests one after the other and returns the endpoints used.
func endpointsUsed(g *WithT, s *Scheduler, prompt, requests int) map[string]bool {
	ids := make(map[string]bool)
	for range requests {
		p, err := s.Place(context.Background(), streamRequest(prompt))
		g.Expect(err).NotTo(HaveOccurred())
		ids[p.Endpoint.ID] = true
		p.End()
	}
	return ids
}

func TestPlace_SeparatesLongPromptsThatDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(newTable(10, 64), slotsOf, time.Now)
		learnSlowEngines(s, slowStepDuringPrefill)
		for range 200 { // until the share of long prompts is learned
			endpointsUsed(g, s, longPrompt, 1)
			endpointsUsed(g, s, shortPrompt, 1)
		}
		long, short := endpointsUsed(g, s, longPrompt, 100), endpointsUsed(g, s, shortPrompt, 100)
		for id := range long {
			g.Expect(short).NotTo(HaveKey(id))
		}
		g.Expect(long).NotTo(BeEmpty())
		g.Expect(short).NotTo(BeEmpty())
	})
}

func TestPreferredEndpoints_NilWhenPrefillDelaysNoEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(newTable(10, 64), slotsOf, time.Now)
		learnSlowEngines(s, 17*time.Millisecond)
		est := s.Speeds.Service("s1").Estimate()
		g.Expect(s.preferredEndpoints(s.Endpoints.Service("s1"), streamRequest(longPrompt), est)).To(BeNil())
		r := streamRequest(longPrompt)
		r.MaxEventGap = 0
		g.Expect(s.preferredEndpoints(s.Endpoints.Service("s1"), r, est)).To(BeNil(), "a route without a limit on the gap between events")
	})
}

// Guards against refusing a request because its preferred endpoints are full while others
// have free slots.
func TestPlace_FallsBackWhenPreferredEndpointsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(newTable(4, 2), slotsOf, time.Now)
		learnSlowEngines(s, slowStepDuringPrefill)
		endpointsUsed(g, s, shortPrompt, 200)
		for range 8 {
			_, err := s.Place(context.Background(), streamRequest(shortPrompt))
			g.Expect(err).NotTo(HaveOccurred())
		}
	})
}

// Property: for any share of long prompts, long and short prompts each have at least one
// preferred endpoint, and no endpoint is in both lists.
func TestPreferredEndpoints_PartitionsLongAndShort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 40).Draw(t, "endpoints")
		s := New(newTable(size, 64), slotsOf, time.Now)
		learnSlowEngines(s, slowStepDuringPrefill)
		m := s.workMixFor("s1")
		m.long = rapid.Float64Range(0, 1).Draw(t, "long")
		m.all = 1
		est := s.Speeds.Service("s1").Estimate()
		list := s.Endpoints.Service("s1")
		long, short := s.preferredEndpoints(list, streamRequest(longPrompt), est), s.preferredEndpoints(list, streamRequest(shortPrompt), est)
		if len(long) == 0 || len(short) == 0 || len(long)+len(short) != size {
			t.Fatalf("%d endpoints for long and %d for short prompts, of %d", len(long), len(short), size)
		}
		for _, a := range long {
			for _, b := range short {
				if a == b {
					t.Fatalf("endpoint %s is in both lists", a.ID)
				}
			}
		}
	})
}

// slowFleet is a scheduler with fake engines whose decode steps take longer during a prefill.
type slowFleet struct {
	scheduler *Scheduler
	engines   map[string]*fakeEngine

	mu sync.Mutex
	// streams counts the answers to short prompts, and late those of them with a gap
	// between events of maxGap or more.
	streams, late int
}

// stream places one request and consumes the events of its answer.
func (f *slowFleet) stream(prompt int) {
	p, err := f.scheduler.Place(context.Background(), streamRequest(prompt))
	if err != nil {
		return
	}
	defer p.End()
	engine := f.engines[p.Endpoint.ID]
	time.Sleep(time.Until(engine.prefill(prompt)))
	p.AnswerStarted()
	late := false
	for range 20 {
		late = engine.decode(eventTokens) >= maxGap || late
		p.EventsReceived(1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if prompt == shortPrompt {
		f.streams++
		if late {
			f.late++
		}
	}
}

// decode decodes tokens and returns the time that it took: a step takes longer while the
// engine prefills a prompt.
func (e *fakeEngine) decode(tokens int) time.Duration {
	start := time.Now()
	for range tokens {
		step := slowStep
		if e.prefilling() {
			step = slowStepDuringPrefill
		}
		time.Sleep(step)
	}
	return time.Since(start)
}

// prefilling reports whether the engine prefills a prompt.
func (e *fakeEngine) prefilling() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.idleAt.After(time.Now())
}

// Guards against placing long prompts on all endpoints: with many short and some long
// prompts on slow engines, the prefills would delay all answers to short prompts.
func TestPlace_KeepsShortAnswersOnTimeBesideLongPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &slowFleet{engines: make(map[string]*fakeEngine)}
		table := newTable(10, 64)
		f.scheduler = New(table, slotsOf, time.Now)
		for _, e := range table.All() {
			f.engines[e.ID] = &fakeEngine{}
		}
		random := rand.New(rand.NewPCG(9, 9))
		var wg sync.WaitGroup
		run := func(seconds int) {
			for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); {
				prompt := shortPrompt
				if random.IntN(3) == 0 {
					prompt = longPrompt
				}
				wg.Go(func() { f.stream(prompt) })
				time.Sleep(time.Duration(random.ExpFloat64() * float64(40*time.Millisecond)))
			}
		}
		run(20) // until the speeds are learned
		f.mu.Lock()
		f.streams, f.late = 0, 0
		f.mu.Unlock()
		run(30)
		wg.Wait()
		g.Expect(f.streams).To(BeNumerically(">", 300))
		g.Expect(float64(f.late) / float64(f.streams)).To(BeNumerically("<", 0.2))
	})
}
