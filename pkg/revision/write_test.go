package revision

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

// registerInput is a read or write of the configuration.
type registerInput struct {
	write    bool
	expected uint64
	id       string
}

// registerOutput is the state of the register, and the result of an operation. conflict
// and unknown are set for writes only.
type registerOutput struct {
	revision uint64
	id       string
	conflict bool
	unknown  bool
}

// registerModel is the sequential specification of the configuration as a register. A
// write with an unknown outcome may or may not take effect.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerOutput{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(registerOutput), input.(registerInput), output.(registerOutput)
		next := registerOutput{revision: in.expected + 1, id: in.id}
		matches := s.revision == in.expected
		switch {
		case !in.write && s != out, out.conflict && matches:
			return nil
		case !in.write, out.conflict, out.unknown && !matches:
			return []any{s}
		case out.unknown:
			return []any{s, next}
		case matches:
			return []any{next}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// history records the operations of concurrent clients on a logical clock.
type history struct {
	mu    sync.Mutex
	clock atomic.Int64
	ops   []porcupine.Operation
}

func (h *history) record(client int, in registerInput, f func() registerOutput) {
	call := h.clock.Add(1)
	out := f()
	h.mu.Lock()
	defer h.mu.Unlock()
	op := porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: h.clock.Add(1)}
	if out.unknown {
		// The write may take effect at any later time, or never.
		op.Return = 1 << 60
	}
	h.ops = append(h.ops, op)
}

func TestReadWrite_Linearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			store := memstore.New()
			rng := &lockedRand{r: rand.New(rand.NewPCG(seed, 1))}
			store.SetHook(func(op memstore.Op, _ string) memstore.Fault { return rng.fault(op) })
			h := &history{}
			var clients sync.WaitGroup
			for c := range 4 {
				clients.Go(func() { runClient(t.Context(), h, store, rng, c) })
			}
			clients.Wait()
			store.SetHook(nil)
			if !porcupine.CheckOperations(registerModel.ToModel(), h.ops) {
				t.Errorf("history isn't linearizable, seed %d: %+v", seed, h.ops)
			}
		})
	})
}

// runClient reads the configuration and writes it with the revision that it read, six times.
func runClient(ctx context.Context, h *history, store *memstore.Store, rng *lockedRand, c int) {
	known := uint64(0)
	for k := range 6 {
		time.Sleep(rng.duration(100 * time.Millisecond))
		if e, _, err := Read(ctx, store); err == nil {
			known = revisionOf(e)
		}
		h.record(c, registerInput{}, func() registerOutput {
			for {
				if e, _, err := Read(ctx, store); err == nil {
					out := registerOutput{revision: revisionOf(e)}
					if e != nil {
						out.id = e.WriteID
					}
					return out
				}
				time.Sleep(rng.duration(10 * time.Millisecond))
			}
		})
		in := registerInput{write: true, expected: known, id: fmt.Sprintf("%d-%d", c, k)}
		h.record(c, in, func() registerOutput { return runWrite(ctx, store, in, rng) })
	}
}

func runWrite(ctx context.Context, store *memstore.Store, in registerInput, rng *lockedRand) registerOutput {
	ctx, cancel := context.WithTimeout(ctx, rng.duration(400*time.Millisecond))
	defer cancel()
	err := Write(ctx, store, in.expected, &config.Envelope{WriteID: in.id})
	var conflict *ConflictError
	switch {
	case err == nil:
		return registerOutput{}
	case errors.As(err, &conflict):
		return registerOutput{conflict: true}
	}
	return registerOutput{unknown: true}
}

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) duration(limit time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.r.Int64N(int64(limit)))
}

// fault draws the fault to inject into a call of the store.
func (l *lockedRand) fault(op memstore.Op) memstore.Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.r.Float64()
	write := op == memstore.OpCreate || op == memstore.OpUpdate
	switch {
	case p < 0.15:
		return memstore.FaultUnavailable
	case write && p < 0.35:
		return memstore.FaultLostAnswer
	case write && p < 0.45:
		return memstore.FaultLostRequest
	}
	return memstore.FaultNone
}
