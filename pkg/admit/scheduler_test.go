package admit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/config"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

var t0 = time.Unix(1000, 0)

func requestOf(name string, weight, priority int, deadline time.Time) *Request {
	return &Request{
		Workspace: &config.Workspace{Name: name, Weight: weight, DataCentres: []string{"a"}},
		Deadline:  deadline, Priority: priority,
	}
}

// model drives the scheduler of a single entry and counts its requests independently.
type model struct {
	s        *scheduler
	now      time.Time
	capacity int
	running  []*ticket
	waiting  []*ticket
}

// settle updates the model for started and refused tickets and checks the limits and the
// order of the starts.
func (m *model) settle(t *rapid.T, before int) {
	var waiting, started []*ticket
	for _, k := range m.waiting {
		switch {
		case k.refusal != nil:
		case !k.started.IsZero():
			started = append(started, k)
		default:
			waiting = append(waiting, k)
		}
	}
	m.waiting = waiting
	m.running = append(m.running, started...)
	if len(m.running) > before && len(m.running) > m.capacity {
		t.Fatalf("%d requests run on %d slots", len(m.running), m.capacity)
	}
	for _, k := range started {
		m.checkOrder(t, k)
	}
	if len(m.running) < m.capacity && len(m.waiting) > 0 {
		t.Fatalf("%d requests wait while %d of %d slots are in use", len(m.waiting), len(m.running), m.capacity)
	}
}

// checkOrder checks that no waiting request should have started before a started one.
func (m *model) checkOrder(t *rapid.T, k *ticket) {
	for _, w := range m.waiting {
		if w.flow.key.priority > k.flow.key.priority {
			t.Fatalf("priority %d started while %d waits", k.flow.key.priority, w.flow.key.priority)
		}
		if w.flow == k.flow && w.deadline.Before(k.deadline) {
			t.Fatal("a request started before one of its flow with an earlier deadline")
		}
	}
}

func (m *model) submit(t *rapid.T) {
	name := rapid.SampledFrom([]string{"giant", "small", "tags"}).Draw(t, "workspace")
	r := requestOf(name, rapid.IntRange(1, 4).Draw(t, "weight"), rapid.IntRange(0, 2).Draw(t, "priority"),
		m.now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "deadline"))*time.Millisecond))
	before := len(m.running)
	k, refusal := m.s.submit(m.now, r)
	if refusal != nil && before < m.capacity {
		t.Fatalf("refused with %d of %d slots in use: %v", before, m.capacity, refusal)
	}
	if refusal != nil && refusal.RetryAfter <= 0 {
		t.Fatal("refusal without RetryAfter")
	}
	if refusal == nil {
		m.waiting = append(m.waiting, k)
	}
	m.settle(t, before)
}

func (m *model) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "finished")
	k := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	before := len(m.running)
	m.s.finish(m.now, k)
	m.settle(t, before)
}

func (m *model) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "cancelled")
	k := m.waiting[i]
	m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
	if !m.s.cancel(m.now, k) {
		t.Fatal("cancel did not find a waiting request")
	}
	m.settle(t, len(m.running))
}

func (m *model) resize(t *rapid.T) {
	m.capacity = rapid.IntRange(1, 12).Draw(t, "capacity")
	m.s.capacity = Capacity{"a": m.capacity}
	before := len(m.running)
	// The scheduler updates the limit of a flow only with its next request, as a change of
	// capacity can differ by workspace.
	for _, f := range m.s.flows {
		f.limit = float64(m.capacity)
	}
	m.s.tick(m.now)
	m.settle(t, before)
}

// Property: in any sequence of submissions, ends, cancellations and capacity changes, the
// limits and the order of the starts checked by settle hold.
func TestScheduler_KeepsLimitsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{s: newScheduler(), now: t0, capacity: 4}
		m.s.capacity, m.s.capacityKnown = Capacity{"a": 4}, true
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": m.submit, "enqueue2": m.submit, "finish": m.finish, "remove": m.cancel, "resize": m.resize,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// Property: a refused request that is retried after RetryAfter, with the same time to its
// deadline, is accepted and starts in time.
func TestScheduler_RetryAfterIsSufficient(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 10).Draw(t, "slots")
		duration := time.Duration(rapid.IntRange(100, 3000).Draw(t, "duration")) * time.Millisecond
		left := time.Duration(rapid.IntRange(100, 20000).Draw(t, "left")) * time.Millisecond
		d := newDriver(1, slots, 1)
		d.duration = func(string) time.Duration { return duration }
		d.entries[0].s.meanDuration = duration.Seconds()
		var refusal *Refusal
		for i := 0; refusal == nil && i < 3*maxWaiting; i++ {
			_, refusal = d.submit(0, requestOf("w", 1, 5, d.now.Add(left)))
		}
		if refusal == nil {
			return
		}
		// Retry one millisecond later, to allow for rounding.
		d.run(d.now.Add(refusal.RetryAfter + time.Millisecond))
		k, again := d.submit(0, requestOf("w", 1, 5, d.now.Add(left)))
		if again != nil {
			t.Fatalf("refused again after %v: %v", refusal.RetryAfter, again)
		}
		d.run(k.deadline)
		if k.started.IsZero() || k.refusal != nil {
			t.Fatal("accepted after the retry, but not started before its deadline")
		}
	})
}

func TestScheduler_RefusesWhenCapacityDrops(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler()
	s.capacity, s.capacityKnown = Capacity{"a": 8}, true
	var waiting []*ticket
	for range 16 {
		k, refusal := s.submit(t0, requestOf("w", 1, 5, t0.Add(4*time.Second)))
		g.Expect(refusal).To(BeNil())
		if k.started.IsZero() {
			waiting = append(waiting, k)
		}
	}
	g.Expect(waiting).To(HaveLen(8))
	s.capacity = Capacity{"a": 1}
	s.tick(t0)
	refused := 0
	for _, k := range waiting {
		if k.refusal != nil {
			refused++
		}
	}
	g.Expect(refused).To(BeNumerically(">=", 4), "requests that can't start in time are refused at once")
	s.capacity = Capacity{}
	_, refusal := s.submit(t0, requestOf("w", 1, 5, t0.Add(time.Second)))
	g.Expect(refusal).NotTo(BeNil())
}

func TestScheduler_LowerPriorityWaitsBehindHigher(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler()
	s.capacity, s.capacityKnown = Capacity{"a": 1}, true
	first, _ := s.submit(t0, requestOf("x", 1, 5, t0.Add(time.Minute)))
	tag, _ := s.submit(t0, requestOf("tags", 9, 1, t0.Add(10*time.Second)))
	other, _ := s.submit(t0, requestOf("small", 1, 5, t0.Add(time.Minute)))
	s.finish(t0, first)
	g.Expect(other.started.IsZero()).To(BeFalse())
	g.Expect(tag.started.IsZero()).To(BeTrue())
	s.finish(t0, other)
	g.Expect(tag.started.IsZero()).To(BeFalse())
}

func TestScheduler_ToleratesOutOfOrderTimestamps(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler()
	s.capacity, s.capacityKnown = Capacity{"a": 3}, true
	var running []*ticket
	for _, skew := range []time.Duration{0, time.Millisecond, -time.Millisecond} {
		k, refusal := s.submit(t0.Add(skew), requestOf("w", 1, 5, t0.Add(time.Minute)))
		g.Expect(refusal).To(BeNil())
		running = append(running, k)
	}
	for _, k := range running {
		s.finish(t0, k)
	}
	g.Expect(s.running).To(BeEmpty())
}
