package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/medlarsill/medlarsill/pkg/peer"
)

// rpcName is the name under which entries serve RPC to their peers.
const rpcName = "Ledger"

// askWait is the longest time that one question to another entry waits there.
const askWait = 500 * time.Millisecond

// Failures of a forwarded transition.
const (
	failureUnavailable = "unavailable"
	failureUnresolved  = "unresolved"
)

// ApplyArgs asks the owner of a shard to commit a transition.
type ApplyArgs struct {
	Op Op
}

// ApplyReply is the outcome of a forwarded transition.
type ApplyReply struct {
	Result Result
	// Failure is empty if Result holds.
	Failure string
}

// AskArgs asks for the outcome of an attempt.
type AskArgs struct {
	Attempt string
	// WaitMS is how long to wait for the attempt's end, in milliseconds.
	WaitMS int64
}

// AskReply tells the outcome of an attempt.
type AskReply struct {
	Outcome Outcome
}

// RPC is what an entry's ledger serves to its peers.
type RPC struct {
	ledger *Ledger
}

// Register adds the ledger's calls to a server for peers.
func (l *Ledger) Register(s *peer.Server) error {
	return s.Register(rpcName, &RPC{ledger: l})
}

// Apply commits a transition here.
func (r *RPC) Apply(args *ApplyArgs, reply *ApplyReply) error {
	l := r.ledger
	result, err := l.shards[l.shardOf(args.Op.Key)].submit(l.ctx, args.Op)
	switch {
	case errors.Is(err, ErrUnavailable):
		reply.Failure = failureUnavailable
	case err != nil:
		reply.Failure = failureUnresolved
	}
	reply.Result = result
	return nil
}

// Ask waits for the outcome of an attempt of this entry.
func (r *RPC) Ask(args *AskArgs, reply *AskReply) error {
	reply.Outcome = r.ledger.askLocal(r.ledger.ctx, args)
	return nil
}

// ask returns the outcome of the attempt that holds a record. It waits for it
// until the context ends, or not at all. If the holder gives no answer, a
// second question goes out over a new connection before the outcome counts as unknown.
func (l *Ledger) ask(ctx context.Context, held *Record, wait bool) Outcome {
	args := &AskArgs{Attempt: held.Attempt}
	if wait {
		args.WaitMS = askWait.Milliseconds()
	}
	failures := 0
	for ctx.Err() == nil && failures < 2 {
		outcome, err := l.askOnce(ctx, held.Holder, args)
		switch {
		case errors.Is(err, peer.ErrUnknownPeer):
			return Outcome{State: AttemptUnknown}
		case err != nil:
			failures++
		case outcome.State != AttemptRunning || !wait:
			return outcome
		default:
			failures = 0
		}
	}
	if ctx.Err() != nil {
		return Outcome{State: AttemptRunning}
	}
	return Outcome{State: AttemptUnknown}
}

func (l *Ledger) askOnce(ctx context.Context, holder string, args *AskArgs) (Outcome, error) {
	if holder == l.Self {
		return l.askLocal(ctx, args), nil
	}
	reply, err := call[AskReply](ctx, l, holder, rpcName+".Ask", args)
	if err != nil {
		return Outcome{}, err
	}
	return reply.Outcome, nil
}

func (l *Ledger) askLocal(ctx context.Context, args *AskArgs) Outcome {
	a, ok := l.attempts.get(args.Attempt)
	if !ok {
		return Outcome{State: AttemptUnknown}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(args.WaitMS)*time.Millisecond)
	defer cancel()
	return a.wait(ctx)
}
