package kvcache

import (
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

const (
	// leavingMargin is the least time for which a leaving source has to stay.
	leavingMargin = 500 * time.Millisecond
	// maxLinksPerShard bounds the number of endpoints of which something is known, and linkTTL is
	// how long they are known after their last use if there are more.
	maxLinksPerShard = 1024
	linkTTL          = 2 * holdTime
)

// link is what this instance knows of an endpoint's link and cache.
type link struct {
	usedAt time.Time
	// busyUntil is when the transfers that this instance knows of are expected to be done.
	busyUntil time.Time
	// written is the number of tokens that this instance's requests have added to the cache.
	written uint64
	// leavingSince is when the endpoint was first seen to be leaving.
	leavingSince time.Time
	// pending is the number of unanswered requests that fetch from the endpoint, and overdueAt when
	// one of them should have been answered at the latest.
	pending   int
	overdueAt time.Time
	avoidance avoidance
}

// begin records a fetch from the endpoint whose answer is late after a limit.
func (l *link) begin(f Fetch, now time.Time) {
	if l.pending == 0 {
		l.overdueAt = now.Add(f.Limit)
	}
	l.pending++
}

// occupy records a transfer over the link.
func (l *link) occupy(d time.Duration, now time.Time) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(d)
}

// end records the end of a fetch from the endpoint: whether its answer was late, and whether there
// was one.
func (l *link) end(f Fetch, late, answered bool, now time.Time) {
	l.pending = max(0, l.pending-1)
	switch {
	case late:
		l.avoidance.recordLate(now)
	case answered:
		l.avoidance = avoidance{}
		l.overdueAt = now.Add(f.Limit)
	}
}

// suspect reports whether answers to requests that fetch from the endpoint are late.
func (l *link) suspect(now time.Time) bool {
	return l.avoidance.inForce(now) || l.pending > 0 && now.After(l.overdueAt)
}

// staysLongEnough reports whether an endpoint that is leaving stays for long enough to be a source.
// Its registration tells the time left when it was written, so it counts from when the endpoint
// was first seen to be leaving.
func (l *link) staysLongEnough(i endpoints.Info, now time.Time) bool {
	if !i.Leaving {
		return true
	}
	if l.leavingSince.IsZero() {
		l.leavingSince = now
	}
	return i.LeavesIn != endpoints.UnknownTime && l.leavingSince.Add(i.LeavesIn).Sub(now) >= leavingMargin
}

// links holds the links of endpoints. It is safe for concurrent use.
type links struct {
	shards [shardCount]linkShard
}

type linkShard struct {
	mu    sync.Mutex
	links map[endpoints.Key]*link
}

// with calls a function with an endpoint's link, under the lock of its shard.
func (s *links) with(e *endpoints.Endpoint, now time.Time, use func(*link)) {
	shard := &s.shards[rendezvous.Key(e.ID)%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	l := shard.get(e.Key(), now)
	l.usedAt = now
	use(l)
}

// get returns the link under a key, and adds it if necessary. The caller holds the lock.
func (s *linkShard) get(k endpoints.Key, now time.Time) *link {
	if l, ok := s.links[k]; ok {
		return l
	}
	if s.links == nil {
		s.links = make(map[endpoints.Key]*link)
	}
	if len(s.links) >= maxLinksPerShard {
		s.removeExpired(now)
	}
	l := &link{}
	if len(s.links) < maxLinksPerShard {
		s.links[k] = l
	}
	return l
}

// removeExpired removes the links that weren't used lately. The caller holds the lock.
func (s *linkShard) removeExpired(now time.Time) {
	for k, l := range s.links {
		if now.Sub(l.usedAt) > linkTTL {
			delete(s.links, k)
		}
	}
}
