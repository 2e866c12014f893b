// Package sharedwatch lets a few instances watch the object store for all. Each call
// to the store is paid for, and its rates grow more slowly than the fleet. In a large
// fleet the instances of the lowest ranks, the relays, watch the store and tell the
// others what they see. A follower that hears of no relay for a moment, or misses
// changes, watches the store itself, as all do in a small fleet.
package sharedwatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

const (
	// relays is the number of instances that watch the store for the others. So many
	// are hardly ever all cut off from it while the others aren't.
	relays = 4
	// minMembers is the least number of instances of a fleet in which watches are shared.
	minMembers = 24
	// aloneHold is how long the store holds a watch without changes for an instance on
	// which no other relies.
	aloneHold = 2200 * time.Millisecond
	// minHold and maxHold bound the same time for a relay: its answers tell the followers
	// that nothing has changed. They are drawn, so that the relays' answers spread.
	minHold = 400 * time.Millisecond
	maxHold = time.Second
)

// Options holds what a store is made of. All fields are needed.
type Options struct {
	// Store is the object store itself.
	Store objectstore.Store
	// Rank is this instance's place among those that are heard, from 0, Heard the number
	// of peers that are heard, and Members that of all instances.
	Rank           func() int
	ReachablePeers func() int
	Members        func() int
	// Tell sends an encoded batch to all peers. It doesn't block.
	Broadcast func(data []byte)
	Metrics   prometheus.Registerer
	Log       *slog.Logger
	Now       func() time.Time
}

// Store is an object store whose watches are shared among the instances; all other
// calls go through. It is safe for concurrent use.
type Store struct {
	objectstore.Store
	options Options
	metrics *metrics

	mu    sync.Mutex
	feeds map[string]*feed
}

var _ objectstore.Store = (*Store)(nil)

// New returns a store that shares its watches.
func New(o Options) *Store {
	return &Store{Store: o.Store, options: o, metrics: newMetrics(o.Metrics), feeds: make(map[string]*feed)}
}

// shared tells whether watches are shared: in a large fleet, at an instance that hears
// most of it. While few are heard, as after a start of all, each would take itself for a
// relay and tell all others.
func (s *Store) shared() bool {
	members := s.options.Members()
	return members >= minMembers && 2*s.options.ReachablePeers() >= members
}

// relay tells whether this instance watches for others.
func (s *Store) relay() bool { return s.shared() && s.options.Rank() < relays }

// Hold is how long the store is to hold a watch in which nothing changes.
func (s *Store) HoldTime() time.Duration {
	if s.relay() {
		return minHold + rand.N(maxHold-minHold)
	}
	return aloneHold
}

// Watch implements objectstore.Store. A follower's watch also returns, without
// objects, when the relays have confirmed for a while that nothing changed.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (objectstore.Changes, error) {
	if after != 0 && s.shared() && !s.relay() {
		return s.follow(ctx, prefix, after)
	}
	c, err := s.Store.Watch(ctx, prefix, after)
	if err == nil && after != 0 && !c.Reset && s.relay() {
		s.tell(newBatch(prefix, after, c))
	}
	return c, err
}

func (s *Store) tell(b Batch) {
	data, err := encode(b)
	if err != nil {
		s.options.Log.Error("changes not told", "prefix", b.Prefix, "error", err.Error())
		return
	}
	s.metrics.batches.WithLabelValues(eventTold).Inc()
	s.options.Broadcast(data)
}

// Heard takes a relay's batch.
func (s *Store) ReceiveBatch(data []byte) {
	b, err := decode(data)
	if err != nil {
		s.options.Log.Warn("changes of a peer ignored", "error", err.Error())
		return
	}
	s.metrics.batches.WithLabelValues(eventHeard).Inc()
	if b.Omitted {
		s.metrics.batches.WithLabelValues(eventOmitted).Inc()
	}
	s.feed(b.Prefix).add(b, s.options.Now())
}

func (s *Store) feed(prefix string) *feed {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.feeds[prefix]
	if !ok {
		f = newFeed()
		s.feeds[prefix] = f
	}
	return f
}

// follow waits for changes that relays tell, and watches the store itself where they
// are silent or tell too little.
func (s *Store) follow(ctx context.Context, prefix string, after uint64) (objectstore.Changes, error) {
	f := follower{feed: s.feed(prefix), at: after, ends: s.options.Now().Add(followTime)}
	for {
		now := s.options.Now()
		p := f.next(now)
		switch f.outcome(p, now) {
		case changed:
			s.noteSilence(f.feed, prefix, false)
			return objectstore.Changes{Objects: newest(p.objects), Version: p.to}, nil
		case unchanged:
			s.noteSilence(f.feed, prefix, false)
			return objectstore.Changes{Version: p.to}, nil
		case incomplete:
			s.metrics.direct.WithLabelValues(reasonIncomplete).Inc()
			return s.Store.Watch(ctx, prefix, p.to)
		case silent:
			s.metrics.direct.WithLabelValues(reasonSilent).Inc()
			s.noteSilence(f.feed, prefix, true)
			return s.Store.Watch(ctx, prefix, p.to)
		}
		if err := wait(ctx, p.changed, f.wake(p).Sub(now)); err != nil {
			return objectstore.Changes{}, err
		}
	}
}

// noteSilence logs when the relays fall silent or are heard again.
func (s *Store) noteSilence(f *feed, prefix string, silent bool) {
	if f.turn(silent) {
		s.options.Log.Info("shared watch", "prefix", prefix, "relays_silent", silent, "rank", s.options.Rank(), "members", s.options.Members())
	}
}
