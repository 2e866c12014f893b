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
	cut     map[[2]int]bool
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
	w := &model{now: time.Unix(1000, 0), groups: map[int]int{}, cut: map[[2]int]bool{}, stored: &config.Envelope{Revision: 1}}
	for range n {
		w.procs = append(w.procs, newProcess(w.now))
	}
	return w
}

func newProcess(now time.Time) *process {
	return &process{alive: true, state: NewState(now, true)}
}

func (w *model) reaches(a, b int) bool {
	return w.procs[a].alive && w.procs[b].alive && !w.cut[[2]int{min(a, b), max(a, b)}]
}

func (w *model) reachesStore(i int) bool {
	return w.procs[i].alive && !w.outage && !w.procs[i].offline
}

// any draws a random process.
func (w *model) any(t *rapid.T) int {
	return rapid.IntRange(0, len(w.procs)-1).Draw(t, "process")
}

// sampleCallee performs the remote part of a call and reports whether it was answered.
func (w *model) sampleCallee(t *rapid.T, c *pendingCall) bool {
	if c.target == fromStore {
		c.env = w.stored
		return w.reachesStore(c.caller)
	}
	if !w.reaches(c.caller, c.target) {
		return false
	}
	peer := &w.procs[c.target].state
	c.answer = peer.AnswerPeer(w.now, w.procs[c.caller].state.voter())
	c.env = peer.Current()
	return true
}

// deliver applies a call's result to the process that made it.
func (w *model) deliver(c *pendingCall) {
	s := &w.procs[c.caller].state
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

func (w *model) removeCall(c *pendingCall) {
	for i, other := range w.calls {
		if other == c {
			w.calls = append(w.calls[:i], w.calls[i+1:]...)
			return
		}
	}
}

// beginCall starts a call of a random process.
func (w *model) beginCall(t *rapid.T, target int) {
	i := w.any(t)
	if w.procs[i].alive {
		w.calls = append(w.calls, &pendingCall{caller: i, target: target, began: w.now, fetch: rapid.Bool().Draw(t, "fetch"), asked: map[int]bool{i: true}})
	}
}

// advanceCall advances a random pending call by one part.
func (w *model) advanceCall(t *rapid.T) {
	if len(w.calls) == 0 {
		t.Skip("no call")
	}
	c := rapid.SampledFrom(w.calls).Draw(t, "call")
	if c.target == fromQuorum && !rapid.Bool().Draw(t, "end") {
		w.askNextPeer(t, c)
		return
	}
	if c.target != fromQuorum && !c.sampled {
		c.sampled = true
		if !w.sampleCallee(t, c) {
			w.removeCall(c)
		}
		return
	}
	w.removeCall(c)
	w.deliver(c)
}

// callPeerNow makes a complete call between two random processes.
func (w *model) callPeerNow(t *rapid.T) {
	c := &pendingCall{caller: w.any(t), target: w.any(t), began: w.now, fetch: rapid.Bool().Draw(t, "fetch")}
	if w.sampleCallee(t, c) {
		w.deliver(c)
	}
}

// askNextPeer asks one more peer in a quorum round.
func (w *model) askNextPeer(t *rapid.T, c *pendingCall) {
	j := w.any(t)
	if c.asked[j] {
		t.Skip("asked already")
	}
	c.asked[j] = true
	one := &pendingCall{caller: c.caller, target: j}
	if w.sampleCallee(t, one) {
		c.answers = append(c.answers, one.answer)
		c.envs = append(c.envs, one.env)
	}
}

// kill stops a process and drops its pending calls.
func (w *model) kill(i int) {
	w.procs[i].alive = false
	var left []*pendingCall
	for _, c := range w.calls {
		if c.caller != i {
			left = append(left, c)
		}
	}
	w.calls = left
}

// evaluateChange updates inForce from the operator's view, as Await does.
func (w *model) evaluateChange() {
	if w.listed == nil {
		return
	}
	var entries []EntryState
	for i, group := range w.listed {
		a, answered := w.answers[i]
		entries = append(entries, EntryState{ID: fmt.Sprint(i), Group: group, Answered: answered, Answer: a, Stopped: w.stopped[i]})
	}
	v := InForce(w.change, entries, 0)
	if !v.NoOldQuorum {
		return
	}
	if w.noOldQuorumSince.IsZero() {
		w.noOldQuorumSince = w.now
	}
	if InForce(w.change, entries, w.now.Sub(w.noOldQuorumSince)).InForce {
		w.inForce = max(w.inForce, w.change)
	}
}

// actions returns the transitions that rapid chooses from, and the invariant.
func (w *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		},
		"outage":  func(t *rapid.T) { w.outage = !w.outage },
		"offline": func(t *rapid.T) { p := w.procs[w.any(t)]; p.offline = !p.offline },
		"cut": func(t *rapid.T) {
			a, b := w.any(t), w.any(t)
			k := [2]int{min(a, b), max(a, b)}
			w.cut[k] = !w.cut[k]
		},
		"kill": func(t *rapid.T) { w.kill(w.any(t)) },
		"restart": func(t *rapid.T) {
			i := w.any(t)
			w.kill(i)
			w.procs[i] = newProcess(w.now)
			delete(w.stopped, i)
		},
		"leave": func(t *rapid.T) {
			i := w.any(t)
			if w.reachesStore(i) && w.procs[i].state.DeregisterDelay(w.now) == 0 {
				w.kill(i)
				delete(w.groups, i)
			}
		},
		"register": func(t *rapid.T) {
			i := w.any(t)
			if w.reachesStore(i) {
				w.groups[i] = rapid.IntRange(1, 9).Draw(t, "group")
				w.procs[i].state.SetRegistration(w.now, w.groups[i])
			}
		},
		"read":    func(t *rapid.T) { w.beginCall(t, fromStore) },
		"ask":     func(t *rapid.T) { w.beginCall(t, w.any(t)) },
		"quorum":  func(t *rapid.T) { w.beginCall(t, fromQuorum) },
		"askNow":  w.callPeerNow,
		"askNow2": w.callPeerNow,
		"askNow3": w.callPeerNow,
		"step":    w.advanceCall,
		"step2":   w.advanceCall,
		"step3":   w.advanceCall,
		"write": func(t *rapid.T) {
			waiting := w.change > w.inForce
			if !w.outage && (!waiting || rapid.IntRange(0, 7).Draw(t, "again") == 0) {
				w.stored = &config.Envelope{Revision: w.stored.Revision + 1}
				w.change, w.listed, w.noOldQuorumSince = w.stored.Revision, nil, time.Time{}
			}
		},
		"list": func(t *rapid.T) {
			if w.outage || w.change == 0 || w.listed != nil {
				t.Skip("nothing to list")
			}
			w.listed, w.answers, w.stopped = map[int]int{}, map[int]Answer{}, map[int]bool{}
			for i, g := range w.groups {
				w.listed[i] = g
			}
		},
		"push": func(t *rapid.T) {
			i := w.any(t)
			_, listed := w.listed[i]
			if !listed || !w.procs[i].alive {
				t.Skip("not listed")
			}
			w.procs[i].state.Apply(w.stored)
			w.answers[i] = w.procs[i].state.Answer(w.now)
		},
		"pushAll": func(t *rapid.T) {
			for i := range w.procs {
				if _, listed := w.listed[i]; listed && w.procs[i].alive && rapid.IntRange(0, 3).Draw(t, "reached") > 0 {
					w.procs[i].state.Apply(w.stored)
					w.answers[i] = w.procs[i].state.Answer(w.now)
				}
			}
		},
		"stopped": func(t *rapid.T) {
			i := w.any(t)
			if _, listed := w.listed[i]; listed && !w.procs[i].alive {
				w.stopped[i] = true
			}
		},
		"": func(t *rapid.T) {
			w.evaluateChange()
			for i, p := range w.procs {
				if p.alive && w.inForce > 0 && p.state.Fresh(w.now) {
					w.checksAfterChange++
				}
				if p.alive && p.state.Fresh(w.now) && p.state.Revision() < w.inForce {
					t.Fatalf("process %d accepts work under revision %d after revision %d was declared in force", i, p.state.Revision(), w.inForce)
				}
			}
		},
	}
}

// Once a change is declared in force, no process may accept work under an older revision.
func TestModel_NoWorkUnderOlderRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(rapid.IntRange(2, 7).Draw(t, "n"))
		t.Repeat(w.actions())
	})
}

// newPeersOnlyModel returns a model in which all processes are registered and have
// confirmed, but can't reach the store, so that all further confirmations go through
// peers.
func newPeersOnlyModel(t *rapid.T, n int) *model {
	w := newModel(n)
	read := w.now.Add(time.Millisecond)
	for i, p := range w.procs {
		w.groups[i] = rapid.IntRange(1, n).Draw(t, "group")
		p.state.SetRegistration(w.now, w.groups[i])
		p.state.ConfirmFromStore(read, w.stored)
		p.offline = true
	}
	w.now = read
	return w
}

func TestModel_NoWorkUnderOlderRevisionWithoutStore(t *testing.T) {
	checks := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newPeersOnlyModel(t, rapid.IntRange(2, 6).Draw(t, "n"))
		actions := w.actions()
		for _, name := range []string{"outage", "offline", "kill", "leave"} {
			delete(actions, name)
		}
		t.Repeat(actions)
		checks += w.checksAfterChange
	})
	if checks == 0 {
		t.Fatal("no process accepted work after a change was declared in force")
	}
}
