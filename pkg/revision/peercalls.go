package revision

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/peer"
)

// Limits of calls to peers.
const (
	// callTimeout is the time limit of one call.
	callTimeout = 500 * time.Millisecond
	// callAttempts is the number of attempts per peer. After a time-out the next
	// attempt uses a new connection.
	callAttempts = 2
	// maxParallelCalls is the maximum number of concurrent calls in one round.
	maxParallelCalls = 64
)

// Caller makes calls to an address. peer.Client implements it.
type Caller interface {
	CallAddr(ctx context.Context, addr, method string, args, reply any) error
}

// Reply is one peer's answer in a round of calls.
type Reply struct {
	Peer     peer.Info
	Answered bool
	Answer   Answer
}

// PushAll sends a stored configuration to peers and returns their replies, in the order
// of the peers.
func PushAll(ctx context.Context, caller Caller, peers []peer.Info, env *config.Envelope) []Reply {
	value, err := json.Marshal(env)
	if err != nil {
		return make([]Reply, len(peers))
	}
	return callAll(peers, func(addr string, a *Answer) error {
		return call(ctx, caller, addr, methodApply, Envelope{JSON: value}, a)
	})
}

// QueryStates asks peers for their states. voter is true if the asking process is a
// voter or accepts no work itself.
func QueryStates(ctx context.Context, caller Caller, peers []peer.Info, voter bool) []Reply {
	return callAll(peers, func(addr string, a *Answer) error {
		return call(ctx, caller, addr, methodState, Question{Voter: voter}, a)
	})
}

// callAll calls f for all peers, up to maxParallelCalls at a time, and returns their
// replies in the order of the peers.
func callAll(peers []peer.Info, f func(addr string, a *Answer) error) []Reply {
	out := make([]Reply, len(peers))
	slots := make(chan struct{}, maxParallelCalls)
	var calls sync.WaitGroup
	for i, p := range peers {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			out[i].Peer = p
			out[i].Answered = f(p.Addr, &out[i].Answer) == nil
		})
	}
	calls.Wait()
	return out
}

// call calls a method of the peer at addr, with up to callAttempts attempts.
func call[R any](ctx context.Context, caller Caller, addr, method string, args any, reply *R) error {
	var err error
	for range callAttempts {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		var answer R
		err = caller.CallAddr(callCtx, addr, method, args, &answer)
		cancel()
		if err == nil {
			*reply = answer
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}
