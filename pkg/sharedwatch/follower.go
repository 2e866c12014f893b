package sharedwatch

import (
	"context"
	"time"

	"github.com/medlarsill/medlarsill/pkg/elapsed"
)

const (
	// gapTimeout is how long a follower waits for another relay to send the batch that is
	// missing in a gap.
	gapTimeout = 100 * time.Millisecond
	// followTimeout is the time after which a follower's watch returns without changes.
	followTimeout = 2 * time.Second
	// minConfirmInterval is the least time between two times that are told to be confirmed.
	minConfirmInterval = 200 * time.Millisecond
	// deliveryTime is the longest time that passes from a relay's response of the store until its
	// batch is received.
	deliveryTime = 250 * time.Millisecond
	// maxClockDrift is the largest difference between the clocks over a wait that is not due to a
	// suspension or a step of a clock.
	maxClockDrift = 50 * time.Millisecond
)

// outcome is the result of a follower's watch.
type outcome int

// The outcomes of a follower's watch.
const (
	// outcomePending means that the watch continues.
	outcomePending outcome = iota
	// outcomeChanged means that relays have sent changes.
	outcomeChanged
	// outcomeUnchanged means that relays have confirmed that nothing changed.
	outcomeUnchanged
	// outcomeIncomplete means that changes are missing from the received batches.
	outcomeIncomplete
	// outcomeRelaysUnreachable means that no batch was received for relayTimeout.
	outcomeRelaysUnreachable
	// outcomeRelaysLate means that a relay has been receiving a response for longer than the
	// follower's patience.
	outcomeRelaysLate
)

// follower is the state of one watch at an instance that relies on the relays.
type follower struct {
	feed *feed
	// position is the position up to which the changes are known. At the deadline the
	// watch returns without changes. gapSince is when a gap was noticed; zero if none.
	position uint64
	deadline time.Time
	// relayTimeout is the time without a batch of any relay after which the follower
	// watches the store directly.
	relayTimeout time.Duration
	// patience is the time in which a relay must have received a response.
	patience time.Duration
	gapSince time.Time
	// confirmed is called with times up to which all changes are known; nil for none. confirmedAt
	// is the last of them.
	confirmed   func(at time.Time)
	confirmedAt time.Time
}

// advance moves the position to the end of the received batches and returns their
// changes.
func (f *follower) advance(now time.Time) progress {
	p := f.feed.after(f.position)
	f.position = p.position
	switch {
	case !p.gap:
		f.gapSince = time.Time{}
	case f.gapSince.IsZero():
		f.gapSince = now
	}
	return p
}

// outcome returns the result of the watch at the time now.
func (f *follower) outcome(p progress, now time.Time) outcome {
	switch {
	case len(p.changes) > 0:
		return outcomeChanged
	case p.omitted, !f.gapSince.IsZero() && !now.Before(f.gapSince.Add(gapTimeout)):
		return outcomeIncomplete
	case !now.Before(p.lastReceived.Add(f.relayTimeout)):
		return outcomeRelaysUnreachable
	case !p.receivingSince.IsZero() && !now.Before(p.receivingSince.Add(f.patience)):
		return outcomeRelaysLate
	case !now.Before(f.deadline):
		return outcomeUnchanged
	}
	return outcomePending
}

// nextCheck returns when the outcome may change without another batch.
func (f *follower) nextCheck(p progress) time.Time {
	at := earliest(f.deadline, p.lastReceived.Add(f.relayTimeout))
	if !f.gapSince.IsZero() {
		at = earliest(at, f.gapSince.Add(gapTimeout))
	}
	if !p.receivingSince.IsZero() {
		at = earliest(at, p.receivingSince.Add(f.patience))
	}
	return at
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// wait returns the first outcome of the watch other than outcomePending, and the progress until
// then.
func (f *follower) wait(ctx context.Context, clock func() time.Time) (progress, outcome, error) {
	for {
		now := clock()
		p := f.advance(now)
		if o := f.outcome(p, now); o != outcomePending {
			return p, o, nil
		}
		if err := waitForChange(ctx, p.changed, f.nextCheck(p).Sub(now)); err != nil {
			return p, outcomePending, err
		}
		f.confirm(now, clock())
	}
}

// confirm tells up to when all changes are known after a wait, unless a batch may have waited while
// the process was suspended, or one beyond the position was received.
func (f *follower) confirm(began, ended time.Time) {
	p := f.feed.after(f.position)
	at := p.lastReceived.Add(-deliveryTime)
	suspended := elapsed.Between(began, ended)-ended.Sub(began) > maxClockDrift
	if f.confirmed == nil || suspended || p.gap || len(p.changes) > 0 || at.Sub(f.confirmedAt) < minConfirmInterval {
		return
	}
	f.confirmedAt = at
	f.confirmed(at)
}

// waitForChange waits until the channel is closed, the time has passed or the context
// ends. It returns the context's error.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}
