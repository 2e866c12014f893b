package revision

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/config"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// process is a process in the model.
type process struct {
	alive bool
	state State
	// offline is true while the process can't reach the store.
	offline bool
}

// pendingCall is a call in progress. Its start, its effect on the callee and the
// delivery of its reply are separate transitions.
type pendingCall struct {
	caller  int
	target  int // a process, fromStore or fromQuorum
	began   time.Time
	sampled bool
	// fetch is true if the configurations of the peers that answered are fetched too.
	fetch   bool
	env     *config.Envelope
	answer  Answer
	answers []Answer
	envs    []*config.Envelope
	asked   map[int]bool
}

const (
	fromStore  = -1
	fromQuorum = -2
)

// model holds the store, the processes and an operator's change. inForce is the highest
// revision that was declared in force: no process may accept work under a lower one.
type model struct {
	now     time.Time
	stored  *config.Envelope
	outage  bool
	groups  map[int]int // group sizes in the stored registrations
	procs   []*process
	blocked map[[2]int]bool
	calls   []*pendingCall
	inForce uint64
	// checksAfterChange counts the invariant checks of processes that accept work while
	// a change is in force.
	checksAfterChange int

	// The operator's view: the revision of the change, the group sizes in the listed
	// registrations, the last answers, the entries reported as gone, and the time since
	// which NoOldQuorum holds.
	change           uint64
	listed           map[int]int
	answers          map[int]Answer
	stopped          map[int]bool
	noOldQuorumSince time.Time
}

func newModel(n int) *model {
	m := &model{now: time.Unix(1000, 0), groups: map[int]int{}, blocked: map[[2]int]bool{}, stored: &config.Envelope{Revision: 1}}
	for range n {
		m.procs = append(m.procs, newProcess(m.now))
	}
	return m
}

func newProcess(now time.Time) *process {
	return &process{alive: true, state: NewState(now, true)}
}

func (m *model) reaches(a, b int) bool {
	return m.procs[a].alive && m.procs[b].alive && !m.blocked[[2]int{min(a, b), max(a, b)}]
}

func (m *model) reachesStore(i int) bool {
	return m.procs[i].alive && !m.outage && !m.procs[i].offline
}

// any draws a random process.
func (m *model) any(t *rapid.T) int {
	return rapid.IntRange(0, len(m.procs)-1).Draw(t, "process")
}

// sampleCallee performs the remote part of a call and reports whether it was answered.
func (m *model) sampleCallee(t *rapid.T, c *pendingCall) bool {
	if c.target == fromStore {
		c.env = m.stored
		return m.reachesStore(c.caller)
	}
	if !m.reaches(c.caller, c.target) {
		return false
	}
	peer := &m.procs[c.target].state
	c.answer = peer.AnswerPeer(m.now, m.procs[c.caller].state.voter())
	c.env = peer.Current()
	return true
}

// deliver applies a call's result to the process that made it.
func (m *model) deliver(c *pendingCall) {
	s := &m.procs[c.caller].state
	switch c.target {
	case fromStore:
		s.ConfirmFromStore(c.began, c.env)
	case fromQuorum:
		for _, e := range c.envs {
			if c.fetch {
				s.Apply(e)
			}
		}
		s.ConfirmFromQuorum(c.began, c.answers)
	default:
		if c.fetch {
			s.Apply(c.env)
		}
		s.ConfirmFromPeer(c.began, c.answer)
	}
}

func (m *model) removeCall(c *pendingCall) {
	for i, other := range m.calls {
		if other == c {
			m.calls = append(m.calls[:i], m.calls[i+1:]...)
			return
		}
	}
}

// beginCall starts a call of a random process.
func (m *model) beginCall(t *rapid.T, target int) {
	i := m.any(t)
	if m.procs[i].alive {
		m.calls = append(m.calls, &pendingCall{caller: i, target: target, began: m.now, fetch: rapid.Bool().Draw(t, "fetch"), asked: map[int]bool{i: true}})
	}
}

// advanceCall advances a random pending call by one part.
func (m *model) advanceCall(t *rapid.T) {
	if len(m.calls) == 0 {
		t.Skip("no call is pending")
	}
	c := rapid.SampledFrom(m.calls).Draw(t, "call")
	if c.target == fromQuorum && !rapid.Bool().Draw(t, "end") {
		m.askNextPeer(t, c)
		return
	}
	if c.target != fromQuorum && !c.sampled {
		c.sampled = true
		if !m.sampleCallee(t, c) {
			m.removeCall(c)
		}
		return
	}
	m.removeCall(c)
	m.deliver(c)
}

// callPeerNow makes a complete call between two random processes.
func (m *model) callPeerNow(t *rapid.T) {
	c := &pendingCall{caller: m.any(t), target: m.any(t), began: m.now, fetch: rapid.Bool().Draw(t, "fetch")}
	if m.sampleCallee(t, c) {
		m.deliver(c)
	}
}

// askNextPeer asks one more peer in a quorum round.
func (m *model) askNextPeer(t *rapid.T, c *pendingCall) {
	j := m.any(t)
	if c.asked[j] {
		t.Skip("peer was asked already")
	}
	c.asked[j] = true
	one := &pendingCall{caller: c.caller, target: j}
	if m.sampleCallee(t, one) {
		c.answers = append(c.answers, one.answer)
		c.envs = append(c.envs, one.env)
	}
}

// kill stops a process and drops its pending calls.
func (m *model) kill(i int) {
	m.procs[i].alive = false
	var left []*pendingCall
	for _, c := range m.calls {
		if c.caller != i {
			left = append(left, c)
		}
	}
	m.calls = left
}

// evaluateChange updates inForce from the operator's view, as Await does.
func (m *model) evaluateChange() {
	if m.listed == nil {
		return
	}
	var entries []EntryState
	for i, group := range m.listed {
		a, answered := m.answers[i]
		entries = append(entries, EntryState{ID: fmt.Sprint(i), Group: group, Answered: answered, Answer: a, Stopped: m.stopped[i]})
	}
	status := InForce(m.change, entries, 0)
	if !status.NoOldQuorum {
		return
	}
	if m.noOldQuorumSince.IsZero() {
		m.noOldQuorumSince = m.now
	}
	if InForce(m.change, entries, m.now.Sub(m.noOldQuorumSince)).InForce {
		m.inForce = max(m.inForce, m.change)
	}
}

// actions returns the transitions that rapid chooses from, and the invariant.
func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		},
		"outage":  func(t *rapid.T) { m.outage = !m.outage },
		"offline": func(t *rapid.T) { p := m.procs[m.any(t)]; p.offline = !p.offline },
		"cut": func(t *rapid.T) {
			a, b := m.any(t), m.any(t)
			k := [2]int{min(a, b), max(a, b)}
			m.blocked[k] = !m.blocked[k]
		},
		"kill": func(t *rapid.T) { m.kill(m.any(t)) },
		"restart": func(t *rapid.T) {
			i := m.any(t)
			m.kill(i)
			m.procs[i] = newProcess(m.now)
			delete(m.stopped, i)
		},
		"leave": func(t *rapid.T) {
			i := m.any(t)
			if m.reachesStore(i) && m.procs[i].state.DeregisterDelay(m.now) == 0 {
				m.kill(i)
				delete(m.groups, i)
			}
		},
		"register": func(t *rapid.T) {
			i := m.any(t)
			if m.reachesStore(i) {
				m.groups[i] = rapid.IntRange(1, 9).Draw(t, "group")
				m.procs[i].state.SetRegistration(m.now, m.groups[i])
			}
		},
		"read":    func(t *rapid.T) { m.beginCall(t, fromStore) },
		"ask":     func(t *rapid.T) { m.beginCall(t, m.any(t)) },
		"quorum":  func(t *rapid.T) { m.beginCall(t, fromQuorum) },
		"askNow":  m.callPeerNow,
		"askNow2": m.callPeerNow,
		"askNow3": m.callPeerNow,
		"step":    m.advanceCall,
		"step2":   m.advanceCall,
		"step3":   m.advanceCall,
		"write": func(t *rapid.T) {
			waiting := m.change > m.inForce
			if !m.outage && (!waiting || rapid.IntRange(0, 7).Draw(t, "again") == 0) {
				m.stored = &config.Envelope{Revision: m.stored.Revision + 1}
				m.change, m.listed, m.noOldQuorumSince = m.stored.Revision, nil, time.Time{}
			}
		},
		"list": func(t *rapid.T) {
			if m.outage || m.change == 0 || m.listed != nil {
				t.Skip("no change to list entries for")
			}
			m.listed, m.answers, m.stopped = map[int]int{}, map[int]Answer{}, map[int]bool{}
			for i, g := range m.groups {
				m.listed[i] = g
			}
		},
		"push": func(t *rapid.T) {
			i := m.any(t)
			_, listed := m.listed[i]
			if !listed || !m.procs[i].alive {
				t.Skip("process is not listed or not running")
			}
			m.procs[i].state.Apply(m.stored)
			m.answers[i] = m.procs[i].state.Answer(m.now)
		},
		"pushAll": func(t *rapid.T) {
			for i := range m.procs {
				if _, listed := m.listed[i]; listed && m.procs[i].alive && rapid.IntRange(0, 3).Draw(t, "reached") > 0 {
					m.procs[i].state.Apply(m.stored)
					m.answers[i] = m.procs[i].state.Answer(m.now)
				}
			}
		},
		"stopped": func(t *rapid.T) {
			i := m.any(t)
			if _, listed := m.listed[i]; listed && !m.procs[i].alive {
				m.stopped[i] = true
			}
		},
		"": func(t *rapid.T) {
			m.evaluateChange()
			for i, p := range m.procs {
				if p.alive && m.inForce > 0 && p.state.Fresh(m.now) {
					m.checksAfterChange++
				}
				if p.alive && p.state.Fresh(m.now) && p.state.Revision() < m.inForce {
					t.Fatalf("process %d accepts work under revision %d after revision %d was declared in force", i, p.state.Revision(), m.inForce)
				}
			}
		},
	}
}

// Once a change is declared in force, no process may accept work under an older revision.
func TestModel_NoWorkUnderOlderRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(2, 7).Draw(t, "n"))
		t.Repeat(m.actions())
	})
}

// newPeersOnlyModel returns a model in which all processes are registered and have
// confirmed, but can't reach the store, so that all further confirmations go through
// peers.
func newPeersOnlyModel(t *rapid.T, n int) *model {
	m := newModel(n)
	read := m.now.Add(time.Millisecond)
	for i, p := range m.procs {
		m.groups[i] = rapid.IntRange(1, n).Draw(t, "group")
		p.state.SetRegistration(m.now, m.groups[i])
		p.state.ConfirmFromStore(read, m.stored)
		p.offline = true
	}
	m.now = read
	return m
}

func TestModel_NoWorkUnderOlderRevisionWithoutStore(t *testing.T) {
	checks := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newPeersOnlyModel(t, rapid.IntRange(2, 6).Draw(t, "n"))
		actions := m.actions()
		for _, name := range []string{"outage", "offline", "kill", "leave"} {
			delete(actions, name)
		}
		t.Repeat(actions)
		checks += m.checksAfterChange
	})
	if checks == 0 {
		t.Fatal("no process accepted work after a change was declared in force")
	}
}
