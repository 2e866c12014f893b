package gateway

import (
	"context"
	"time"

	"github.com/medlarsill/medlarsill/pkg/schedule"
)

// successorInterval is the time after which a request that waits for a silent endpoint looks
// for another one again.
const successorInterval = 250 * time.Millisecond

// limitSilence limits the wait for more of the response to d. After it, the attempt ends once
// another one is permitted and has a slot; until then it goes on waiting, as the endpoint may be
// sound.
func (a *attempt) limitSilence(d time.Duration) {
	// An error shows in the next read.
	_ = a.conn.SetReadLimit(a.gateway.Now().Add(d), a.endSilence)
}

// waitWithoutLimit lets only the context of the call end the wait for more of the response.
func (a *attempt) waitWithoutLimit() {
	// An error shows in the next read.
	_ = a.conn.SetReadDeadline(time.Time{})
}

// endSilence is called when the wait for more of the response has reached its limit. It returns
// the time at which to decide again, or the zero time if another attempt is ready to take over.
func (a *attempt) endSilence() time.Time {
	if !a.silent {
		a.silent = true
		a.placement.Endpoint.RecordUnreachable(a.gateway.Now())
	}
	if a.findSuccessor() {
		return time.Time{}
	}
	return a.gateway.Now().Add(successorInterval)
}

// findSuccessor takes a slot for another attempt of the call, and deducts it from the retry
// budget. It reports whether it did.
func (a *attempt) findSuccessor() bool {
	g := a.gateway
	if a.deadline.Sub(g.Now()) < minTimeLeft || !a.mayRunAgain() || !g.Retries.Available(a.service) {
		return false
	}
	a.exclude(a.placement.Endpoint.ID)
	p := g.Placer.TryPlace(a.placementRequest())
	if p == nil {
		return false
	}
	if !g.Retries.Allow(a.service) {
		p.End()
		return false
	}
	a.successor = p
	return true
}

// mayRunAgain reports whether a request that may have run may be sent to another endpoint, as
// far as it depends on the request.
func (c *call) mayRunAgain() bool {
	if !c.resumable() {
		return false
	}
	return c.route.Repeatable() && c.possibleRuns < c.maxRuns && c.poisoned() == "" && c.gateway.Poison.MayResend(c.traits)
}

// resumable reports whether the response can go on elsewhere: a stream whose events have no ids
// can't, once it has begun.
func (c *call) resumable() bool { return !c.headerSent || c.lastEvent != "" }

// place returns the slot for the next attempt: the one that was taken for it, or a new one.
func (c *call) place(ctx context.Context) (*schedule.Placement, error) {
	if p := c.successor; p != nil {
		c.successor = nil
		return p, nil
	}
	return c.gateway.Placer.Place(ctx, c.placementRequest())
}

// endSuccessor releases a slot that was taken for an attempt that isn't made.
func (c *call) endSuccessor() {
	if c.successor != nil {
		c.successor.End()
	}
}
