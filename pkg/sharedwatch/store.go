// Package sharedwatch lets a few instances watch the object store for all. Each call
// to the store costs money, and the permitted call rates grow more slowly than the fleet.
// In a large fleet the instances with the lowest ranks, the relays, watch the store and
// broadcast the changes to the others, the followers. A follower that receives nothing
// from the relays, misses changes or waits long for them, watches the store directly, as all instances do in
// a small fleet. A relay whose own calls fail or last follows the other relays.
package sharedwatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// relayCount is the number of relays. With this many, they are hardly ever all cut
	// off from the store while the followers aren't.
	relayCount = 4
	// minMembers is the size of the smallest fleet in which watches are shared.
	minMembers = 2 * relayCount
	// startupTime is the time after the start in which watches wait until it is known whether
	// they are shared: the members are read and heard in that time.
	startupTime = 2 * time.Second
	// startupCheckInterval is the time between two such checks.
	startupCheckInterval = 50 * time.Millisecond
	// defaultHold is how long the store holds a watch without changes for an instance
	// that isn't a relay.
	defaultHold = 2200 * time.Millisecond
	// holdShare is the largest such time of a relay, whose batches confirm to the followers that
	// nothing has changed, as a share of Options.MaxDelay. shortestMaxHold and longestMaxHold
	// bound it. The time is random, minHoldShare of the largest at least, so that the relays
	// don't broadcast at the same moment.
	holdShare       = 0.5
	shortestMaxHold = time.Second
	longestMaxHold  = 2 * time.Second
	minHoldShare    = 0.4
	// receivingShare is the time in which a relay must have received a response, as a share of
	// Options.MaxDelay, and minReceivingPatience bounds it from below. Followers that read the
	// changes themselves then need as much time again.
	receivingShare       = 1.0 / 3
	minReceivingPatience = 500 * time.Millisecond
	// relayPause is the longest time between two watches of a relay: after changes its caller
	// waits for further ones.
	relayPause = 250 * time.Millisecond
	// A relay that takes longer than firstConfirmDelay to receive a response confirms every
	// confirmInterval that it reaches the store.
	firstConfirmDelay = 30 * time.Millisecond
	confirmInterval   = 300 * time.Millisecond
)

// errOwnWatchLate stands in log lines for a relay's watch that is unanswered while another relay
// has broadcast changes.
var errOwnWatchLate = eris.New("sharedwatch: own watch is later than those of other relays")

// Options configures a Store. All fields but Confirmed are required.
type Options struct {
	// Store is the underlying object store.
	Store objectstore.Store
	// Rank returns this instance's position, from 0, among the reachable instances,
	// ReachablePeers the number of reachable peers, and Members that of all instances.
	Rank           func() int
	ReachablePeers func() int
	Members        func() int
	// MaxDelay is the longest time until a change must be known to all instances.
	MaxDelay time.Duration
	// Broadcast sends an encoded batch to all peers. It doesn't block.
	Broadcast func(data []byte)
	// Confirmed is called, at most every minConfirmInterval, with a time up to which the watching
	// caller knows all changes under a prefix, while relays confirm that there are no others. It
	// may be nil.
	Confirmed func(prefix string, at time.Time)
	Metrics   prometheus.Registerer
	Log       *slog.Logger
	Now       func() time.Time
}

// Store is an object store whose watches are shared among the instances. All other
// calls go to the underlying store. It is safe for concurrent use, but only one caller may
// watch each prefix.
type Store struct {
	objectstore.Store
	options Options
	metrics *metrics

	startedAt time.Time

	mu    sync.Mutex
	feeds map[string]*feed
}

var _ objectstore.Store = (*Store)(nil)

// New returns a store that shares its watches.
func New(o Options) *Store {
	return &Store{Store: o.Store, options: o, metrics: newMetrics(o.Metrics), startedAt: o.Now(), feeds: make(map[string]*feed)}
}

// isShared reports whether watches are shared: the fleet is large, and at least half of
// it is reachable. While few peers are reachable, as after a start of all instances,
// each instance would rank among the first and act as a relay.
func (s *Store) isShared() bool {
	members := s.options.Members()
	return members >= minMembers && 2*s.options.ReachablePeers() >= members
}

// isRelay reports whether this instance is a relay.
func (s *Store) isRelay() bool { return s.isShared() && s.options.Rank() < relayCount }

// HoldTime returns how long the store should hold a watch without changes.
func (s *Store) HoldTime() time.Duration {
	if s.isRelay() {
		shortest := time.Duration(minHoldShare * float64(s.maxHold()))
		return shortest + rand.N(s.maxHold()-shortest)
	}
	return defaultHold
}

// maxHold returns the longest time for which the store should hold a relay's watch. Followers
// that receive nothing from any relay for this time and relayPause watch the store directly.
func (s *Store) maxHold() time.Duration {
	return min(max(shortestMaxHold, time.Duration(holdShare*float64(s.options.MaxDelay))), longestMaxHold)
}

// receivingPatience returns the time in which a relay must have received a response.
func (s *Store) receivingPatience() time.Duration {
	return max(minReceivingPatience, time.Duration(receivingShare*float64(s.options.MaxDelay)))
}

// Watch implements objectstore.Store. A follower's watch also returns, without objects,
// when the relays have confirmed for followTimeout that nothing changed.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (objectstore.Changes, error) {
	f := s.feed(prefix)
	f.setPosition(after)
	if after != 0 {
		s.awaitMembers(ctx)
	}
	if after != 0 && s.isShared() && !s.isRelay() {
		return s.follow(ctx, f, prefix, after)
	}
	if after != 0 && s.isRelay() {
		return s.watchAsRelay(ctx, f, prefix, after)
	}
	return s.watchDirectly(ctx, f, prefix, after)
}

// awaitMembers waits, for a time after the start, while this instance knows no other member or
// is about to share its watches with those of a large fleet.
func (s *Store) awaitMembers(ctx context.Context) {
	for s.options.Now().Sub(s.startedAt) < startupTime && !s.isShared() {
		members := s.options.Members()
		if members > 1 && members < minMembers {
			return
		}
		if !sleep.For(ctx, startupCheckInterval) {
			return
		}
	}
}

// watchDirectly watches the store without the relays. If that fails, it goes on with what they
// broadcast.
func (s *Store) watchDirectly(ctx context.Context, f *feed, prefix string, after uint64) (objectstore.Changes, error) {
	c, err := s.watchStore(ctx, f, prefix, after, func() {})
	if err != nil {
		return s.followAfterFailure(ctx, f, prefix, err)
	}
	s.logFollowing(f, prefix, nil)
	f.known.record(c.Objects)
	return c, nil
}

// watchStore makes a watch of the underlying store. It calls began when the response has begun.
func (s *Store) watchStore(ctx context.Context, f *feed, prefix string, after uint64, began func()) (objectstore.Changes, error) {
	defer f.receiving.Store(false)
	onResponse := func() {
		f.receiving.Store(true)
		began()
	}
	return s.Store.Watch(objectstore.WithOnResponse(ctx, onResponse), prefix, after)
}

// broadcast sends a batch to all peers.
func (s *Store) broadcast(b Batch, known *knownValues) {
	data, err := encode(b, known)
	if err != nil {
		s.options.Log.Error("failed to encode batch", "prefix", b.Prefix, "error", err.Error())
		return
	}
	s.metrics.batches.WithLabelValues(eventSent).Inc()
	s.options.Broadcast(data)
}

// ReceiveBatch adds a relay's encoded batch to the feed of its prefix.
func (s *Store) ReceiveBatch(data []byte) {
	b, err := decode(data)
	if err != nil {
		s.options.Log.Warn("failed to decode batch from peer", "error", err.Error())
		return
	}
	s.metrics.batches.WithLabelValues(eventReceived).Inc()
	if b.Omitted && b.Compact == nil {
		s.metrics.batches.WithLabelValues(eventOmitted).Inc()
	}
	s.feed(b.Prefix).add(b, s.options.Now())
}

// feed returns the feed of a prefix, which it creates if necessary.
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

// follow waits for changes from the relays. It watches the store directly if the relays
// are unreachable or changes are missing.
func (s *Store) follow(ctx context.Context, f *feed, prefix string, after uint64) (objectstore.Changes, error) {
	relays := follower{feed: f, position: after, relayTimeout: s.maxHold() + relayPause, patience: s.receivingPatience(), deadline: s.options.Now().Add(followTimeout)}
	relays.confirmed = func(at time.Time) { s.confirm(prefix, at) }
	p, o, err := relays.wait(ctx, s.options.Now)
	if err != nil {
		return objectstore.Changes{}, err
	}
	switch o {
	case outcomeIncomplete:
		s.metrics.direct.WithLabelValues(reasonIncomplete).Inc()
		return s.watchDirectly(ctx, f, prefix, p.position)
	case outcomeRelaysLate:
		s.metrics.direct.WithLabelValues(reasonLate).Inc()
		s.options.Log.Info("relays receive changes slowly; reading them from the store", "prefix", prefix, "position", p.position, "rank", s.options.Rank())
		return s.watchBesideRelays(ctx, f, prefix, p.position)
	case outcomeRelaysUnreachable:
		s.metrics.direct.WithLabelValues(reasonUnreachable).Inc()
		s.logRelayState(f, prefix, true)
		return s.watchDirectly(ctx, f, prefix, p.position)
	}
	s.logRelayState(f, prefix, false)
	return s.received(ctx, f, p)
}

// confirm tells the watching caller up to when it knows all changes under a prefix.
func (s *Store) confirm(prefix string, at time.Time) {
	if s.options.Confirmed != nil {
		s.options.Confirmed(prefix, at)
	}
}

// received returns the changes that a feed has beyond a position.
func (s *Store) received(ctx context.Context, f *feed, p progress) (objectstore.Changes, error) {
	objects, err := s.resolve(ctx, f.known, p.changes)
	return objectstore.Changes{Objects: objects, Version: p.position}, err
}

// logRelayState logs when the relays become unreachable or reachable again.
func (s *Store) logRelayState(f *feed, prefix string, unreachable bool) {
	if f.setRelaysUnreachable(unreachable) {
		s.options.Log.Info("reachability of relays changed", "prefix", prefix, "relays_silent", unreachable, "rank", s.options.Rank(), "members", s.options.Members())
	}
}
