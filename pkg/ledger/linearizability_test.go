package ledger

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/bubble"
)

// opOutcome is the result of a transition as its submitter received it.
type opOutcome struct {
	known   bool
	code    Code
	attempt string
}

// keyModel is the state of one key in the sequential model.
type keyModel struct {
	state                State
	attempt, fingerprint string
}

// step applies a transition to the model and returns the state after it and its outcome.
func (s keyModel) step(op Op) (keyModel, opOutcome) {
	taken := keyModel{Dispatched, op.Attempt, op.Fingerprint}
	own := s.attempt == op.Attempt
	done := func(next keyModel) (keyModel, opOutcome) { return next, opOutcome{true, Done, op.Attempt} }
	refuse := func(c Code) (keyModel, opOutcome) { return s, opOutcome{true, c, s.attempt} }
	switch {
	case op.Kind == OpClaim && s.state == 0:
		return done(taken)
	case op.Kind == OpClaim && own && s.state != Dispatched:
		return refuse(Stale)
	case op.Kind == OpClaim && (own || s.state == Released || s.state == Dispatched && s.attempt == op.Replaces):
		return done(taken)
	case op.Kind == OpClaim && s.state == Dispatched:
		return refuse(Held)
	case op.Kind == OpClaim && s.fingerprint != op.Fingerprint:
		return refuse(Mismatch)
	case op.Kind == OpClaim:
		return refuse(Replay)
	case op.Kind == OpFinish && (!own || s.state == Released):
		return refuse(Stale)
	case op.Kind == OpFinish:
		return done(keyModel{Finished, s.attempt, s.fingerprint})
	case s.state == 0, own && s.state == Dispatched:
		return done(keyModel{Released, op.Attempt, op.Fingerprint})
	case own:
		return done(s)
	}
	return refuse(Stale)
}

// ledgerModel is the sequential model. Each key is checked separately. A
// transition with an unknown outcome may or may not have taken effect.
var ledgerModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[Key][]porcupine.Operation)
		for _, o := range history {
			k := o.Input.(Op).Key
			byKey[k] = append(byKey[k], o)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{keyModel{}} },
	Step: func(state, input, output any) []any {
		s, got := state.(keyModel), output.(opOutcome)
		next, want := s.step(input.(Op))
		switch {
		case !got.known:
			return []any{s, next}
		case got.code != want.code, got.code != Done && got.attempt != want.attempt:
			return nil
		}
		return []any{next}
	},
}

// history records transitions on a logical clock.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) add(client int, op Op, called int64, out opOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := int64(math.MaxInt64)
	if out.known {
		end = h.clock.Add(1)
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: called, Output: out, Return: end})
}

// submit submits a transition to an entry and adds it to the history.
// Transitions that had no effect, and results computed from an earlier state,
// are left out. A transition that may still take effect is added without an end
// time.
func (h *history) submit(client int, l *Ledger, op Op) {
	called := h.clock.Add(1)
	result, err := l.submit(context.Background(), op)
	if err == nil && result.Code != HeldAtLastRead {
		h.add(client, op, called, opOutcome{true, result.Code, result.Record.Attempt})
	}
	if result.unresolved {
		h.add(client, op, called, opOutcome{})
	}
}

const testAttempts = 10

func drawOp(t *rapid.T) Op {
	n := rapid.IntRange(0, testAttempts-1).Draw(t, "attempt")
	op := Op{
		Kind: OpKind(rapid.IntRange(int(OpClaim), int(OpRelease)).Draw(t, "kind")),
		Key:  Key(fmt.Sprintf("k%d", n%2)), Fingerprint: fmt.Sprintf("f%d", n/4), Attempt: fmt.Sprintf("a%d", n), Holder: "a",
		Lazy: rapid.Bool().Draw(t, "lazy"),
	}
	if rapid.Bool().Draw(t, "replaces") {
		op.Replaces = fmt.Sprintf("a%d", rapid.IntRange(0, testAttempts-1).Draw(t, "replaced"))
	}
	return op
}

// attemptTracker allows only transitions that real holders make: those of one
// attempt run one after the other, and an attempt makes no claim once another
// one replaces it, since only released attempts are replaced and each claim has
// its own attempt.
type attemptTracker struct {
	mu      sync.Mutex
	busy    map[string]bool
	retired map[string]bool
}

// begin reports whether the transition may start now, and if so marks its
// attempt as busy.
func (a *attemptTracker) begin(op *Op) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.busy[op.Attempt] || op.Kind == OpClaim && a.retired[op.Attempt] {
		return false
	}
	if op.Kind != OpClaim || a.busy[op.Replaces] || op.Replaces == op.Attempt {
		op.Replaces = ""
	}
	a.busy[op.Attempt] = true
	a.retired[op.Replaces] = true
	return true
}

func (a *attemptTracker) end(op Op) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.busy, op.Attempt)
}

// TestLinearizable checks that transitions submitted to several entries are
// linearizable under pauses and faults of the store and the network.
func TestLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{}
		bubble.Run(t, func() {
			m := &simulation{cluster: newCluster(3)}
			defer func() {
				m.cluster.close()
				time.Sleep(time.Minute)
			}()
			actions := m.actions(rt)
			for _, name := range []string{"request", "request at two entries", "kill", ""} {
				delete(actions, name)
			}
			clients := 0
			tracker := &attemptTracker{busy: make(map[string]bool), retired: make(map[string]bool)}
			actions["submit"] = func(t *rapid.T) {
				if clients >= 16 {
					return
				}
				l, op := m.liveNode(t).process().ledger, drawOp(t)
				if !tracker.begin(&op) {
					return
				}
				clients++
				client := clients
				go func() {
					defer tracker.end(op)
					h.submit(client, l, op)
				}()
			}
			rt.Repeat(actions)
			synctest.Wait()
			m.cluster.clearFaults()
			time.Sleep(20 * time.Second)
		})
		h.mu.Lock()
		defer h.mu.Unlock()
		if !porcupine.CheckOperations(ledgerModel.ToModel(), h.ops) {
			rt.Fatalf("not linearizable: %+v", h.ops)
		}
	})
}
