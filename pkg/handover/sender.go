package handover

import (
	"context"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/peer"
)

// Times of copying.
const (
	// syncTimeout bounds one call that copies pieces to a peer, which is under
	// a millisecond away.
	syncTimeout = 200 * time.Millisecond
	// avoidTime is how long a peer that failed to answer is asked last.
	suspectTime = 2 * time.Second
)

// sender copies extensions to one peer. While a call is under way, further
// extensions gather and go together in the next one.
type sender struct {
	self string
	peer string
	call peer.Caller
	now  func() time.Time

	mu sync.Mutex
	// avoidUntil is set after a call without an answer.
	suspectedUntil time.Time
	pending        []pendingExtension
	flushing       bool
}

type pendingExtension struct {
	extension Extension
	done      chan<- syncOutcome
}

// syncOutcome is the result of one extension; err is set if the peer did not answer.
type syncOutcome struct {
	state SyncState
	err   error
}

// send copies one extension and waits for its outcome.
func (s *sender) send(ctx context.Context, e Extension) (SyncState, error) {
	done := make(chan syncOutcome, 1)
	s.mu.Lock()
	s.pending = append(s.pending, pendingExtension{extension: e, done: done})
	start := !s.flushing
	s.flushing = true
	s.mu.Unlock()
	if start {
		go s.flush()
	}
	select {
	case out := <-done:
		return out.state, out.err
	case <-ctx.Done():
		return SyncMissing, ctx.Err()
	}
}

// flush makes calls until nothing is pending.
func (s *sender) flush() {
	for {
		s.mu.Lock()
		batch := s.pending
		s.pending = nil
		s.flushing = len(batch) > 0
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		s.sync(batch)
	}
}

// observe remembers whether the peer answers.
func (s *sender) observe(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspectedUntil = time.Time{}
	if err != nil {
		s.suspectedUntil = s.now().Add(suspectTime)
	}
}

// avoided tells whether the peer has lately failed to answer. Once the time is
// over, one caller finds out whether it answers again; the others avoid it
// until then.
func (s *sender) suspected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspectedUntil.IsZero() {
		return false
	}
	now := s.now()
	if now.Before(s.suspectedUntil) {
		return true
	}
	s.suspectedUntil = now.Add(suspectTime)
	return false
}

func (s *sender) sync(batch []pendingExtension) {
	args := SyncArgs{Origin: s.self, Extensions: make([]Extension, len(batch))}
	for i, p := range batch {
		args.Extensions[i] = p.extension
	}
	var reply SyncReply
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	err := s.call.Call(ctx, s.peer, methodSync, &args, &reply)
	s.observe(err)
	for i, p := range batch {
		out := syncOutcome{state: SyncMissing, err: err}
		if err == nil && i < len(reply.States) {
			out.state = reply.States[i]
		}
		p.done <- out
	}
}
