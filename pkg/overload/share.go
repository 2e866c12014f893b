package overload

import (
	"sync/atomic"
	"time"
)

const (
	// growthShare is the part of the refusals that an endpoint withstands that may be caused
	// by requests beyond the instances' own parts, and retryShare that by requests which are
	// sent again into a part of which one was refused.
	growthShare = 0.3
	retryShare  = 0.3
	// refusalShare is the part of the refusals that an endpoint withstands that all instances
	// together may cause in the refusalWindow.
	refusalShare  = 0.8
	refusalWindow = time.Second
	// endpointsPerInstance is the least number of endpoints, on average, that an instance sends
	// requests to, so that few instances have none.
	endpointsPerInstance = 4
	// minPerSecond is the number of refusals a second that is assumed where an endpoint
	// withstands fewer, for the time until a refused part is tried again.
	minPerSecond = 0.5
	// maxHold bounds that time.
	maxHold = 10 * time.Second
	// forgetAfter is the time after which a ceiling no longer matters.
	forgetAfter = 30 * time.Second
	// wantedTime is the time for which an instance tells its peers that they are in its part.
	wantedTime = 500 * time.Millisecond
	// idleShare is the share of an endpoint's slots up to which it counts as idle, idleHold the
	// time without a refusal that this takes, and idleInterval that between two requests to
	// idle endpoints.
	idleShare    = 0.25
	idleHold     = 30 * time.Second
	idleInterval = 200 * time.Millisecond
)

// view is what an instance knows at one time of the endpoint and of its own position.
type view struct {
	now time.Time
	// slots is the number of requests that the endpoint runs at once; 0 if unknown.
	slots int
	// own is the number of this instance's requests on the endpoint, and total that of all
	// instances' as far as known.
	own, total int
	// spread is a random number in [0, 1).
	spread float64
}

// serviceShare is this instance's part of all endpoints of a service.
type serviceShare struct {
	// hasPart is true if this instance has a part of some endpoint.
	hasPart atomic.Bool
	// endpoints is the largest number of endpoints that the service has had while it was
	// sensitive. Those that fail for a moment don't change who sends requests to the others.
	endpoints atomic.Int64
	// refusedAt is the time of the newest refusal, and idleSentAt that of the newest request to
	// an idle endpoint, in Unix nanoseconds.
	refusedAt, idleSentAt atomic.Int64
}

// countEndpoints records the present number of endpoints. It returns the largest one.
func (s *serviceShare) countEndpoints(present int) int {
	s.endpoints.Store(max(s.endpoints.Load(), int64(present)))
	return int(s.endpoints.Load())
}

// mayUseIdle reports whether this instance may send a request to an idle endpoint.
func (s *serviceShare) mayUseIdle(now time.Time) bool {
	return !s.hasPart.Load() && now.Sub(time.Unix(0, s.refusedAt.Load())) >= idleHold && now.Sub(time.Unix(0, s.idleSentAt.Load())) >= idleInterval
}

// share is this instance's part of one sensitive endpoint.
type share struct {
	// perSecond is the number of refusals a second that the endpoint withstands.
	perSecond float64
	// senders is the number of instances that send the endpoint requests, and position this
	// instance's among all, from 0. settled is true if all others count this instance as one.
	senders, position int
	settled           bool
	// told is the number of its requests on the endpoint that the peers know of.
	told int
	// ceiling is the number of its requests up to which the endpoint is taken to have room
	// after a refusal; it is raised by one at ceilingUntil and valid while that isn't zero.
	ceiling      int
	ceilingUntil time.Time
	// loweredAt is when the ceiling was last lowered.
	loweredAt time.Time
	// unansweredAt is the time of the newest request that got no answer and may still be there,
	// if that is why there is a ceiling; zero otherwise.
	unansweredAt time.Time
	// refusals holds the newest refusals.
	refusals refusalLog
	// service is what this instance has of all endpoints of the service.
	service *serviceShare
	// tokens is the number of requests beyond its part that may be sent at refilledAt.
	tokens     float64
	refilledAt time.Time
	// wantedUntil is the time until which this instance tells its peers that others are in
	// its part, and claimedUntil the time until which a peer says so.
	wantedUntil, claimedUntil time.Time
}

// setSenders sets the number of instances that send the endpoint requests. If each of them is
// refused once in the refusalWindow, the endpoint withstands it; where the service has too few
// endpoints for that there are more. It changes as rarely as possible with the number of
// endpoints, so that instances that know of different ones agree.
func (s *share) setSenders(members, endpoints int) {
	least := 1
	for least*endpoints < endpointsPerInstance*members && least < members {
		least *= 2
	}
	withstood := int(min(refusalShare*s.perSecond, float64(members)))
	s.senders = max(1, min(members, max(least, withstood)))
}

// part returns the number of the endpoint's slots that only this instance uses.
func (s *share) part(slots int) int {
	if !s.settled || s.position >= s.senders {
		return 0
	}
	part := slots / s.senders
	if s.position < slots%s.senders {
		part++
	}
	return part
}

// growers returns the number of instances that may send requests beyond their parts.
func (s *share) growers() int {
	if s.perSecond < 1 {
		return 0
	}
	return int(max(1, min(growthShare*s.perSecond, float64(s.senders))))
}

// mayGrow reports whether this instance is one of them. They are those that come last where the
// slots are parted.
func (s *share) mayGrow() bool {
	return s.settled && s.position < s.senders && s.senders-1-s.position < s.growers()
}

// refill adds the tokens that have accrued.
func (s *share) refill(now time.Time) {
	elapsed := max(0, now.Sub(s.refilledAt))
	s.refilledAt = now
	if !s.mayGrow() {
		s.tokens = 0
		return
	}
	rate := growthShare * s.perSecond / float64(s.growers())
	s.tokens = min(max(1, rate), s.tokens+rate*elapsed.Seconds())
}

// hasRoom reports whether this instance may send the endpoint one more request.
func (s *share) hasRoom(v view) bool {
	s.raiseCeiling(v)
	if s.stopped(v) {
		return false
	}
	if !s.ceilingUntil.IsZero() && v.own >= s.ceiling {
		return false
	}
	if v.slots == 0 {
		return true
	}
	if v.total >= v.slots {
		if v.own < s.part(v.slots) {
			s.wantedUntil = v.now.Add(wantedTime)
		}
		return false
	}
	if v.own < s.kept(v) || s.idle(v) {
		return true
	}
	s.refill(v.now)
	return s.tokens >= 1 && !s.claimed(v.now)
}

// stopped reports whether the endpoint gets nothing for a moment, since it has refused as much of
// this instance's requests as it withstands from each.
func (s *share) stopped(v view) bool {
	most := refusalShare * s.perSecond / float64(s.senders)
	return float64(s.refusals.count(v.now)) >= max(1, most)
}

// kept returns the number of slots that this instance may use again and again: its part, or
// what the peers know that it uses, unless one of them needs it.
func (s *share) kept(v view) int {
	part := s.part(v.slots)
	if s.claimed(v.now) {
		return part
	}
	return max(part, s.told)
}

func (s *share) claimed(now time.Time) bool { return now.Before(s.claimedUntil) }

// idle reports whether an instance without a part of any endpoint may send a request since the
// endpoint has little to do. Where there are more instances than slots some have no part.
func (s *share) idle(v view) bool {
	return v.own == 0 && float64(v.total) <= idleShare*float64(v.slots) && s.service.mayUseIdle(v.now)
}

// placed records that a request is sent. It reports whether it goes beyond what this instance
// may use again and again.
func (s *share) placed(v view) (growth bool) {
	if v.slots == 0 || v.own < s.kept(v) {
		return false
	}
	if s.idle(v) {
		s.service.idleSentAt.Store(v.now.UnixNano())
		return false
	}
	s.refill(v.now)
	s.tokens--
	return true
}

// refused records that the endpoint had no room for one of this instance's requests, which
// the view still counts.
func (s *share) refused(v view) {
	s.lowerCeiling(v)
	s.unansweredAt = time.Time{}
	s.refusals.add(v.now)
	s.service.refusedAt.Store(v.now.UnixNano())
}

// unanswered records that one of this instance's requests, which the view still counts, got no
// answer. It may take the endpoint's room for longer than this instance waits for it.
func (s *share) unanswered(v view) {
	if s.ceilingUntil.IsZero() || !s.unansweredAt.IsZero() {
		s.unansweredAt = v.now
	}
	s.lowerCeiling(v)
}

// answered records an answer to a request that was sent at the given time. Earlier ones that
// got no answer have ended.
func (s *share) answered(sentAt time.Time) {
	if !s.unansweredAt.IsZero() && sentAt.After(s.unansweredAt) {
		s.unansweredAt, s.ceilingUntil = time.Time{}, time.Time{}
	}
}

// lowerCeiling sets the ceiling to half of the number of this instance's other requests.
func (s *share) lowerCeiling(v view) {
	if half := (v.own - 1) / 2; s.ceilingUntil.IsZero() || half < s.ceiling {
		s.ceiling = half
	}
	s.loweredAt = v.now
	s.ceilingUntil = v.now.Add(s.hold(v))
}

// hold returns the time until a part of which a request was refused is tried again. It is so
// long that all instances together stay below what the endpoint withstands.
func (s *share) hold(v view) time.Duration {
	mean := float64(s.senders) / (retryShare * max(minPerSecond, s.perSecond))
	return time.Duration(min(maxHold.Seconds(), mean*(0.5+v.spread)) * float64(time.Second))
}

// raiseCeiling raises the ceiling by one when its time has passed, and drops it when it no
// longer matters.
func (s *share) raiseCeiling(v view) {
	if s.ceilingUntil.IsZero() || v.now.Before(s.ceilingUntil) {
		return
	}
	s.ceiling++
	s.ceilingUntil = v.now.Add(s.hold(v))
	known := v.slots > 0 && s.ceiling >= max(s.part(v.slots), s.told)
	if known || v.now.Sub(s.loweredAt) >= forgetAfter {
		s.unansweredAt, s.ceilingUntil = time.Time{}, time.Time{}
	}
}
