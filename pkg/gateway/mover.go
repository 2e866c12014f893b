package gateway

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/kvmove"
	"github.com/medlarsill/medlarsill/pkg/rollout"
	"github.com/medlarsill/medlarsill/pkg/routing"
	"github.com/medlarsill/medlarsill/pkg/schedule"
	"github.com/medlarsill/medlarsill/pkg/upstream"
)

// mover moves the stream of one attempt to another endpoint before its own stops. Its goroutine runs
// only while the endpoint is about to stop. The goroutine that relays the stream sends the request to
// the destination.
type mover struct {
	gateway *Gateway
	planner *kvmove.Planner
	// origin is the placement and conn the connection of the attempt. Only Outlook and Close are used.
	origin *schedule.Placement
	conn   *upstream.Conn
	// id is that of the request, and deadline that of its call.
	id       string
	deadline time.Time
	// random is a number in [0, 1) that spreads the begins of moves.
	random float64
	// service, link and stream hold what doesn't change while the stream runs.
	service     *routing.Service
	link        kvmove.Link
	stream      kvmove.Stream
	eventTokens int
	// events is the number of events of the run that have arrived, and held is true while nothing may be
	// ordered: the endpoint is silent, or there was an event without id.
	events atomic.Int64
	held   atomic.Bool
	// unnumbered is true once there was an event without id. Only the relaying goroutine uses it.
	unnumbered bool

	// paid is true once the move was deducted from the retry budget. Only the mover's goroutine uses it.
	paid bool

	unwatch func()
	// ended is closed once the attempt has ended, and done once the mover's goroutine has.
	ended, done chan struct{}

	// mu is taken while the table of endpoints is locked (told), so nothing that may lock the table is
	// called while it is held, such as the end of a placement.
	mu sync.Mutex
	// request is what is placed at the destination.
	request schedule.Request
	// ready is true once the stream may be moved, running while the goroutine runs, over once the
	// attempt has ended, and reported once the end of the move was logged.
	ready, running, started, over, reported bool
	// stopsAt is when the endpoint is expected to stop, and movesAt when the stream is moved at the
	// earliest.
	stopsAt, movesAt time.Time
	steps            kvmove.Steps
	// placement is at the destination, with choice as the choice of versions.
	placement *schedule.Placement
	choice    rollout.Choice
	plan      kvmove.Plan
	// began is when the move has begun, and stopOrderedAt when the order to stop the run was sent.
	began, stopOrderedAt time.Time
	// created is the number of events that the run had made when it was stopped.
	created int
	// obstacle is why no move could be begun at the last decision, and counted is true once the reason
	// for which the stream isn't moved was counted.
	obstacle kvmove.Reason
	counted  bool
}

// watchMove returns a mover for the attempt's stream; nil if it can't be moved.
func (a *attempt) watchMove() *mover {
	g := a.gateway
	s, known := a.table.Service(a.service)
	if g.Moves == nil || !a.isStream() || a.fixed || !known || !kvmove.Supported(s.Engine) || a.placement.Endpoint.Version() == "" {
		return nil
	}
	m := &mover{
		gateway: g, planner: g.Moves, origin: a.placement, conn: a.conn, id: a.meta.ID, deadline: a.deadline, random: g.Random(),
		service: s, link: kvmove.Link{Engine: s.Engine}, stream: kvmove.Stream{Prompt: a.meta.Prompt, Limit: a.meta.Output}, eventTokens: a.eventTokens(),
		request: a.moveRequest(), ended: make(chan struct{}), done: make(chan struct{}), obstacle: kvmove.NoTime,
	}
	m.unwatch = a.placement.Endpoint.OnLeaving(m.told)
	return m
}

// moveRequest returns the scheduler's request for the destination of a move.
func (a *attempt) moveRequest() schedule.Request {
	r := a.placementRequest()
	r.Avoid = maps.Clone(a.excluded)
	if r.Avoid == nil {
		r.Avoid = make(map[string]bool)
	}
	r.Avoid[a.placement.Endpoint.ID] = true
	r.Parts, r.Permits = nil, nil
	r.Retry, r.Moved, r.Ahead = true, true, true
	return r
}

// allowMove permits the move of the stream once its first events were accepted, and counts them. A stream
// with an event that has no id isn't moved from then on.
func (a *attempt) allowMove(accepted []byte) {
	m := a.mover
	if m == nil {
		return
	}
	m.unnumbered = m.unnumbered || !everyEventHasID(accepted)
	if m.unnumbered || a.lastEvent == "" {
		m.held.Store(true)
		return
	}
	events := a.placement.Events()
	if n, err := strconv.Atoi(a.lastEvent); err == nil {
		events = n
	}
	m.events.Store(int64(events))
	m.held.Store(false)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ready || a.build == 0 {
		return
	}
	m.ready = true
	if a.build != endpoints.UncertainBuild {
		m.request.Build = a.build
	}
	m.stream.Resumable = a.route.Repeatable() && a.possibleRuns < a.maxRuns
	m.start()
}

// told records that the endpoint stops after a time.
func (m *mover) told(leavesIn time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := kvmove.StopsIn(leavesIn)
	m.stopsAt = m.gateway.Now().Add(left)
	m.movesAt = m.stopsAt.Add(-kvmove.SpreadReserve(left, m.random))
	m.start()
}

// start starts the goroutine if the stream may be moved and its endpoint is about to stop. The caller
// holds the lock.
func (m *mover) start() {
	if !m.ready || m.stopsAt.IsZero() || m.started || m.over {
		return
	}
	m.started, m.running = true, true
	go m.run()
}

// settleAfterRun ends the mover's goroutine.
func (m *mover) settleAfterRun() {
	m.mu.Lock()
	m.running = false
	m.mu.Unlock()
	close(m.done)
	m.settle()
}

// settle releases what is held for the move, and reports its end, once nothing more is done for it.
func (m *mover) settle() {
	m.mu.Lock()
	if m.running || !m.over && !m.steps.Over() {
		m.mu.Unlock()
		return
	}
	unused, outcome, held := m.steps.Unused(), m.steps.Outcome(), m.placement
	report := !m.reported && outcome != kvmove.None
	m.reported = m.reported || report
	m.mu.Unlock()
	if held != nil && outcome != kvmove.Moved {
		held.End()
	}
	if report {
		m.logEnd(outcome)
	}
	if len(unused) > 0 {
		go m.free(unused)
	}
}

// end records that the attempt has ended, or that the move goes no further. outcome is how, unless the
// move has ended before.
func (m *mover) end(outcome kvmove.Outcome) {
	if m == nil {
		return
	}
	m.unwatch()
	m.mu.Lock()
	m.steps.Completed(outcome)
	inTime := m.started && m.steps.Outcome() == kvmove.None && outcome == kvmove.EndedAtSource
	if !m.over {
		m.over = true
		close(m.ended)
	}
	m.mu.Unlock()
	if inTime {
		m.countNotBegun(kvmove.EndedInTime)
	}
	m.settle()
}

// closed records that the source's stream has closed without its end, or may have. It returns what to do,
// after the reply to an order to stop the run if there is one.
func (m *mover) closed(ctx context.Context) kvmove.Action {
	m.mu.Lock()
	action, limit := m.steps.Closed(), m.plan.ReplyLimit
	if !m.stream.Resumable {
		// Nothing else could go on with the stream. The order itself is limited in time.
		limit = max(limit, m.deadline.Sub(m.gateway.Now()))
	}
	m.mu.Unlock()
	if action != kvmove.Wait {
		return action
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-m.done:
	case <-t.C:
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steps.Waited()
}

// attached records the result of the request that was sent with the handle.
func (m *mover) attached(result kvmove.Attachment) kvmove.Action {
	m.mu.Lock()
	action := m.steps.Attached(result)
	m.mu.Unlock()
	m.settle()
	return action
}

// logBegin logs and counts the begin of the move.
func (m *mover) logBegin() {
	m.planner.Began(m.plan.Bytes)
	m.gateway.Log.Info("stream move begins", "request", m.id, "source", m.origin.Endpoint.ID, "destination", m.placement.Endpoint.ID,
		"bytes", int64(m.plan.Bytes), "copy", m.plan.Copy, "transfer_ms", m.plan.Transfer.Milliseconds(), "left_ms", m.left().Milliseconds(), "events", m.events.Load())
}

// logEnd logs and counts the end of the move.
func (m *mover) logEnd(o kvmove.Outcome) {
	m.planner.Ended(o)
	m.gateway.Log.Info("stream move ended", "request", m.id, "source", m.origin.Endpoint.ID, "result", o.String(),
		"took_ms", m.gateway.Now().Sub(m.began).Milliseconds(), "created", m.created, "events", m.events.Load())
}
