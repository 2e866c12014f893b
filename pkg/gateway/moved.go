package gateway

import (
	"context"
	"errors"
	"net/http"

	"github.com/medlarsill/medlarsill/pkg/kvmove"
	"github.com/medlarsill/medlarsill/pkg/schedule"
)

// ending is how the source's stream has ended, as far as its move is concerned.
type ending int

// The endings.
const (
	// endingUsual means that the move makes no difference.
	endingUsual ending = iota
	// endingBroken means that the stream isn't complete although its framing may say so.
	endingBroken
	// endingMoves means that the stream goes on with a handle.
	endingMoves
)

// endMove decides how the stream of an attempt goes on that has ended. complete is true if its framing
// says that it is whole.
func (a *attempt) endMove(ctx context.Context, resp *http.Response, err error, complete bool) ending {
	m := a.mover
	if m == nil {
		return endingUsual
	}
	if ctx.Err() != nil || a.successor != nil || a.yielded || errors.Is(err, errEvents) || errors.Is(err, errEventTooLarge) {
		m.end(kvmove.Abandoned)
		return endingUsual
	}
	if complete && !m.stopping() {
		m.end(kvmove.EndedAtSource)
		return endingUsual
	}
	switch m.closed(ctx) {
	case kvmove.Attach, kvmove.AttachSource:
		// An event without id may have arrived since the order. It would come again after the last id.
		if ctx.Err() == nil && !m.unnumbered {
			a.call.moving, a.mover, a.movedOn = m, nil, true
			return endingMoves
		}
	default:
	}
	broken := complete && endsWithConnection(resp) && !m.endedBySource()
	m.end(kvmove.BrokenOff)
	if broken {
		return endingBroken
	}
	return endingUsual
}

// stopping reports whether the run was ordered to stop.
func (m *mover) stopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steps.Stopping()
}

// endedBySource reports whether the source has said that the run has ended by itself.
func (m *mover) endedBySource() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steps.Outcome() == kvmove.EndedAtSource
}

// holdMove keeps the stream from being moved while its endpoint is silent and another one is tried.
func (a *attempt) holdMove() {
	if a.mover != nil {
		a.mover.held.Store(true)
	}
}

// continueMoved sends the request on with the handle of the move in progress. Its outcome is that of a
// broken stream if no endpoint goes on with it: what follows depends on the route then.
func (c *call) continueMoved(ctx context.Context) outcome {
	m := c.moving
	c.moving = nil
	defer m.end(kvmove.Abandoned)
	last := outcome{state: stateUnknown, reason: "stream broke off"}
	if !m.atSource() {
		m.placement.ContinuesAfter(int(m.events.Load()))
		last = c.attach(ctx, m, m.placement)
		if last.done || c.moving != nil {
			return last
		}
		c.recordFailedAttempt(m.placement, last)
		mayReturn := m.attached(attachmentOf(last)) == kvmove.AttachSource
		if !mayReturn || ctx.Err() != nil || !c.gateway.Retries.Allow(c.service) {
			return m.giveUp(last)
		}
	}
	p := m.placeAtSource()
	if p == nil {
		return m.giveUp(last)
	}
	last = c.attach(ctx, m, p)
	if last.done || c.moving != nil {
		return last
	}
	m.attached(attachmentOf(last))
	return m.giveUp(last)
}

// atSource reports whether the handle is for the source itself.
func (m *mover) atSource() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steps.AtSource()
}

// giveUp ends a move that no endpoint goes on with. A request that no endpoint has run with the handle
// has run at the source.
func (m *mover) giveUp(last outcome) outcome {
	m.end(kvmove.BrokenOff)
	return outcome{state: stateUnknown, reason: last.reason, err: last.err}
}

// attachmentOf returns what an attempt with a handle has come to.
func attachmentOf(last outcome) kvmove.Attachment {
	if last.state == stateUnsent || last.state == stateRefused {
		return kvmove.NotRun
	}
	return kvmove.Lost
}

// attach makes an attempt that goes on with a run that was handed over.
func (c *call) attach(ctx context.Context, m *mover, p *schedule.Placement) outcome {
	choice := m.choice
	if c.gateway.Rollouts != nil && p.Endpoint == m.origin.Endpoint {
		choice = c.gateway.Rollouts.ChooseBound(c.service, c.route.Name)
	}
	return c.attemptAt(ctx, p, choice, m)
}

// placeAtSource places the request on the endpoint at which it has run.
func (m *mover) placeAtSource() *schedule.Placement {
	m.mu.Lock()
	r, held := m.request, m.placement
	m.mu.Unlock()
	held.End()
	p := m.gateway.Placer.PlaceAt(m.origin.Endpoint, r)
	if p != nil {
		p.ContinuesAfter(int(m.events.Load()))
	}
	return p
}

// handover returns what the attempt's request goes on with.
func (a *attempt) handover() Handover {
	if a.from == nil {
		return Handover{}
	}
	a.from.mu.Lock()
	defer a.from.mu.Unlock()
	return Handover{Addr: a.from.origin.Endpoint.Addr, Handle: a.from.steps.Handle()}
}

// recordAttached records that the endpoint's events continue the run that was handed over.
func (a *attempt) recordAttached() {
	if a.from != nil && a.firstEvent.IsZero() {
		a.from.attached(kvmove.Started)
	}
}
