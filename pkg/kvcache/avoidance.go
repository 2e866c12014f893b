package kvcache

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

const (
	// firstAvoidance is how long a source isn't used after a late answer. It doubles with each
	// further one up to maxAvoidance.
	firstAvoidance = 2 * time.Second
	maxAvoidance   = 30 * time.Second
	// maxLateSources is the number of sources with late answers in a row from which none of the
	// service is used: its engines don't reach each other.
	maxLateSources = 3
)

// avoidance is the time for which something isn't used after late answers. The zero value is that
// without any.
type avoidance struct {
	// lateAnswers is the number of late answers in a row, and until when the avoidance ends.
	lateAnswers int
	until       time.Time
}

// recordLate records a late answer.
func (a *avoidance) recordLate(now time.Time) {
	a.until = now.Add(min(maxAvoidance, firstAvoidance<<min(a.lateAnswers, 8)))
	a.lateAnswers++
}

func (a *avoidance) inForce(now time.Time) bool { return now.Before(a.until) }

// serviceHealth tells whether fetches between the endpoints of a service work. It is safe for
// concurrent use.
type serviceHealth struct {
	mu        sync.Mutex
	avoidance avoidance
	// lateSources is the number of different sources in a row with late answers, and lastLate the
	// newest.
	lateSources int
	lastLate    endpoints.Key
	// works is true if a fetch was ever answered in time.
	works bool
	// pending holds the unanswered fetches.
	pending []pendingFetch
}

// pendingFetch is a fetch whose answer hasn't begun.
type pendingFetch struct {
	source endpoints.Key
	// lateAt is when its answer is late, and late is true once it was recorded as such.
	lateAt time.Time
	late   bool
}

// begin records the start of a fetch.
func (s *serviceHealth) begin(f Fetch, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, pendingFetch{source: f.Source.Key(), lateAt: now.Add(f.Limit)})
}

// end records the end of a fetch.
func (s *serviceHealth) end(f Fetch, late, answered bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := s.remove(f.Source.Key())
	switch {
	case late && !ended.late:
		s.recordLate(f.Source.Key(), now)
	case !late && answered:
		s.avoidance, s.lateSources, s.lastLate, s.works = avoidance{}, 0, endpoints.Key{}, true
	}
}

// remove removes and returns the oldest pending fetch from a source; the zero value if there is none.
func (s *serviceHealth) remove(source endpoints.Key) pendingFetch {
	i := slices.IndexFunc(s.pending, func(p pendingFetch) bool { return p.source == source })
	if i < 0 {
		return pendingFetch{}
	}
	out := s.pending[i]
	s.pending = slices.Delete(s.pending, i, i+1)
	return out
}

// recordLate records that an answer is late. The caller holds the lock.
func (s *serviceHealth) recordLate(source endpoints.Key, now time.Time) {
	if !s.failing() && source == s.lastLate {
		return
	}
	s.lastLate = source
	s.lateSources++
	if s.failing() && !s.avoidance.inForce(now) {
		s.avoidance.recordLate(now)
	}
}

// failing reports whether no fetch was answered in time since so many sources were late that fetches
// were suspended.
func (s *serviceHealth) failing() bool { return s.lateSources >= maxLateSources }

// suspect reports whether no further fetch of the service begins for now. It counts overdue answers,
// as one that hangs may end much later than it is known to be late.
func (s *serviceHealth) suspect(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.pending {
		if p := &s.pending[i]; !p.late && now.After(p.lateAt) {
			p.late = true
			s.recordLate(p.source, now)
		}
	}
	return s.avoidance.inForce(now) || len(s.pending) >= s.maxPending()
}

// maxPending returns the number of fetches that may be unanswered at the same time: one after a
// suspension, and few until one was answered in time. Allowing only one there as well cost a fifth of the
// 95th percentile of the time to the first token after the start, where caches are small.
func (s *serviceHealth) maxPending() int {
	switch {
	case s.failing():
		return 1
	case !s.works:
		return maxLateSources
	}
	return math.MaxInt
}
