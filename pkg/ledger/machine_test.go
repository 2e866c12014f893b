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

// endpointBehaviour is how the endpoints handle an attempt.
type endpointBehaviour int

const (
	endpointRuns endpointBehaviour = iota
	endpointRefusesThenRuns
	endpointRefuses
	endpointSlow
	endpointBigAnswer
	endpointLosesAnswer
	endpointLosesRequest
	endpointBehaviourCount
)

// response is the kind of response that a caller received.
type response int

const (
	responseNone response = iota
	responseAnswer
	responseNotRun
	responseUnknown
	responseMismatch
)

// request is one request with an idempotency key.
type request struct {
	id, key, body string
	endpoint      endpointBehaviour

	mu       sync.Mutex
	response response
	answer   string
}

func (r *request) respond(p *process, s response, answer string) {
	if !p.step() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.response, r.answer = s, answer
}

func (r *request) received() (response, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.response, r.answer
}

const requestDeadline = 3 * time.Second

// serve handles the request on an entry as pkg/forward does for plain services.
func (r *request) serve(p *process) {
	if !p.step() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	claim, err := p.ledger.Begin(ctx, NewKey("w", "s", r.key), Fingerprint([]byte(r.body)))
	switch {
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrFull):
		r.respond(p, responseNotRun, "")
	case errors.Is(err, ErrMismatch):
		r.respond(p, responseMismatch, "")
	case err != nil:
		r.respond(p, responseUnknown, "")
	case claim.Answer != nil:
		r.respond(p, responseAnswer, string(claim.Answer.Body))
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
		r.respond(p, responseNotRun, "")
		return
	case endpointLosesRequest:
		a.MarkUnknown()
		r.respond(p, responseUnknown, "")
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
	p.node.cluster.recordRun(r.key, r.id)
	if !p.step() || r.endpoint == endpointLosesAnswer {
		a.MarkUnknown()
		r.respond(p, responseUnknown, "")
		return
	}
	a.Finish(&Answer{Status: 200, Body: []byte(answer)})
	r.respond(p, responseAnswer, answer)
}

// simulation runs random actions on a cluster and checks the results.
type simulation struct {
	cluster  *cluster
	requests []*request
	killed   bool
	// loseMessages lets endpoints lose requests and answers.
	loseMessages bool
}

var testKeys = []string{"k1", "k2", "k3"}

func (m *simulation) start(e *node, key, body string, behaviour endpointBehaviour) *request {
	r := &request{id: fmt.Sprintf("r%d", len(m.requests)), key: key, body: body, endpoint: behaviour}
	m.requests = append(m.requests, r)
	p := e.process()
	go r.serve(p)
	return r
}

func (m *simulation) node(t *rapid.T) *node {
	return m.cluster.entries[rapid.IntRange(0, len(m.cluster.entries)-1).Draw(t, "entry")]
}

func (m *simulation) endpoint(t *rapid.T) endpointBehaviour {
	last := endpointBigAnswer
	if m.loseMessages {
		last = endpointBehaviourCount - 1
	}
	return endpointBehaviour(rapid.IntRange(0, int(last)).Draw(t, "endpoint"))
}

// liveNode draws an entry and restarts it if it is dead.
func (m *simulation) liveNode(t *rapid.T) *node {
	e := m.node(t)
	e.restart()
	return e
}

// actions returns the actions of one run. Each kind of fault is left out of half
// of the runs, so that the other kinds are also tested without it.
func (m *simulation) actions(t *rapid.T) map[string]func(*rapid.T) {
	all := m.allActions()
	for _, fault := range []string{"kill", "pause", "cut", "outage", "store faults"} {
		if rapid.Bool().Draw(t, "without "+fault) {
			delete(all, fault)
		}
	}
	m.loseMessages = rapid.Bool().Draw(t, "endpoints lose messages")
	return all
}

func (m *simulation) allActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"request": func(t *rapid.T) {
			body := "b1"
			if rapid.IntRange(0, 9).Draw(t, "other body") == 0 {
				body = "b2"
			}
			key := rapid.SampledFrom(testKeys).Draw(t, "key")
			m.start(m.liveNode(t), key, body, m.endpoint(t))
		},
		"request at two entries": func(t *rapid.T) {
			key := rapid.SampledFrom(testKeys).Draw(t, "key")
			m.start(m.liveNode(t), key, "b1", endpointRuns)
			m.start(m.liveNode(t), key, "b1", endpointRuns)
		},
		"wait":  func(*rapid.T) { synctest.Wait() },
		"sleep": func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
		"store faults": func(t *rapid.T) {
			e := m.node(t)
			n := rapid.IntRange(1, 5).Draw(t, "n")
			var f []storeFault
			for range n {
				f = append(f, storeFault(rapid.IntRange(0, int(storeFaultCount)-1).Draw(t, "fault")))
			}
			e.setFaults(f)
		},
		"outage":      func(t *rapid.T) { m.outage(true) },
		"outage ends": func(t *rapid.T) { m.outage(false) },
		"kill": func(t *rapid.T) {
			e := m.node(t)
			m.killed = true
			e.triggerAfter(e.kill, rapid.IntRange(1, 12).Draw(t, "steps"))
		},
		"restart": func(t *rapid.T) { m.node(t).restart() },
		"pause": func(t *rapid.T) {
			e := m.node(t)
			e.triggerAfter(e.pause, rapid.IntRange(1, 12).Draw(t, "steps"))
		},
		"resume": func(t *rapid.T) { m.node(t).resume() },
		"cut": func(t *rapid.T) {
			m.cluster.setPartition(m.node(t).id, m.node(t).id, rapid.Bool().Draw(t, "cut"))
		},
		"": func(t *rapid.T) { m.check(t) },
	}
}

func (m *simulation) outage(on bool) {
	for _, e := range m.cluster.entries {
		e.setOutage(on)
	}
}

// check fails the test if a key ran twice or a response was wrong.
func (m *simulation) check(t *rapid.T) {
	for _, k := range testKeys {
		if ran := m.cluster.runsOf(k); len(ran) > 1 {
			t.Fatalf("key %s ran %d times: %v", k, len(ran), ran)
		}
	}
	for _, r := range m.requests {
		m.checkRequest(t, r)
	}
}

func (m *simulation) checkRequest(t *rapid.T, r *request) {
	s, answer := r.received()
	ran := m.cluster.runsOf(r.key)
	own := len(ran) == 1 && ran[0] == r.id
	switch s {
	case responseNotRun, responseMismatch:
		if own {
			t.Fatalf("request %s was answered as not run, but it ran", r.id)
		}
	case responseAnswer:
		if len(ran) != 1 || len(answer) < len(ran[0]) || answer[:len(ran[0])] != ran[0] {
			t.Fatalf("request %s got answer %q, runs of the key: %v", r.id, answer, ran)
		}
		for _, other := range m.requests {
			if s, a := other.received(); other.key == r.key && s == responseAnswer && a != answer {
				t.Fatalf("requests %s and %s got different answers", r.id, other.id)
			}
		}
	}
}

// checkAfterFaults ends all faults and sends another request with each key. It
// must be run or answered, unless a kill or a lost message left the outcome of
// the key's earlier requests unknown.
func (m *simulation) checkAfterFaults(t *rapid.T) {
	synctest.Wait()
	m.cluster.clearFaults()
	time.Sleep(20 * time.Second)
	m.check(t)
	for _, k := range testKeys {
		r := m.start(m.node(t), k, "b1", endpointRuns)
		time.Sleep(2 * requestDeadline)
		m.check(t)
		s, _ := r.received()
		if s == responseNone || s == responseNotRun || s == responseUnknown && !m.mayBeUnknown(k) {
			t.Fatalf("after the end of all faults, request %s (key %s) got response %d", r.id, k, s)
		}
	}
}

func (m *simulation) mayBeUnknown(key string) bool {
	for _, r := range m.requests {
		if r.key == key && (r.endpoint == endpointLosesAnswer || r.endpoint == endpointLosesRequest) {
			return true
		}
	}
	return m.killed
}

// TestAtMostOnce checks that a key runs at most once, that requests answered as
// not run did not run, and that all answers for a key are equal. Faults are
// those of the store and the network, kills and pauses at any step, and
// concurrent callers.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bubble.Run(t, func() {
			m := &simulation{cluster: newCluster(3)}
			defer func() {
				m.cluster.close()
				time.Sleep(time.Minute)
			}()
			rt.Repeat(m.actions(rt))
			m.checkAfterFaults(rt)
		})
	})
}
