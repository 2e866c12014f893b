package origin

import (
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

const (
	// generationTime is how long a generation takes up streams. One is kept for as long after
	// that, so that a stream is known for at least this time.
	generationTime = 2 * time.Minute
	// shards is the number of shards of the memory, a power of two, and maxGeneration the
	// largest number of streams in one generation of a shard.
	shards        = 16
	maxGeneration = 2048
)

// memory holds the streams that an instance knows, in shards.
type memory [shards]memoryShard

// memoryShard holds two generations of streams. When the newer one is old or full, it takes
// the older one's place. A build of 0 stands for a stream of which two are known.
type memoryShard struct {
	mu           sync.Mutex
	newer, older map[key]endpoints.Build
	since        time.Time
}

// add records a stream. One that is said to have begun at two builds is unknown from then on.
func (m *memory) add(k key, b endpoints.Build, now time.Time) {
	s := &m[k%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if have, ok := s.get(k); ok && have != b {
		b = 0
	}
	if len(s.newer) >= maxGeneration {
		s.replace(now)
	}
	s.newer[k] = b
}

// streamState is what an instance knows of a stream.
type streamState int

// The states of a stream.
const (
	streamUnknown streamState = iota
	streamKnown
	// streamContradictory means that two builds are known.
	streamContradictory
)

// find returns the build of a stream; 0 unless it is known.
func (m *memory) find(k key, now time.Time) (endpoints.Build, streamState) {
	s := &m[k%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	b, ok := s.get(k)
	switch {
	case !ok:
		return 0, streamUnknown
	case b == 0:
		return 0, streamContradictory
	}
	return b, streamKnown
}

func (s *memoryShard) get(k key) (endpoints.Build, bool) {
	if b, ok := s.newer[k]; ok {
		return b, true
	}
	b, ok := s.older[k]
	return b, ok
}

// rotate begins a new generation if the newer one is old. The caller must hold mu.
func (s *memoryShard) rotate(now time.Time) {
	if s.newer == nil || now.Sub(s.since) >= generationTime {
		s.replace(now)
	}
}

// replace begins a new generation. The caller must hold mu.
func (s *memoryShard) replace(now time.Time) {
	s.older, s.newer, s.since = s.newer, make(map[key]endpoints.Build), now
}
