package poison

import (
	"maps"
	"sync"
	"time"
)

const (
	// soundTime is how long a trait that was answered isn't suspected of a crash.
	soundTime = time.Second
	// soundShards is the number of shards of recentlySound, a power of two.
	soundShards = 8
	// maxSoundParts is the largest number of traits in a shard.
	maxSoundParts = 512
)

// recentlySound holds the traits of which a request was answered lately, in shards.
type recentlySound [soundShards]soundShard

type soundShard struct {
	mu sync.Mutex
	at map[Trait]time.Time
}

// record records that a request with a trait was answered.
func (r *recentlySound) record(t Trait, now time.Time) {
	s := &r[t%soundShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = make(map[Trait]time.Time)
	}
	if len(s.at) >= maxSoundParts {
		maps.DeleteFunc(s.at, func(_ Trait, at time.Time) bool { return now.Sub(at) > soundTime })
	}
	if len(s.at) >= maxSoundParts {
		clear(s.at)
	}
	s.at[t] = now
}

// has reports whether a request with a trait was answered lately.
func (r *recentlySound) has(t Trait, now time.Time) bool {
	s := &r[t%soundShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[t]
	return ok && now.Sub(at) <= soundTime
}
