package sharedwatch

import (
	"slices"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

const (
	// batchesKept is how long a batch is kept for a follower that is behind.
	batchesKept = 4 * time.Second
	// maxBatches bounds the kept batches of a prefix.
	maxBatches = 1024
)

// feed holds what the relays have told of one prefix. It is safe for concurrent use.
type feed struct {
	mu      sync.Mutex
	batches []told
	// heard is when the newest batch came.
	heard time.Time
	// changed closes with the next batch.
	changed chan struct{}
	// silent is true while a follower watches the store itself.
	silent bool
}

// told is a batch and when it came.
type told struct {
	Batch
	at time.Time
}

func newFeed() *feed { return &feed{changed: make(chan struct{})} }

// add takes a relay's batch.
func (f *feed) add(b Batch, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.batches = slices.DeleteFunc(f.batches, func(t told) bool { return now.Sub(t.at) > batchesKept })
	if len(f.batches) >= maxBatches {
		f.batches = slices.Delete(f.batches, 0, 1)
	}
	f.batches = append(f.batches, told{Batch: b, at: now})
	f.heard = now
	close(f.changed)
	f.changed = make(chan struct{})
}

// progress is what a feed tells a follower at a position.
type progress struct {
	// objects holds the changes since the position, and to is the position after them.
	objects []objectstore.Object
	to      uint64
	// behind is true if there are changes further on that don't follow, and omitted
	// if they follow but weren't told.
	behind, omitted bool
	// heard is when the newest batch came, and changed closes with the next one.
	heard   time.Time
	changed <-chan struct{}
}

// after returns what is known beyond a position.
func (f *feed) after(at uint64) progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := progress{to: at, heard: f.heard, changed: f.changed}
	for f.step(&p) {
	}
	for i := range f.batches {
		p.behind = p.behind || f.batches[i].To > p.to
	}
	return p
}

// step goes on by one batch; false if none follows. A batch that began before the
// position ends with the same states of its objects.
func (f *feed) step(p *progress) bool {
	for i := range f.batches {
		b := &f.batches[i]
		if b.From > p.to || b.To <= p.to {
			continue
		}
		if b.Omitted {
			p.omitted = true
			continue
		}
		p.objects = append(p.objects, b.objects()...)
		p.to, p.omitted = b.To, false
		return true
	}
	return false
}

// turn notes whether followers watch the store themselves, and tells whether that
// has changed.
func (f *feed) turn(silent bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.silent != silent
	f.silent = silent
	return changed
}
