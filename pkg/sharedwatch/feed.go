package sharedwatch

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// batchRetention is how long a batch is kept for followers that lag behind.
	batchRetention = 4 * time.Second
	// maxBatches is the largest number of batches that are kept for a prefix.
	maxBatches = 1024
)

// feed holds the batches received from the relays for one prefix. It is safe for
// concurrent use.
type feed struct {
	// receiving is true while this instance receives a response of the store.
	receiving atomic.Bool

	mu      sync.Mutex
	batches []receivedBatch
	// lastReceived is when the last batch was received.
	lastReceived time.Time
	// changed is closed when the next batch is received.
	changed chan struct{}
	// receivingSince is when a relay first told that it receives a response after receivingFrom,
	// if none has told since what it brought; zero otherwise.
	receivingSince time.Time
	receivingFrom  uint64
	// relaysUnreachable is true while followers watch the store directly because no
	// batches are received.
	relaysUnreachable bool
	// following is true while this instance follows the relays since its own calls fail.
	following bool
	// position is the one up to which the watching caller knew the changes at its last call.
	position uint64
	// known holds the large values that this instance has received.
	known *knownValues
}

// receivedBatch is a batch with the time of its receipt.
type receivedBatch struct {
	Batch
	receivedAt time.Time
}

func newFeed() *feed { return &feed{changed: make(chan struct{}), known: newKnownValues()} }

// add appends a relay's batch and wakes the waiting followers.
func (f *feed) add(b Batch, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.batches = slices.DeleteFunc(f.batches, func(t receivedBatch) bool { return now.Sub(t.receivedAt) > batchRetention })
	if len(f.batches) >= maxBatches {
		f.batches = slices.Delete(f.batches, 0, 1)
	}
	f.batches = append(f.batches, receivedBatch{Batch: b, receivedAt: now})
	f.lastReceived = now
	f.recordReceiving(b, now)
	close(f.changed)
	f.changed = make(chan struct{})
}

// recordReceiving records since when a relay is receiving a response. The caller must hold mu.
func (f *feed) recordReceiving(b Batch, now time.Time) {
	switch {
	case !b.Receiving && b.To >= f.receivingFrom:
		f.receivingSince = time.Time{}
	case b.Receiving && (f.receivingSince.IsZero() || b.To > f.receivingFrom):
		f.receivingSince, f.receivingFrom = now, b.To
	}
}

// progress holds the changes that a feed has beyond a follower's position.
type progress struct {
	// changes holds the changes since the follower's position, and position is the
	// position after them.
	changes  []change
	position uint64
	// gap is true if a later batch was received, but no changes that continue at
	// position. omitted is true if the batch that continues there was received without
	// its changes.
	gap, omitted bool
	// receivingSince is when a relay told that there may be changes beyond the position, which it
	// is receiving; zero if none has.
	receivingSince time.Time
	// lastReceived is when the last batch was received; changed is closed when the next
	// one is.
	lastReceived time.Time
	changed      <-chan struct{}
}

// after returns the changes beyond a position.
func (f *feed) after(position uint64) progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := progress{position: position, lastReceived: f.lastReceived, changed: f.changed}
	for f.advance(&p) {
	}
	if f.receivingFrom >= p.position {
		p.receivingSince = f.receivingSince
	}
	for i := range f.batches {
		p.gap = p.gap || f.batches[i].To > p.position
	}
	return p
}

// advance applies the next batch to p, or returns false if there is none. A batch may
// begin before the position: applying it again leads to the same states.
func (f *feed) advance(p *progress) bool {
	for i := range f.batches {
		b := &f.batches[i]
		if b.From > p.position || b.To <= p.position {
			continue
		}
		changes, known := b.changes()
		if !known {
			p.omitted = true
			continue
		}
		p.changes = append(p.changes, changes...)
		p.position, p.omitted = b.To, false
		return true
	}
	return false
}

// setRelaysUnreachable records whether relays are unreachable, and reports whether that
// has changed.
func (f *feed) setRelaysUnreachable(unreachable bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.relaysUnreachable != unreachable
	f.relaysUnreachable = unreachable
	return changed
}

// setFollowing records whether this instance follows the relays since its own calls fail, and
// reports whether that has changed.
func (f *feed) setFollowing(following bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.following != following
	f.following = following
	return changed
}

// setPosition records the position up to which the watching caller knows the changes. A caller
// whose last call has failed asks for the whole list, at position 0, and knows what it did
// before.
func (f *feed) setPosition(position uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if position != 0 {
		f.position = position
	}
}

// lastPosition returns the position that setPosition recorded; 0 if none.
func (f *feed) lastPosition() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}
