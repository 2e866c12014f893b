package ratelimit

import (
	"math"
	"time"
)

const (
	// minPerSecond is the rate at which an endpoint is still tried whose limit is lower,
	// in requests a second: only its answers tell when the limit is lifted.
	minPerSecond = 0.1
	// expireAfter is the time without an announcement after which an instance that may use
	// the limit takes it for lifted, and expireRequests the number of requests that must
	// have been possible in that time. Others wait for idleExpireAfter: they hear of a lift
	// from those that use the limit.
	expireAfter     = 30 * time.Second
	expireRequests  = 3
	idleExpireAfter = 10 * time.Minute
	// rampDoubling is the time in which the rate doubles after a limit is lifted, and
	// rampEnd the time after which it is no longer bounded. An endpoint that announces
	// its limit again soon is not flooded meanwhile.
	rampDoubling = time.Second
	rampEnd      = 10 * time.Second
	// holdersPerRate is the number of instances that share a limit, for each request a
	// second of it. Each of them may save up a request.
	holdersPerRate = 2
	// burstPeriod is the time for which an instance may save up its share; it may always
	// save up one request.
	burstPeriod = 500 * time.Millisecond
)

// limit is the limit of one endpoint, and this instance's token bucket for it.
type limit struct {
	perSecond float64
	// announcedAt is the time of the newest answer that announced the limit. liftedAt is
	// the time from which the endpoint is known to announce it no longer, and rampStart
	// the time at which this instance learned of that; both are zero while it is in force.
	announcedAt, liftedAt, rampStart time.Time
	// changedAt is when this instance last learned of a change.
	changedAt time.Time
	// rank is this instance's position, from 0, among the members in the order in which
	// they are chosen to share the limit.
	rank int
	// share is this instance's part of the rate, in requests a second.
	share float64
	// tokens is the number of requests that may be sent at refilledAt.
	tokens     float64
	refilledAt time.Time
}

// rate returns the rate that all instances together may use, in requests a second.
func (l *limit) rate(now time.Time) float64 {
	rate := max(l.perSecond, minPerSecond)
	if !l.inForce() {
		rate *= math.Exp2(now.Sub(l.rampStart).Seconds() / rampDoubling.Seconds())
	}
	return rate
}

// inForce reports whether the endpoint still announces the limit.
func (l *limit) inForce() bool { return l.liftedAt.IsZero() }

// announce records an announcement at the given time, which this instance learned of now.
// It reports whether that changed the limit.
func (l *limit) announce(perSecond float64, at, now time.Time) bool {
	if at.Before(l.newestEvent()) {
		return false
	}
	l.announcedAt = at
	if l.inForce() && l.perSecond == perSecond {
		return false
	}
	l.perSecond, l.liftedAt, l.rampStart, l.changedAt = perSecond, time.Time{}, time.Time{}, now
	return true
}

// lift records that the endpoint no longer announced the limit at the given time, which
// this instance learned of now. It reports whether that changed the limit.
func (l *limit) lift(at, now time.Time) bool {
	if !l.inForce() || !at.After(l.announcedAt) {
		return false
	}
	l.liftedAt, l.rampStart, l.changedAt = at, now, now
	return true
}

// lifetime returns how long a limit is in force after its newest announcement at an
// instance that may use it.
func lifetime(perSecond float64) time.Duration {
	return max(expireAfter, seconds(expireRequests/max(perSecond, minPerSecond)))
}

// refresh lifts a limit that wasn't announced for its lifetime. It reports whether the
// limit still bounds the rate.
func (l *limit) refresh(now time.Time) bool {
	after := idleExpireAfter
	if l.share > 0 {
		after = lifetime(l.perSecond)
	}
	if expiry := l.announcedAt.Add(after); now.After(expiry) {
		l.lift(expiry, now)
	}
	return l.inForce() || now.Sub(l.rampStart) < rampEnd
}

// setShare sets this instance's share, given the number of members that share the limit.
// An instance that isn't settled has no share.
func (l *limit) setShare(members int, settled bool, now time.Time) {
	l.refill(now)
	rate := l.rate(now)
	holders := max(1, int(min(holdersPerRate*rate, float64(members))))
	l.share = 0
	if settled && l.rank < holders {
		l.share = rate / float64(holders)
	}
	l.tokens = min(l.tokens, l.burst())
}

// burst returns the largest number of requests that may be saved up.
func (l *limit) burst() float64 {
	if l.share == 0 {
		return 0
	}
	return max(1, l.share*burstPeriod.Seconds())
}

func (l *limit) refill(now time.Time) {
	elapsed := max(0, now.Sub(l.refilledAt))
	l.tokens = min(l.burst(), l.tokens+l.share*elapsed.Seconds())
	l.refilledAt = now
}

// available reports whether this instance may send a request now.
func (l *limit) available(now time.Time) bool {
	l.refill(now)
	return l.tokens >= 1
}

// take takes one request from the share, if one is left.
func (l *limit) take(now time.Time) bool {
	if !l.available(now) {
		return false
	}
	l.tokens--
	return true
}

// wait returns the time until this instance may send a request, or, if it has no share,
// until some instance may.
func (l *limit) wait(now time.Time) time.Duration {
	if l.share == 0 {
		return seconds(1 / l.rate(now))
	}
	l.refill(now)
	return seconds(max(0, 1-l.tokens) / l.share)
}

// postpone moves all times of the limit, after a pause in which this instance did not run.
func (l *limit) postpone(pause time.Duration) {
	l.announcedAt = l.announcedAt.Add(pause)
	if !l.inForce() {
		l.liftedAt = l.liftedAt.Add(pause)
		l.rampStart = l.rampStart.Add(pause)
	}
	l.refilledAt = l.refilledAt.Add(pause)
}

// newestEvent returns the time of the lift, or else of the newest announcement.
func (l *limit) newestEvent() time.Time {
	if l.inForce() {
		return l.announcedAt
	}
	return l.liftedAt
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
