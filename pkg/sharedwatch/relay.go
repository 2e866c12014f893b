package sharedwatch

import (
	"context"
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// relayPatience is how long a relay waits for the response to its own watch once another
	// relay has broadcast changes: all relays are answered at about the same time.
	relayPatience = 300 * time.Millisecond
	// failedRelayTimeout is the time without a batch after which an instance whose own call has
	// failed takes the relays to be without the store too.
	failedRelayTimeout = 600 * time.Millisecond
)

// ownWatch is a call to the store beside which the relays are listened to.
type ownWatch struct {
	// done is closed at the end of the call, before which changes and err must not be read.
	done    chan struct{}
	changes objectstore.Changes
	err     error
}

// watchAsRelay watches the store and broadcasts what the watch shows. If the watch fails, or
// takes longer than those of the other relays, it returns what these broadcast.
func (s *Store) watchAsRelay(ctx context.Context, f *feed, prefix string, after uint64) (objectstore.Changes, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	own := s.startOwnWatch(callCtx, f, prefix, after)
	if p, ahead := f.awaitAhead(own.done, after, relayPatience); ahead {
		s.logFollowing(f, prefix, errOwnWatchLate)
		return s.received(ctx, f, p)
	}
	if own.err != nil {
		return s.followAfterFailure(ctx, f, prefix, own.err)
	}
	s.logFollowing(f, prefix, nil)
	if !own.changes.Reset && s.isRelay() {
		s.broadcast(newBatch(prefix, after, own.changes), f.known)
	}
	f.known.record(own.changes.Objects)
	return own.changes, nil
}

// watchBesideRelays watches the store as well as the relays, and returns what comes first.
func (s *Store) watchBesideRelays(ctx context.Context, f *feed, prefix string, after uint64) (objectstore.Changes, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	own := &ownWatch{done: make(chan struct{})}
	go func() {
		defer close(own.done)
		own.changes, own.err = s.watchDirectly(callCtx, f, prefix, after)
	}()
	if p, ahead := f.awaitAhead(own.done, after, 0); ahead {
		cancel()
		<-own.done
		if own.err != nil {
			return s.received(ctx, f, p)
		}
	}
	return own.changes, own.err
}

// startOwnWatch starts a relay's call to the store.
func (s *Store) startOwnWatch(ctx context.Context, f *feed, prefix string, after uint64) *ownWatch {
	own := &ownWatch{done: make(chan struct{})}
	receiving, received := context.WithCancel(ctx)
	onResponse := func() { go s.confirmWhileReceiving(receiving, prefix, after) }
	go func() {
		defer close(own.done)
		defer received()
		own.changes, own.err = s.watchStore(ctx, f, prefix, after, onResponse)
	}()
	return own
}

// confirmWhileReceiving tells the followers that this relay reaches the store and may know of
// changes soon, until it has received the response to its watch or the context ends.
func (s *Store) confirmWhileReceiving(ctx context.Context, prefix string, position uint64) {
	for pause := firstConfirmDelay; sleep.For(ctx, pause); pause = confirmInterval {
		s.broadcast(Batch{Prefix: prefix, From: position, To: position, Receiving: true}, nil)
	}
}

// awaitAhead waits until done is closed, or until the feed has had changes beyond a position
// for the time of patience that need no read of the store. It returns these and true in the
// latter case.
func (f *feed) awaitAhead(done <-chan struct{}, position uint64, patience time.Duration) (progress, bool) {
	var expired <-chan time.Time
	for {
		p := f.after(position)
		changed := p.changed
		if expired == nil && f.holdsAll(p.changes) {
			expired = time.After(patience)
		}
		if expired != nil {
			changed = nil
		}
		select {
		case <-done:
			return progress{}, false
		case <-expired:
			return f.after(position), true
		case <-changed:
		}
	}
}

// holdsAll reports whether there are changes, all of which can be had without a read of the
// store.
func (f *feed) holdsAll(changes []change) bool {
	return len(changes) > 0 && !slices.ContainsFunc(changes, func(c change) bool {
		if c.delta == nil {
			return c.unread
		}
		_, ok := f.known.value(c.Key)
		return !ok
	})
}

// followAfterFailure returns what the relays have broadcast since the watching caller's
// position, or the error of the failed call if they are silent or changes are missing.
func (s *Store) followAfterFailure(ctx context.Context, f *feed, prefix string, failure error) (objectstore.Changes, error) {
	position := f.lastPosition()
	if position == 0 || !s.isShared() || ctx.Err() != nil {
		return objectstore.Changes{}, failure
	}
	relays := follower{feed: f, position: position, relayTimeout: failedRelayTimeout, patience: s.receivingPatience(), deadline: s.options.Now().Add(followTimeout)}
	p, o, err := relays.wait(ctx, s.options.Now)
	if err != nil || o != outcomeChanged && o != outcomeUnchanged {
		return objectstore.Changes{}, failure
	}
	s.logFollowing(f, prefix, failure)
	return s.received(ctx, f, p)
}

// logFollowing logs when this instance begins to follow the relays since its own call has
// failed, and when its own calls succeed again (failure is nil).
func (s *Store) logFollowing(f *feed, prefix string, failure error) {
	if !f.setFollowing(failure != nil) {
		return
	}
	if failure != nil {
		s.options.Log.Warn("following the relays after a failed call", "prefix", prefix, "error", failure.Error(), "rank", s.options.Rank())
		return
	}
	s.options.Log.Info("own calls succeed again", "prefix", prefix)
}
