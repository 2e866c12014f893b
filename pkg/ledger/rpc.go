package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/medlarsill/medlarsill/pkg/peer"
)

// rpcName is the name of the ledger's RPC service.
const rpcName = "Ledger"

// askWait is how long one Ask call may wait for the end of the attempt.
const askWait = 500 * time.Millisecond

// The values of ApplyReply.Failure.
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
	// Failure is empty if Result is valid.
	Failure string
}

// AskArgs asks for the outcome of an attempt.
type AskArgs struct {
	Attempt string
	// WaitMS is how long to wait for the attempt's end, in milliseconds.
	WaitMS int64
}

// AskReply holds the outcome of an attempt.
type AskReply struct {
	Outcome Outcome
}

// RPC is the service that an entry's ledger offers to its peers.
type RPC struct {
	ledger *Ledger
}

// Register registers the ledger's RPC service with a server.
func (l *Ledger) Register(s *peer.Server) error {
	return s.Register(rpcName, &RPC{ledger: l})
}

// Apply commits a transition on this entry.
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

// ask returns the outcome of the attempt that holds a record. If wait is set, it
// waits for the end of the attempt until the context ends. If the holder does
// not answer, it is asked once more over a new connection before the outcome
// counts as unknown.
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
