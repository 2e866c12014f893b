package sharedwatch

import (
	"context"
	"time"
)

const (
	// staleAfter is the time without a word of any relay after which a follower watches
	// the store itself.
	staleAfter = maxHold
	// behindFor is the time that missing changes of one relay have to come from another.
	behindFor = 100 * time.Millisecond
	// followTime is the time after which a follower's watch ends without changes.
	followTime = 2 * time.Second
)

// outcome is what a follower's watch comes to.
type outcome int

// The outcomes of a follower's watch.
const (
	// pending watches go on.
	pending outcome = iota
	// changed means that relays have told of changes.
	changed
	// unchanged means that relays have confirmed that there were none.
	unchanged
	// incomplete means that relays know of changes that they didn't tell.
	incomplete
	// silent means that no relay was heard for too long.
	silent
)

// follower is one watch of an instance that relies on the relays.
type follower struct {
	feed *feed
	// at is the position up to which the changes are known, ends when the watch ends
	// without changes, and behind since when changes have been missing before others.
	at     uint64
	ends   time.Time
	behind time.Time
}

// next returns what the relays have told beyond the position.
func (f *follower) next(now time.Time) progress {
	p := f.feed.after(f.at)
	f.at = p.to
	switch {
	case !p.behind:
		f.behind = time.Time{}
	case f.behind.IsZero():
		f.behind = now
	}
	return p
}

func (f *follower) outcome(p progress, now time.Time) outcome {
	switch {
	case len(p.objects) > 0:
		return changed
	case p.omitted, !f.behind.IsZero() && !now.Before(f.behind.Add(behindFor)):
		return incomplete
	case !now.Before(p.heard.Add(staleAfter)):
		return silent
	case !now.Before(f.ends):
		return unchanged
	}
	return pending
}

// wake is when the outcome may change though nothing is heard.
func (f *follower) wake(p progress) time.Time {
	at := earliest(f.ends, p.heard.Add(staleAfter))
	if !f.behind.IsZero() {
		at = earliest(at, f.behind.Add(behindFor))
	}
	return at
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// wait returns when a channel closes or a time has passed; the error is the context's.
func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}
