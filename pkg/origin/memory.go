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

// add records a stream. One that is said to have begun at two builds is unknown from then on. A build
// that isn't known gives way to one that is: the instance at which the stream began has found it out.
// It reports whether that was so.
func (m *memory) add(k key, b endpoints.Build, now time.Time) (corrected bool) {
	s := &m[k%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if have, ok := s.get(k); ok {
		corrected = have == endpoints.UncertainBuild && b != have
		b = merged(have, b)
	}
	if len(s.newer) >= maxGeneration {
		s.replace(now)
	}
	s.newer[k] = b
	return corrected
}

// merged returns the build of a stream that is recorded with two builds; 0 if they contradict each
// other.
func merged(x, y endpoints.Build) endpoints.Build {
	switch {
	case x == y, y == endpoints.UncertainBuild:
		return x
	case x == endpoints.UncertainBuild:
		return y
	}
	return 0
}

// streamState is what an instance knows of a stream.
type streamState int

// The states of a stream.
const (
	streamUnknown streamState = iota
	streamKnown
	// streamUncertain means that the stream is known to have begun at a process that wasn't known.
	streamUncertain
	// streamContradictory means that two builds are known.
	streamContradictory
)

// find returns the build of a stream, which may be endpoints.UncertainBuild; 0 unless it is known.
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
	case b == endpoints.UncertainBuild:
		return b, streamUncertain
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
