package handover

import (
	"context"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/peer"
)

// Timeouts of copying.
const (
	// syncTimeout limits a Sync call to a peer. The round trip to any peer takes
	// less than a millisecond.
	syncTimeout = 200 * time.Millisecond
	// suspectTime is how long a peer is suspected after it failed to answer.
	suspectTime = 2 * time.Second
)

// sender sends extensions to one peer. Extensions that are added during a call
// are sent together in the next one.
type sender struct {
	self   string
	peer   string
	caller peer.Caller
	now    func() time.Time

	mu sync.Mutex
	// suspectedUntil is set when a call fails and cleared when one succeeds.
	suspectedUntil time.Time
	pending        []pendingExtension
	flushing       bool
}

type pendingExtension struct {
	extension Extension
	done      chan<- syncOutcome
}

// syncOutcome is the outcome of one extension; err is set if the call failed.
type syncOutcome struct {
	state SyncState
	err   error
}

// send sends one extension and waits for its outcome.
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

// flush sends the pending extensions, one batch per call, until none is left.
func (s *sender) flush() {
	for {
		s.mu.Lock()
		n := batchLen(s.pending)
		batch := s.pending[:n:n]
		s.pending = s.pending[n:]
		s.flushing = n > 0
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		s.sync(batch)
	}
}

// batchLen returns the number of extensions that are sent in one call. The peer closes connections with
// larger messages.
func batchLen(pending []pendingExtension) int {
	size := 0
	for i := range pending {
		if size >= peer.MaxBatchBytes {
			return i
		}
		size += pending[i].extension.size()
	}
	return len(pending)
}

// observe records the result of a call to the peer.
func (s *sender) observe(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspectedUntil = time.Time{}
	if err != nil {
		s.suspectedUntil = s.now().Add(suspectTime)
	}
}

// suspected reports whether the peer has recently failed to answer. Once
// suspectTime is over it returns false to one caller, whose call finds out
// whether the peer answers again, and true to the others for another suspectTime.
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
	err := s.caller.Call(ctx, s.peer, methodSync, &args, &reply)
	s.observe(err)
	for i, p := range batch {
		out := syncOutcome{state: SyncMissing, err: err}
		if err == nil && i < len(reply.States) {
			out.state = reply.States[i]
		}
		p.done <- out
	}
}
