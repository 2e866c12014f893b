package kvmove

import (
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

const (
	// linkShards is the number of locks for the links of endpoints.
	linkShards = 16
	// maxLinksPerShard is the number of links from which those that are no longer occupied are removed.
	maxLinksPerShard = 256
)

// links holds until when the links of endpoints are occupied by transfers that this instance has
// caused. Transfers over a link run one after another. It is safe for concurrent use.
type links struct {
	shards [linkShards]linkShard
}

type linkShard struct {
	mu        sync.Mutex
	busyUntil map[endpoints.Key]time.Time
}

func (l *links) shard(k endpoints.Key) *linkShard {
	return &l.shards[rendezvous.Key(k.ID)%linkShards]
}

// busy returns how long a link is occupied.
func (l *links) busy(k endpoints.Key, now time.Time) time.Duration {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.busyUntil[k].Sub(now))
}

// occupy adds a transfer to a link, and returns the time until it can begin.
func (l *links) occupy(k endpoints.Key, transfer time.Duration, now time.Time) time.Duration {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busyUntil == nil {
		s.busyUntil = make(map[endpoints.Key]time.Time)
	}
	if len(s.busyUntil) >= maxLinksPerShard {
		s.removeFree(now)
	}
	wait := max(0, s.busyUntil[k].Sub(now))
	s.busyUntil[k] = now.Add(wait + transfer)
	return wait
}

// removeFree removes the links that aren't occupied. The caller holds the lock.
func (s *linkShard) removeFree(now time.Time) {
	for k, until := range s.busyUntil {
		if !until.After(now) {
			delete(s.busyUntil, k)
		}
	}
}
