package gateway

import (
	"context"
	"time"

	"github.com/medlarsill/medlarsill/pkg/schedule"
)

// successorInterval is the time between two looks, of a request that waits for a silent endpoint,
// for another one, and for input of earlier attempts that are open.
const successorInterval = 250 * time.Millisecond

// limitSilence limits the wait for more of the response to d. After it, a successor is tried on
// another endpoint while this attempt stays open: the silent endpoint may be sound.
func (a *attempt) limitSilence(d time.Duration) {
	a.silenceLimit = a.gateway.Now().Add(d)
	// An error shows in the next read.
	_ = a.conn.SetReadLimit(a.nextCheck(), a.endSilence)
}

// nextCheck returns when endSilence is called next: at the limit, or sooner to look at the
// attempts before this one that are open.
func (a *attempt) nextCheck() time.Time {
	check := a.gateway.Now().Add(successorInterval)
	if a.call.open == nil || a.silenceLimit.Before(check) {
		return a.silenceLimit
	}
	return check
}

// waitWithoutLimit lets only the context of the call, and an attempt before this one that gets
// more of its response, end the wait for more of the response.
func (a *attempt) waitWithoutLimit() {
	// An error shows in the next read.
	if a.call.open == nil {
		_ = a.conn.SetReadDeadline(time.Time{})
		return
	}
	_ = a.conn.SetReadLimit(a.gateway.Now().Add(successorInterval), a.checkEarlier)
}

// checkEarlier is endSilence for an attempt that has no limit.
func (a *attempt) checkEarlier() time.Time {
	if a.yields() {
		return time.Time{}
	}
	return a.gateway.Now().Add(successorInterval)
}

// yields reports whether this attempt ends since the endpoint of one before it, which is still
// open, has gone on.
func (a *attempt) yields() bool {
	for earlier := a.call.open; earlier != nil && !a.yielded; earlier = earlier.before {
		a.yielded = earlier.conn.InputWaits()
	}
	return a.yielded
}

// abandoned reports whether the attempt's failure says nothing about its endpoint.
func (a *attempt) abandoned(ctx context.Context) bool { return ctx.Err() != nil || a.yielded }

// endSilence is called when the wait for more of the response has reached its limit. It returns
// the time at which to decide again, or the zero time if a successor has taken over or an earlier
// attempt goes on.
func (a *attempt) endSilence() time.Time {
	if a.yields() {
		return time.Time{}
	}
	if a.gateway.Now().Before(a.silenceLimit) {
		return a.nextCheck()
	}
	if a.mover.handingOver() {
		return a.gateway.Now().Add(successorInterval)
	}
	if !a.silent {
		a.silent = true
		a.holdMove()
		a.placement.Endpoint.RecordUnreachable(a.gateway.Now())
	}
	if p := a.findSuccessor(); p != nil && (a.trySuccessor(p) || a.yields()) {
		return time.Time{}
	}
	return a.gateway.Now().Add(successorInterval)
}

// findSuccessor takes a slot for another attempt of the call. It returns nil if no attempt is
// permitted or no slot is free. The retry is deducted from the budget when the request is sent.
func (a *attempt) findSuccessor() *schedule.Placement {
	g := a.gateway
	if a.ctx.Err() != nil || a.deadline.Sub(g.Now()) < minTimeLeft || !a.mayRunAgain() || !g.Retries.Available(a.service) {
		return nil
	}
	a.findBuild()
	a.exclude(a.placement.Endpoint.ID)
	a.chooseVersion()
	if a.call.choice.Candidate() {
		a.giveUpCandidate()
	}
	return g.Placer.TryPlace(a.placementRequest())
}

// trySuccessor makes another attempt of the call. It reports whether that one has taken over:
// the caller has got some of the response from it.
func (a *attempt) trySuccessor(p *schedule.Placement) bool {
	a.before = a.call.open
	a.call.open = a
	last := a.call.attempt(a.ctx, p)
	if !last.done && a.call.moving == nil {
		a.recordFailedAttempt(p, last)
	}
	if a.call.open == nil {
		a.successor = &last
		return true
	}
	a.call.open = a.before
	return false
}

// takeOver ends the attempts before this one that are still open. It is called before the caller
// gets some of the response from this one, so that two endpoints don't go on with a request.
func (c *call) takeOver() {
	for a := c.open; a != nil; a = a.before {
		a.conn.Close()
	}
	c.open = nil
}

// mayRunAgain reports whether a request that may have run may be sent to another endpoint, as
// far as it depends on the request.
func (c *call) mayRunAgain() bool {
	return c.resumable() && c.route.Repeatable() && c.possibleRuns < c.maxRuns && c.poisoned() == "" && c.gateway.Poison.MayResend(c.traits)
}

// resumable reports whether the response can go on elsewhere: a stream whose events have no ids
// can't, once it has begun.
func (c *call) resumable() bool { return !c.headerSent || c.lastEvent != "" }

// exchangeOrSuccessor sends the request and relays the response. It returns the outcome of the
// successor if one has taken over.
func (a *attempt) exchangeOrSuccessor(ctx context.Context) outcome {
	a.ctx = ctx
	last := a.exchange(ctx)
	a.runOutcome = a.outcomeOf(ctx, last)
	if a.successor != nil {
		return *a.successor
	}
	if a.yielded {
		last.reason = "earlier attempt goes on"
	}
	return last
}
