package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// UnknownGrace stands for the time left of an endpoint whose stop time is unknown.
const UnknownGrace time.Duration = -1

// Limits of the propagation of leaving notices.
const (
	// leavingRetention is how long a notice is kept after the endpoint's stop time.
	leavingRetention = 10 * time.Minute
	// unknownGraceRetention is the assumed time until an endpoint with unknown stop time stops.
	unknownGraceRetention = 2 * time.Minute
	// maxLeavingBatch is the maximum number of notices in one message.
	maxLeavingBatch = 512
)

// Leaving is a notice that an endpoint is leaving, as sent between peers.
type Leaving struct {
	ID string
	// Left is the time from the sending of the message until the endpoint stops, or
	// UnknownGrace.
	Left time.Duration
}

// leavingItem is a stored notice.
type leavingItem struct {
	stopAt  time.Time
	unknown bool
}

// leavingSet holds the known leaving notices. It isn't safe for concurrent use.
type leavingSet struct {
	items map[string]leavingItem
	// digest is the XOR of the hashes of all ids.
	digest uint64
}

func newLeavingSet() *leavingSet {
	return &leavingSet{items: make(map[string]leavingItem)}
}

// add stores a notice and reports whether it is the first for its endpoint.
func (s *leavingSet) add(l Leaving, now time.Time) bool {
	if _, ok := s.items[l.ID]; ok {
		return false
	}
	item := leavingItem{stopAt: now.Add(l.Left)}
	if l.Left < 0 {
		item = leavingItem{stopAt: now.Add(unknownGraceRetention), unknown: true}
	}
	s.items[l.ID] = item
	s.digest ^= xxhash.Sum64String(l.ID)
	return true
}

// removeExpired deletes notices whose retention time is over.
func (s *leavingSet) removeExpired(now time.Time) {
	for id, item := range s.items {
		if now.Sub(item.stopAt) > leavingRetention {
			delete(s.items, id)
			s.digest ^= xxhash.Sum64String(id)
		}
	}
}

// missing returns up to maxLeavingBatch notices that are not in known, a set of
// hashes of ids. Notices past half of their retention time are left out.
func (s *leavingSet) missing(known map[uint64]struct{}, now time.Time) []Leaving {
	var out []Leaving
	for id, item := range s.items {
		_, has := known[xxhash.Sum64String(id)]
		if has || now.Sub(item.stopAt) > leavingRetention/2 || len(out) == maxLeavingBatch {
			continue
		}
		out = append(out, s.notice(id, item, now))
	}
	return out
}

// notice returns the notice to send for an item.
func (s *leavingSet) notice(id string, item leavingItem, now time.Time) Leaving {
	if item.unknown {
		return Leaving{ID: id, Left: UnknownGrace}
	}
	return Leaving{ID: id, Left: max(0, item.stopAt.Sub(now))}
}

// hashes returns the hashes of all known ids.
func (s *leavingSet) hashes() []uint64 {
	out := make([]uint64, 0, len(s.items))
	for id := range s.items {
		out = append(out, xxhash.Sum64String(id))
	}
	return out
}
