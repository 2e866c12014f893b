package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// suspectTime is how long an entry that did not answer is not chosen as owner.
const suspectTime = 5 * time.Second

// suspects holds the entries that recently did not answer.
type suspects struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (s *suspects) add(id string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[id] = until
}

func (s *suspects) has(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[id]
	if ok && !now.Before(until) {
		delete(s.until, id)
		return false
	}
	return ok
}

// owner returns the entry that commits for a shard: the one with the highest
// rendezvous weight among this entry and the live peers that are not suspected.
// Entries may disagree about the owner; they then commit concurrently, and the
// object's version decides between them.
func (l *Ledger) owner(shard int) string {
	now := l.Now()
	key := rendezvous.Key(l.shards[shard].key)
	best, weight := l.Self, rendezvous.Weight(key, l.Self)
	for _, p := range l.Peers.All() {
		w := rendezvous.Weight(key, p.ID)
		if p.ID == l.Self || w <= weight || l.suspects.has(p.ID, now) {
			continue
		}
		best, weight = p.ID, w
	}
	return best
}

// submitResult is the result of a transition for the entry that submitted it.
type submitResult struct {
	Result
	// unresolved means that a copy of the transition may have been committed or
	// may still be.
	unresolved bool
}

// submit commits a transition through the shard's owner, or here if the owner
// can't. Both may commit it, since transitions are idempotent. ErrUnavailable is
// the only error; if unresolved is set, the transition may still be committed.
func (l *Ledger) submit(ctx context.Context, op Op) (submitResult, error) {
	n := l.shardOf(op.Key)
	owner := l.owner(n)
	unresolved := false
	if owner != l.Self {
		result, err := l.forward(ctx, owner, op)
		if err == nil {
			return submitResult{Result: result}, nil
		}
		unresolved = errors.Is(err, errUnresolved)
		l.Metrics.countFallback()
	}
	result, err := l.shards[n].submit(ctx, op)
	if err != nil {
		return submitResult{unresolved: unresolved || errors.Is(err, errUnresolved)}, ErrUnavailable
	}
	return submitResult{Result: result, unresolved: unresolved}, nil
}

// forward sends a transition to the owner of its shard.
func (l *Ledger) forward(ctx context.Context, owner string, op Op) (Result, error) {
	reply, err := call[ApplyReply](ctx, l, owner, rpcName+".Apply", &ApplyArgs{Op: op})
	switch {
	case errors.Is(err, peer.ErrUnknownPeer):
		return Result{}, ErrUnavailable
	case err != nil:
		return Result{}, errUnresolved
	case reply.Failure == failureUnavailable:
		return Result{}, ErrUnavailable
	case reply.Failure != "":
		return Result{}, errUnresolved
	}
	return reply.Result, nil
}

// call calls another entry and waits for the reply until the context ends. The
// RPC itself isn't bound to that context, whose end would close the connection
// and so fail other calls.
func call[R any](ctx context.Context, l *Ledger, id, method string, args any) (*R, error) {
	reply := new(R)
	done := make(chan error, 1)
	l.tasks.add()
	go func() {
		defer l.tasks.done()
		ctx, cancel := context.WithTimeout(l.ctx, l.ForwardTimeout)
		defer cancel()
		err := l.Caller.Call(ctx, id, method, args, reply)
		if errors.Is(err, peer.ErrNoAnswer) || errors.Is(err, peer.ErrUnreachable) {
			l.suspects.add(id, l.Now().Add(suspectTime))
		}
		done <- err
	}()
	select {
	case err := <-done:
		return reply, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
