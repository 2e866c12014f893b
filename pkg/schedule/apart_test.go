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
	// slowToken is the time in which a slow engine reads a prompt token.
	slowPrefillPerToken = 20 * time.Microsecond
	// slowStep and slowChunk are the times of a step of a slow engine without and with
	// a part of a prompt.
	slowStep, slowStepDuringPrefill = 10 * time.Millisecond, 50 * time.Millisecond
	// allowedPause is the longest pause between events of a test's requests.
	maxGap      = 250 * time.Millisecond
	eventTokens = 5
	longPrompt  = 12_000
	shortPrompt = 600
)

// streamOf is a request for a stream with a prompt.
func streamRequest(prompt int) Request {
	now := time.Now()
	return Request{
		Service: "s1", Route: "r1", Prompt: prompt, Output: 200, EventTokens: eventTokens, MaxEventGap: maxGap,
		Arrived: now, Target: 2 * time.Second, Deadline: now.Add(10 * time.Second),
	}
}

// slowEngines has a scheduler know engines that read and write slowly.
func learnSlowEngines(s *Scheduler, disturbed time.Duration) {
	speeds := s.Speeds.Service("s1")
	for i := range 200 {
		own := 500 + 100*i
		speeds.RecordStart(speed.PrefillWork{Own: own}, 20*time.Millisecond+time.Duration(own)*slowPrefillPerToken)
		speeds.RecordStartAlone(speed.PrefillWork{Own: own}, 20*time.Millisecond+time.Duration(own)*slowPrefillPerToken)
		speeds.RecordDisturbedDecode(disturbed)
	}
}

// used returns the endpoints on which requests with a prompt are placed.
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
		for range 200 { // the mix of the work is learnt
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
		g.Expect(s.preferredEndpoints(s.Endpoints.Service("s1"), r, est)).To(BeNil(), "a route without an allowed pause")
	})
}

// Guards against requests that are refused for the sake of others' pauses.
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

// TestBothSortsKeepEndpoints is a property: whatever the mix, each sort of requests has
// an endpoint of its own, and none is in both.
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
			t.Fatalf("%d and %d of %d endpoints", len(long), len(short), size)
		}
		for _, a := range long {
			for _, b := range short {
				if a == b {
					t.Fatalf("%s is for both", a.ID)
				}
			}
		}
	})
}

// slowFleet is a scheduler before engines whose steps take longer while they read.
type slowFleet struct {
	scheduler *Scheduler
	engines   map[string]*fakeEngine

	mu sync.Mutex
	// streams and late count the answers to short prompts, and those with too long a pause.
	streams, late int
}

// stream asks for one answer and reads its events.
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

// write writes tokens and returns the time that it took: a step takes longer while the
// engine reads a prompt.
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

// reading tells whether the engine reads a prompt.
func (e *fakeEngine) prefilling() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.idleAt.After(time.Now())
}

// Guards against short answers that are all late on slow engines, because a long prompt
// is read beside each of them. The pattern: many short requests and some long ones.
func TestPlace_KeepsShortAnswersOnTimeBesideLongPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &slowFleet{engines: make(map[string]*fakeEngine)}
		list := newTable(10, 64)
		f.scheduler = New(list, slotsOf, time.Now)
		for _, e := range list.All() {
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
		run(20) // until the times are learnt
		f.mu.Lock()
		f.streams, f.late = 0, 0
		f.mu.Unlock()
		run(30)
		wg.Wait()
		g.Expect(f.streams).To(BeNumerically(">", 300))
		g.Expect(float64(f.late) / float64(f.streams)).To(BeNumerically("<", 0.2))
	})
}
