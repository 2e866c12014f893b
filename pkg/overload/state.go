package overload

import (
	"sync"
	"time"
)

// expireAfter is the time for which an answer counts that tells whether an endpoint is sensitive.
const expireAfter = 30 * time.Second

// state is what is known of one process of an endpoint, with its lock.
type state struct {
	sync.Mutex
	service string
	// inherited is true if only other endpoints of its service are known to be sensitive.
	inherited bool
	// announcedAt is the time of the newest answer that announced the sensitivity, and liftedAt
	// that of the newest one that didn't; liftedAt is zero while the endpoint is sensitive.
	announcedAt, liftedAt time.Time
	// changedAt is when this instance last learned of a change.
	changedAt time.Time
	share     share
}

// sensitive reports whether the endpoint is sensitive.
func (s *state) sensitive() bool { return s.liftedAt.IsZero() }

// newestEvent returns the time of the newest answer that is known.
func (s *state) newestEvent() time.Time {
	if s.sensitive() {
		return s.announcedAt
	}
	return s.liftedAt
}

// announce records an announcement at the given time, which this instance learned of now. It
// reports whether that changed anything.
func (s *state) announce(perSecond float64, at, now time.Time) bool {
	if at.Before(s.newestEvent()) {
		return false
	}
	s.announcedAt = at
	if s.sensitive() && !s.inherited && s.share.perSecond == perSecond {
		return false
	}
	s.share.perSecond, s.inherited, s.liftedAt, s.changedAt = perSecond, false, time.Time{}, now
	return true
}

// lift records that the endpoint did not announce its sensitivity at the given time, which this
// instance learned of now. It reports whether that changed anything.
func (s *state) lift(at, now time.Time) bool {
	if !s.sensitive() || !at.After(s.announcedAt) {
		return false
	}
	s.inherited, s.liftedAt, s.changedAt = false, at, now
	return true
}

// outdated reports whether the newest answer no longer counts.
func (s *state) outdated(now time.Time) bool {
	return now.Sub(s.newestEvent()) > expireAfter
}
