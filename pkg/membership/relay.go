package membership

import (
	"context"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Parameters of the relay of leaving notices.
const (
	// relayDelay is how long notices are collected into one message.
	relayDelay = 10 * time.Millisecond
	// relayTimeout is the time limit of one call. After a time-out the next attempt
	// uses a new connection.
	relayTimeout = 200 * time.Millisecond
	// relayAttempts is the number of attempts per target.
	relayAttempts = 2
)

// leavingState holds the known leaving notices and those still to be relayed. It is
// safe for concurrent use.
type leavingState struct {
	mu      sync.Mutex
	set     *leavingSet
	pending []string
	wake    chan struct{}
	// differing is the last peer whose digest of leaving endpoints differed; zero if none.
	differing Member
}

func (l *leavingState) init() {
	l.set = newLeavingSet()
	l.wake = make(chan struct{}, 1)
}

// add stores a notice, queues it for the relay if it is new, and reports whether it is.
func (l *leavingState) add(item Leaving, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.set.add(item, now) {
		return false
	}
	l.pending = append(l.pending, item.ID)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// nextBatch removes and returns up to maxLeavingBatch notices to relay, and reports
// whether more are pending.
func (l *leavingState) nextBatch(now time.Time) ([]Leaving, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(maxLeavingBatch, len(l.pending))
	out := make([]Leaving, 0, n)
	for _, id := range l.pending[:n] {
		if item, ok := l.set.items[id]; ok {
			out = append(out, l.set.notice(id, item, now))
		}
	}
	l.pending = l.pending[n:]
	return out, len(l.pending) > 0
}

func (l *leavingState) digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set.digest
}

func (l *leavingState) removeExpired(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set.removeExpired(now)
}

func (l *leavingState) setDiffering(from Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.differing = from
}

func (l *leavingState) takeDiffering() (Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.differing
	l.differing = Member{}
	return m, m.ID != ""
}

func (l *leavingState) hashes() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set.hashes()
}

func (l *leavingState) missing(hashes []uint64, now time.Time) []Leaving {
	known := make(map[uint64]struct{}, len(hashes))
	for _, h := range hashes {
		known[h] = struct{}{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set.missing(known, now)
}

// relayLeaving relays new notices to the fan-out targets until the context ends.
func (s *Service) relayLeaving(ctx context.Context) {
	for {
		select {
		case <-s.leaving.wake:
		case <-ctx.Done():
			return
		}
		sleep.For(ctx, relayDelay)
		for more := true; more; {
			var items []Leaving
			items, more = s.leaving.nextBatch(s.Now())
			s.broadcastLeaving(ctx, items)
		}
	}
}

// broadcastLeaving starts sending notices to the fan-out targets.
func (s *Service) broadcastLeaving(ctx context.Context, items []Leaving) {
	if len(items) == 0 {
		return
	}
	s.mu.Lock()
	targets := s.machine.ring.fanOut()
	s.mu.Unlock()
	for _, to := range targets {
		s.spawn(func() { s.sendBatch(ctx, to, LeavingBatch{Items: items}) })
	}
}

// sendBatch sends notices to one peer, with up to relayAttempts attempts.
func (s *Service) sendBatch(ctx context.Context, to Member, b LeavingBatch) {
	for range relayAttempts {
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		err := s.Caller.CallAddr(callCtx, to.Addr, methodLeaving, b, &None{})
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
	}
	s.Metrics.RelayFailures.Inc()
}

// pullLeaving fetches the notices that this process lacks from a peer whose digest differs.
func (s *Service) pullLeaving(ctx context.Context, from Member) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer LeavingBatch
	if err := s.Caller.CallAddr(ctx, from.Addr, methodMissing, KnownLeaving{Hashes: s.leaving.hashes()}, &answer); err != nil {
		return
	}
	s.receiveLeaving(answer.Items)
}
