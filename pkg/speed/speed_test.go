package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

const tolerance = 0.15

// clock is a fake clock.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// engine draws random samples of an engine with known speeds: prompts of very different
// lengths, some of them queued behind others, with 20% noise and a few outliers.
type engine struct {
	random *rand.Rand
	// base is in milliseconds, prefill in milliseconds per 1,000 tokens, missRate the share
	// of shared tokens that isn't cached; step and perRequest, the time that each running
	// request adds to it, are in milliseconds.
	base, prefill, missRate, step, perRequest float64
}

func (e *engine) length(mean float64) int {
	return int(mean * math.Exp(e.random.NormFloat64()-0.5))
}

func (e *engine) noise() float64 {
	if e.random.Float64() < 0.03 {
		return 8
	}
	return math.Exp(0.2 * e.random.NormFloat64())
}

func (e *engine) recordStart(s *Service) {
	w := PrefillWork{Own: e.length(2000), Shared: e.length(3000)}
	if e.random.Float64() < 0.4 {
		w.Ahead = e.length(4000)
	}
	ms := e.base + e.prefill/tokensPerUnit*(float64(w.Own+w.Ahead)+e.missRate*float64(w.Shared))
	took := duration(ms * e.noise())
	s.RecordStart(w, took)
	if w.Ahead == 0 {
		s.RecordStartAlone(w, took)
	}
}

func (e *engine) recordDecode(s *Service) {
	running := e.random.IntN(30)
	s.RecordDecode(running, duration((e.step+e.perRequest*float64(running))*e.noise()))
}

func newEngine(seed uint64, prefillMS float64) *engine {
	return &engine{random: rand.New(rand.NewPCG(seed, 1)), base: prefillMS, prefill: prefillMS, missRate: 0.3, step: prefillMS / 4, perRequest: prefillMS / 400}
}

// expectEstimate compares the estimate with the true speeds of the engine: the time to
// first token, the prefill time of one prompt, and the time of a decode step.
func expectEstimate(g Gomega, s *Service, e *engine, label string) {
	est := s.Estimate()
	usual := PrefillWork{Own: 3000, Shared: 3000, Ahead: 2000}
	truth := e.base + e.prefill*(3+2+3*e.missRate)
	g.Expect(millis(est.TimeToFirstToken(usual))).To(BeNumerically("~", truth, tolerance*truth), label+": time to first token")
	work := e.prefill * (3 + 3*e.missRate)
	g.Expect(millis(est.PrefillTime(3000, 3000))).To(BeNumerically("~", work, tolerance*work), label+": prefill time")
	step := e.step + 15*e.perRequest
	g.Expect(millis(est.StepTime(15))).To(BeNumerically("~", step, tolerance*step), label+": step time")
}

// The engines' prefill times differ by a factor of 30.
func TestService_LearnsEngineSpeed(t *testing.T) {
	for i, prefillMS := range []float64{2, 4, 8, 16, 32, 60} {
		t.Run(fmt.Sprint(prefillMS), func(t *testing.T) {
			g := NewWithT(t)
			c := &clock{time.Unix(0, 0)}
			s := New(c.Now).Service("s1")
			e := newEngine(uint64(i), prefillMS)
			for range 200 {
				c.now = c.now.Add(20 * time.Millisecond)
				e.recordStart(s)
				e.recordDecode(s)
			}
			g.Expect(s.Estimate().Known).To(BeTrue())
			expectEstimate(g, s, e, "estimate")
		})
	}
}

// All engines are replaced by ones of another speed, as with a new engine version or
// other machines.
func TestService_AdaptsToChangedEngines(t *testing.T) {
	for i, factor := range []float64{0.1, 0.33, 2, 5, 20} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			g := NewWithT(t)
			c := &clock{time.Unix(0, 0)}
			s := New(c.Now).Service("s1")
			before, after := newEngine(uint64(i), 10), newEngine(uint64(i+10), 10*factor)
			for _, e := range []*engine{before, after} {
				for range 200 {
					c.now = c.now.Add(20 * time.Millisecond)
					e.recordStart(s)
					e.recordDecode(s)
				}
			}
			expectEstimate(g, s, after, "after the change")
		})
	}
}

// Nine instances with a few samples each send their summaries to one without samples.
func TestModel_MergesPeerSummaries(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(0, 0)}
	e := newEngine(3, 25)
	newcomer := New(c.Now)
	for i := range 9 {
		m := New(c.Now)
		for range 30 {
			e.recordStart(m.Service("s1"))
			e.recordDecode(m.Service("s1"))
		}
		newcomer.Merge(fmt.Sprint("peer", i), m.OwnSummaries())
	}
	g.Expect(newcomer.Service("s1").Estimate().Known).To(BeTrue())
	expectEstimate(g, newcomer.Service("s1"), e, "from peers")
	g.Expect(newcomer.OwnSummaries()).To(BeEmpty(), "summaries of peers are not passed on as own ones")

	stored := newcomer.PooledSummaries()
	restored := New(c.Now)
	restored.Merge("stored", stored)
	expectEstimate(g, restored.Service("s1"), e, "from the store")
	c.now = c.now.Add(2 * peerTTL)
	for range solveInterval {
		e.recordStart(restored.Service("s1"))
	}
	expectEstimate(g, restored.Service("s1"), e, "after the peers' samples have expired")
}

func TestModel_IgnoresInvalidPeerSummaries(t *testing.T) {
	g := NewWithT(t)
	m := New(time.Now)
	before := *m.Service("s1").Estimate()
	nan := float32(math.NaN())
	bad := make([]float32, fullLength)
	bad[3] = nan
	negative := make([]float32, fullLength)
	negative[0] = -5
	for i, prefill := range [][]float32{nil, {1}, bad, negative} {
		m.Merge(fmt.Sprint(i), map[string]Summary{"s1": {Prefill: prefill, Decode: []float32{nan, 0, 0, 0, 0, 1}, Calls: []float32{1}}})
	}
	g.Expect(*m.Service("s1").Estimate()).To(Equal(before))
}

// Property: for any samples, estimates are finite, not negative, and grow with the work.
func TestEstimate_StaysFiniteAndMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{time.Unix(0, 0)}
		s := New(c.Now).Service("s1")
		tokens := rapid.IntRange(0, 1_000_000)
		took := rapid.Int64Range(int64(-time.Minute), int64(time.Hour))
		for range rapid.IntRange(0, 120).Draw(t, "samples") {
			c.now = c.now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "step")))
			w := PrefillWork{Own: tokens.Draw(t, "own"), Shared: tokens.Draw(t, "shared"), Ahead: tokens.Draw(t, "ahead")}
			d := time.Duration(took.Draw(t, "took"))
			s.RecordStart(w, d)
			s.RecordStartAlone(w, d)
			s.RecordAbandoned(w, d)
			s.RecordDecode(rapid.IntRange(0, 1000).Draw(t, "running"), d)
			s.RecordCall(rapid.IntRange(0, 1000).Draw(t, "calls"), d)
		}
		est := s.Estimate()
		short, long := est.TimeToFirstToken(PrefillWork{Own: 100}), est.TimeToFirstToken(PrefillWork{Own: 10_000, Shared: 100, Ahead: 100})
		if short < 0 || long < short || long > 10*time.Minute {
			t.Fatalf("time to first token of a short prompt %v, of a long one %v", short, long)
		}
		if est.StepTime(1) <= 0 || est.CallTime(0) <= 0 || est.CacheMissRate() < 0 || est.CacheMissRate() > 1 {
			t.Fatalf("step time %v, call time %v, cache miss rate %v", est.StepTime(1), est.CallTime(0), est.CacheMissRate())
		}
	})
}

func TestService_LearnsMeanOutputByRoute(t *testing.T) {
	g := NewWithT(t)
	s := New(time.Now).Service("s1")
	_, known := s.MeanOutput("r1")
	g.Expect(known).To(BeFalse())
	for i := range 300 {
		s.RecordOutput("r1", 100+i%2*100)
		s.RecordOutput("r2", 10)
	}
	mean, known := s.MeanOutput("r1")
	g.Expect(known).To(BeTrue())
	g.Expect(mean).To(BeNumerically("~", 150, 5))
	for i := range 2 * maxRoutes {
		s.RecordOutput(fmt.Sprint(i), 1)
	}
	g.Expect(len(s.outputs)).To(BeNumerically("<=", maxRoutes))
}

// If all callers disconnect before a slow engine answers, there are no start times. The
// engine must still be recognised as slow.
func TestService_LearnsFromAbandonedRequests(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(0, 0)}
	s := New(c.Now).Service("s1")
	w := PrefillWork{Own: 5000}
	for range 60 {
		c.now = c.now.Add(50 * time.Millisecond)
		s.RecordAbandoned(w, 2*time.Second)
		s.RecordAbandoned(w, time.Millisecond) // disconnected at once: must be ignored
	}
	g.Expect(s.Estimate().TimeToFirstToken(w)).To(BeNumerically(">", 1500*time.Millisecond))
}

func TestService_RecordStartDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	s := New(time.Now).Service("s1")
	w := PrefillWork{Own: 3000, Shared: 1000, Ahead: 500}
	allocs := testing.AllocsPerRun(1000, func() { s.RecordStart(w, 80*time.Millisecond) })
	g.Expect(allocs).To(BeNumerically("<", 1))
}

func BenchmarkRecordStart(b *testing.B) {
	s := New(time.Now).Service("s1")
	w := PrefillWork{Own: 3000, Shared: 1000, Ahead: 500}
	for b.Loop() {
		s.RecordStart(w, 80*time.Millisecond)
	}
}
