package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/bubble"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// endpointCase is what the endpoints do with an attempt.
type endpointCase int

const (
	endpointRuns endpointCase = iota
	endpointRefusesThenRuns
	endpointRefuses
	endpointSlow
	endpointBigAnswer
	endpointLosesAnswer
	endpointLosesRequest
	endpointCases
)

// said is what a caller was told.
type said int

const (
	saidNothing said = iota
	saidAnswer
	saidNotRun
	saidUnknown
	saidMismatch
)

// request is one call with a key.
type request struct {
	id, key, body string
	endpoint      endpointCase

	mu     sync.Mutex
	said   said
	answer string
}

func (r *request) tell(p *process, s said, answer string) {
	if !p.step() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.said, r.answer = s, answer
}

func (r *request) told() (said, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.said, r.answer
}

const requestDeadline = 3 * time.Second

// serve handles a request on an entry as the plain-service path does.
func (r *request) serve(p *process) {
	if !p.step() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	claim, err := p.ledger.Begin(ctx, NewKey("w", "s", r.key), Fingerprint([]byte(r.body)))
	switch {
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrFull):
		r.tell(p, saidNotRun, "")
	case errors.Is(err, ErrMismatch):
		r.tell(p, saidMismatch, "")
	case err != nil:
		r.tell(p, saidUnknown, "")
	case claim.Answer != nil:
		r.tell(p, saidAnswer, string(claim.Answer.Body))
	default:
		r.dispatch(p, claim.Attempt)
	}
}

func (r *request) dispatch(p *process, a *Attempt) {
	if !p.step() {
		a.MarkUnknown()
		return
	}
	answer := r.id
	switch r.endpoint {
	case endpointRefuses:
		a.Release()
		r.tell(p, saidNotRun, "")
		return
	case endpointLosesRequest:
		a.MarkUnknown()
		r.tell(p, saidUnknown, "")
		return
	case endpointRefusesThenRuns:
		if !p.step() {
			a.MarkUnknown()
			return
		}
	case endpointSlow:
		time.Sleep(requestDeadline / 2)
	case endpointBigAnswer:
		answer = r.id + fmt.Sprintf("%0*d", 2*InlineAnswerBytes, 0)
	}
	p.node.world.run(r.key, r.id)
	if !p.step() || r.endpoint == endpointLosesAnswer {
		a.MarkUnknown()
		r.tell(p, saidUnknown, "")
		return
	}
	a.Finish(&Answer{Status: 200, Body: []byte(answer)})
	r.tell(p, saidAnswer, answer)
}

// machine drives a world by random actions.
type machine struct {
	w        *world
	requests []*request
	killed   bool
	// doubtful lets endpoints lose requests and answers.
	doubtful bool
}

var testKeys = []string{"k1", "k2", "k3"}

func (m *machine) start(e *node, key, body string, c endpointCase) *request {
	r := &request{id: fmt.Sprintf("r%d", len(m.requests)), key: key, body: body, endpoint: c}
	m.requests = append(m.requests, r)
	p := e.process()
	go r.serve(p)
	return r
}

func (m *machine) node(t *rapid.T) *node {
	return m.w.entries[rapid.IntRange(0, len(m.w.entries)-1).Draw(t, "entry")]
}

func (m *machine) endpoint(t *rapid.T) endpointCase {
	last := endpointBigAnswer
	if m.doubtful {
		last = endpointCases - 1
	}
	return endpointCase(rapid.IntRange(0, int(last)).Draw(t, "endpoint"))
}

// live draws an entry and starts it if it is dead.
func (m *machine) live(t *rapid.T) *node {
	e := m.node(t)
	e.restart()
	return e
}

// actions returns the actions of one run. Each fault is left out of half of the
// runs, so that what the others alone must not break is checked too.
func (m *machine) actions(t *rapid.T) map[string]func(*rapid.T) {
	all := m.allActions()
	for _, fault := range []string{"kill", "pause", "cut", "outage", "store faults"} {
		if rapid.Bool().Draw(t, "without "+fault) {
			delete(all, fault)
		}
	}
	m.doubtful = rapid.Bool().Draw(t, "doubtful endpoints")
	return all
}

func (m *machine) allActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"request": func(t *rapid.T) {
			body := "b1"
			if rapid.IntRange(0, 9).Draw(t, "other body") == 0 {
				body = "b2"
			}
			key := rapid.SampledFrom(testKeys).Draw(t, "key")
			m.start(m.live(t), key, body, m.endpoint(t))
		},
		"request at two entries": func(t *rapid.T) {
			key := rapid.SampledFrom(testKeys).Draw(t, "key")
			m.start(m.live(t), key, "b1", endpointRuns)
			m.start(m.live(t), key, "b1", endpointRuns)
		},
		"wait":  func(*rapid.T) { synctest.Wait() },
		"sleep": func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
		"store faults": func(t *rapid.T) {
			e := m.node(t)
			n := rapid.IntRange(1, 5).Draw(t, "n")
			var f []storeFault
			for range n {
				f = append(f, storeFault(rapid.IntRange(0, int(storeFaults)-1).Draw(t, "fault")))
			}
			e.setFaults(f)
		},
		"outage":      func(t *rapid.T) { m.outage(true) },
		"outage ends": func(t *rapid.T) { m.outage(false) },
		"kill": func(t *rapid.T) {
			e := m.node(t)
			m.killed = true
			e.arm(e.kill, rapid.IntRange(1, 12).Draw(t, "steps"))
		},
		"restart": func(t *rapid.T) { m.node(t).restart() },
		"pause": func(t *rapid.T) {
			e := m.node(t)
			e.arm(e.pause, rapid.IntRange(1, 12).Draw(t, "steps"))
		},
		"resume": func(t *rapid.T) { m.node(t).resume() },
		"cut": func(t *rapid.T) {
			m.w.setCut(m.node(t).id, m.node(t).id, rapid.Bool().Draw(t, "cut"))
		},
		"": func(t *rapid.T) { m.check(t) },
	}
}

func (m *machine) outage(on bool) {
	for _, e := range m.w.entries {
		e.setOutage(on)
	}
}

// check is the oracle.
func (m *machine) check(t *rapid.T) {
	for _, k := range testKeys {
		if ran := m.w.ran(k); len(ran) > 1 {
			t.Fatalf("key %s ran %d times: %v", k, len(ran), ran)
		}
	}
	for _, r := range m.requests {
		m.checkRequest(t, r)
	}
}

func (m *machine) checkRequest(t *rapid.T, r *request) {
	s, answer := r.told()
	ran := m.w.ran(r.key)
	own := len(ran) == 1 && ran[0] == r.id
	switch s {
	case saidNotRun, saidMismatch:
		if own {
			t.Fatalf("%s was told that it was not run, but it ran", r.id)
		}
	case saidAnswer:
		if len(ran) != 1 || len(answer) < len(ran[0]) || answer[:len(ran[0])] != ran[0] {
			t.Fatalf("%s got answer %q, runs of the key: %v", r.id, answer, ran)
		}
		for _, other := range m.requests {
			if s, a := other.told(); other.key == r.key && s == saidAnswer && a != answer {
				t.Fatalf("%s and %s got different answers", r.id, other.id)
			}
		}
	}
}

// finish ends all faults and repeats each key: without a kill or an endpoint
// that leaves doubt, the work must be run or answered.
func (m *machine) finish(t *rapid.T) {
	synctest.Wait()
	m.w.heal()
	time.Sleep(20 * time.Second)
	m.check(t)
	for _, k := range testKeys {
		r := m.start(m.node(t), k, "b1", endpointRuns)
		time.Sleep(2 * requestDeadline)
		m.check(t)
		s, _ := r.told()
		if s == saidNothing || s == saidNotRun || s == saidUnknown && !m.doubted(k) {
			t.Fatalf("after all faults %s (key %s) was told %d", r.id, k, s)
		}
	}
}

func (m *machine) doubted(key string) bool {
	for _, r := range m.requests {
		if r.key == key && (r.endpoint == endpointLosesAnswer || r.endpoint == endpointLosesRequest) {
			return true
		}
	}
	return m.killed
}

// TestAtMostOnce proves, under faults of the store and the network, kills and
// pauses at every step and races of callers, that a key runs at most once, that
// "not run" is true, and that all answers equal the first one's.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bubble.Run(t, func() {
			m := &machine{w: newWorld(3)}
			defer func() {
				m.w.close()
				time.Sleep(time.Minute)
			}()
			rt.Repeat(m.actions(rt))
			m.finish(rt)
		})
	})
}
