package poison

import (
	"maps"
	"sync"
	"time"
)

const (
	// soundTime is how long a part that was answered isn't suspected of a crash.
	soundTime = time.Second
	// soundShards is the number of shards of recentlySound, a power of two.
	soundShards = 8
	// maxSoundParts is the largest number of parts in a shard.
	maxSoundParts = 512
)

// recentlySound holds the parts of which a request was answered lately, in shards.
type recentlySound [soundShards]soundShard

type soundShard struct {
	mu sync.Mutex
	at map[Part]time.Time
}

// record records that a request with a part was answered.
func (r *recentlySound) record(p Part, now time.Time) {
	s := &r[p%soundShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = make(map[Part]time.Time)
	}
	if len(s.at) >= maxSoundParts {
		maps.DeleteFunc(s.at, func(_ Part, at time.Time) bool { return now.Sub(at) > soundTime })
	}
	if len(s.at) >= maxSoundParts {
		clear(s.at)
	}
	s.at[p] = now
}

// has reports whether a request with a part was answered lately.
func (r *recentlySound) has(p Part, now time.Time) bool {
	s := &r[p%soundShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[p]
	return ok && now.Sub(at) <= soundTime
}
