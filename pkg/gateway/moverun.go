package gateway

import (
	"context"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/kvmove"
	"github.com/medlarsill/medlarsill/pkg/rollout"
	"github.com/medlarsill/medlarsill/pkg/schedule"
)

const (
	// moveCheckInterval is the time between two decisions on a stream whose endpoint is about to stop, and
	// moveRetryInterval that between two searches for a destination, which look at all endpoints.
	moveCheckInterval = 50 * time.Millisecond
	moveRetryInterval = 200 * time.Millisecond
	// drainTime is how long a stream whose run has stopped is read before its connection is closed. The
	// destination sends again what has not arrived.
	drainTime = 200 * time.Millisecond
	// identifyTimeout limits the time in which the process of an endpoint is found out, and
	// identifyRetryInterval is the time after which that is tried again. No registration is read for
	// 500 ms after a failed read, nor while there are eight reads.
	identifyTimeout       = 500 * time.Millisecond
	identifyRetryInterval = 500 * time.Millisecond
	// lateReplyTime is how long after the expected stop of the source a reply to the order to stop the
	// run is still awaited.
	lateReplyTime = time.Second
)

// run moves the stream in time unless it ends before.
func (m *mover) run() {
	defer m.settleAfterRun()
	for !m.identify() {
		if m.left() <= 0 {
			m.countNotBegun(kvmove.UnknownBuild)
			return
		}
		if !m.sleep(identifyRetryInterval) {
			return
		}
	}
	for {
		wait := min(m.untilMove(), moveRetryInterval) // the time may change
		if wait <= 0 {
			wait = m.consider()
		}
		if wait <= 0 || !m.sleep(wait) {
			return
		}
	}
}

// identify finds out the stream's build if it isn't known: nothing is read for streams that can't be
// resumed until their endpoint leaves. It returns false if it can't be found out now.
func (m *mover) identify() bool {
	m.mu.Lock()
	known := m.request.Build != 0
	m.mu.Unlock()
	if known {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	e := m.origin.Endpoint
	if !m.gateway.Identities.Ensure(ctx, e, m.conn.OpenedAt()) || m.gateway.Endpoints.Replaced(e) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.request.Build = e.Build()
	return true
}

// untilMove returns the time until the stream is moved at the earliest.
func (m *mover) untilMove() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.movesAt.Sub(m.gateway.Now())
}

// left returns the time until the endpoint stops.
func (m *mover) left() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopsAt.Sub(m.gateway.Now())
}

// sleep waits. It returns false if the attempt has ended.
func (m *mover) sleep(d time.Duration) bool {
	if d <= 0 {
		return !m.isOver()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-m.ended:
		return false
	}
}

func (m *mover) isOver() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.over
}

// described returns the stream as it is now.
func (m *mover) described() kvmove.Stream {
	o := m.origin.Outlook()
	s := m.stream
	s.Written = int(m.events.Load()) * m.eventTokens
	s.Usual, s.TokenTime, s.ReadTime = o.Usual, o.TokenTime, o.ReadTime
	return s
}

// consider decides on the stream and moves it if it is time. It returns the time after which to decide
// again, or 0 if nothing more is to be decided.
func (m *mover) consider() time.Duration {
	g, left := m.gateway, m.left()
	if !g.Now().Add(left).Before(m.deadline) {
		return 0
	}
	plan := m.decide(false, left)
	switch {
	case plan.Verdict == kvmove.Stays, plan.Verdict == kvmove.Moves && m.held.Load():
		return moveCheckInterval
	case plan.Verdict == kvmove.TooLate:
		m.countNotBegun(m.obstacle)
		return 0
	case plan.Verdict == kvmove.NotWorth:
		m.countNotBegun(kvmove.ReadAgain)
		return 0
	case !g.Retries.Available(m.request.Service):
		m.obstacle = kvmove.NoBudget
		return moveRetryInterval
	case !m.choose(plan, left):
		m.obstacle = kvmove.NoDestination
		return moveRetryInterval
	}
	m.move()
	return 0
}

// countNotBegun counts, once, why the stream isn't moved.
func (m *mover) countNotBegun(r kvmove.Reason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.counted {
		m.counted = true
		m.planner.NotBegun(r)
	}
}

// decide decides on the stream as it is now.
func (m *mover) decide(remote bool, left time.Duration) kvmove.Plan {
	l := m.link
	l.Remote = remote
	l.Busy = m.planner.Busy(m.origin.Endpoint.Key(), m.gateway.Now())
	return kvmove.Decide(m.described(), l, left)
}

// choose takes a slot at a destination to which the move is worth its cost, if there is one. local is the
// plan for those in the source's data centre.
func (m *mover) choose(local kvmove.Plan, left time.Duration) bool {
	choice, permitted := m.chooseVersion()
	remote := m.decide(true, left)
	now, home := m.gateway.Now(), m.origin.Endpoint.DataCentre
	r := m.request
	r.Permits = func() func(*endpoints.Endpoint) bool {
		return func(e *endpoints.Endpoint) bool {
			worth := e.DataCentre == home || remote.Verdict == kvmove.Moves
			return worth && !e.Paused(now) && !e.SeemsEnded() && permitted(e)
		}
	}
	p := m.gateway.Placer.TryPlace(r)
	if p == nil {
		return false
	}
	plan := local
	if p.Endpoint.DataCentre != home {
		plan = remote
	}
	if !m.prepare(p.Endpoint) || !m.hold(p, choice, plan) {
		p.End()
		return false
	}
	return true
}

// prepare opens a connection to a destination unless there is one, and reports whether the registered
// process answers there. The request isn't sent to another one, and by then the run has stopped.
func (m *mover) prepare(e *endpoints.Endpoint) bool {
	g := m.gateway
	ctx, cancel := context.WithTimeout(g.life, identifyTimeout)
	defer cancel()
	conn, err := g.Pool.Get(ctx, e.Addr)
	if err != nil {
		g.Log.Debug("failed to connect to the destination of a stream", "request", m.id, "destination", e.ID, "error", err.Error())
		if ctx.Err() == nil {
			e.RecordUnreachable(g.Now())
			g.Reach.Missed(e.Service, e.ID)
		}
		return false
	}
	defer g.Pool.Put(e.Addr, conn, true, g.IdleConns(m.service, e))
	return g.Identities.Ensure(ctx, e, conn.OpenedAt())
}

// hold records the destination, which is released by settle. It returns false if the attempt has ended.
func (m *mover) hold(p *schedule.Placement, choice rollout.Choice, plan kvmove.Plan) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.over {
		return false
	}
	m.placement, m.choice, m.plan = p, choice, plan
	return true
}

// chooseVersion returns the choice of versions for the destination, and which endpoints it permits.
func (m *mover) chooseVersion() (choice rollout.Choice, permitted func(*endpoints.Endpoint) bool) {
	if m.gateway.Rollouts != nil {
		choice = m.gateway.Rollouts.ChooseBound(m.request.Service, m.request.Route)
	}
	if !choice.Limits() {
		return choice, func(*endpoints.Endpoint) bool { return true }
	}
	return choice, choice.Permitted()
}

// move carries out the steps at the source, until the run continues there for good or has stopped.
func (m *mover) move() {
	if !m.sleep(m.planner.Reserve(m.origin.Endpoint.Key(), m.plan.Transfer, m.gateway.Now())) {
		return
	}
	action := m.begin()
	for {
		switch action {
		case kvmove.OrderCopy:
			action = m.replied(m.order(false, m.plan.ReplyLimit))
		case kvmove.OrderLast:
			if !m.mayStop() {
				return
			}
			action = m.replied(m.order(true, max(0, m.left())+lateReplyTime))
		case kvmove.ChooseOther:
			action = m.beginElsewhere()
		case kvmove.Drain:
			m.drain()
			return
		default:
			return
		}
	}
}

// begin begins the move to the destination that is chosen.
func (m *mover) begin() kvmove.Action {
	m.mu.Lock()
	if m.over || m.held.Load() {
		m.steps.Forgo()
		m.mu.Unlock()
		return kvmove.Relay
	}
	m.began = m.gateway.Now()
	action := m.steps.Begin(m.plan.Copy)
	m.mu.Unlock()
	if action == kvmove.OrderCopy || action == kvmove.OrderLast {
		m.logBegin()
	}
	return action
}

// beginElsewhere begins the move to another destination.
func (m *mover) beginElsewhere() kvmove.Action {
	m.mu.Lock()
	refused := m.placement
	m.request.Avoid[refused.Endpoint.ID] = true
	m.mu.Unlock()
	refused.End()
	left := m.left()
	if plan := m.decide(false, left); plan.Verdict == kvmove.Moves && m.choose(plan, left) {
		return m.begin()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.steps.Forgo()
	return kvmove.Relay
}

// mayStop reports whether the run may be stopped now: the stream still runs, and the retry budget
// permits another arrival of the request, which it deducts.
func (m *mover) mayStop() bool {
	m.paid = m.paid || m.gateway.Retries.Allow(m.request.Service)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.over || m.held.Load() || !m.paid || !m.steps.Stop() {
		m.steps.Forgo()
		return false
	}
	m.stopOrderedAt = m.gateway.Now()
	return true
}

// handingOver reports whether the run has stopped, or was ordered to stop lately, so that the silence of its
// endpoint is part of the move.
func (m *mover) handingOver() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ordered := m.steps.Stopping() && !m.steps.Over() && m.gateway.Now().Sub(m.stopOrderedAt) < m.plan.ReplyLimit
	return ordered || m.steps.Stopped()
}

// replied records the reply to the order in progress.
func (m *mover) replied(r kvmove.Reply) kvmove.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Handle != "" {
		m.created = r.Created
	}
	return m.steps.Replied(r)
}

// drain waits for the end of the source's stream and ends it if it stays open: its run has stopped.
func (m *mover) drain() {
	if !m.sleep(drainTime) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.over && !m.steps.SourceClosed() {
		m.conn.Close()
	}
}
