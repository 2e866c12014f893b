package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/medlarsill/medlarsill/pkg/kvmove"
	"github.com/medlarsill/medlarsill/pkg/rollout"
	"github.com/medlarsill/medlarsill/pkg/routing"
	"github.com/medlarsill/medlarsill/pkg/schedule"
	"github.com/medlarsill/medlarsill/pkg/upstream"
)

// Limits on the time that an endpoint may take for its response.
const (
	// responseTimeoutFactor is the number of latency objectives after which a
	// repeatable request is tried on another endpoint.
	responseTimeoutFactor = 3
	// minResponseTimeout is the minimum of that time, for short objectives.
	minResponseTimeout = 300 * time.Millisecond
	// silenceSuspicion is the time after the send of a request at which an endpoint whose kernel
	// hasn't acknowledged it gets no new requests over the connections that are open.
	silenceSuspicion = 700 * time.Millisecond
)

// attempt is the state of one attempt to run a call on an endpoint.
type attempt struct {
	*call
	placement *schedule.Placement
	conn      *upstream.Conn
	// reusable is true if the connection can be reused: the response was read to its
	// end, or nothing was sent.
	reusable bool
	// choice is the one that the placement was made with, and run the request at the endpoint once
	// it is sent; nil before, and without rollouts. runOutcome is how it ended, and ownError is true if
	// the endpoint has answered with an error of its own.
	choice     rollout.Choice
	run        *rollout.Run
	runOutcome rollout.Outcome
	ownError   bool
	// ctx is the context of the call.
	ctx context.Context
	// before is the attempt that stayed open when this one was made; nil if there is none.
	before *attempt
	// successor is the outcome of the attempt that has taken over, if one has.
	successor *outcome
	// silenceLimit is when a successor is tried, if there is a limit. silent is true once the
	// endpoint was silent for longer.
	silenceLimit time.Time
	silent       bool
	// yielded is true once the attempt has ended since an earlier one goes on.
	yielded bool
	// firstEvent is when the first event of the answer arrived; zero before. survived is true
	// once the endpoint is known to have survived the beginning of the answer.
	firstEvent time.Time
	survived   bool
	// mover moves the stream if its endpoint is about to stop; nil if it can't be moved. movedOn is true
	// once the stream goes on elsewhere.
	mover   *mover
	movedOn bool
	// from is the mover of the attempt whose run this one goes on with; nil if it begins one. fixed is
	// true if the run has returned to its endpoint, from which it isn't moved again.
	from  *mover
	fixed bool
}

// attempt sends the request to the endpoint of the placement and relays the response.
func (c *call) attempt(ctx context.Context, p *schedule.Placement) outcome {
	return c.attemptAt(ctx, p, c.choice, nil)
}

// attemptAt is attempt with a choice of versions, and with the mover of the attempt whose run it goes on
// with; nil if it begins one.
func (c *call) attemptAt(ctx context.Context, p *schedule.Placement, choice rollout.Choice, from *mover) outcome {
	defer p.End()
	g := c.gateway
	conn, err := c.connect(ctx, p)
	if err != nil {
		choice.Release()
		if ctx.Err() == nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				p.Endpoint.RecordEnded(g.Now())
			}
			p.Endpoint.RecordUnreachable(g.Now())
			g.Reach.Missed(p.Endpoint.Service, p.Endpoint.ID)
		}
		return outcome{state: stateUnsent, reason: "not reached", unreached: true, err: err}
	}
	a := &attempt{call: c, placement: p, conn: conn, choice: choice, from: from}
	a.fixed = from != nil && from.origin.Endpoint == p.Endpoint
	defer a.endRun()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer func() {
		stopped := stop()
		g.Pool.Put(p.Endpoint.Addr, conn, a.reusable && stopped, a.idleConns())
	}()
	return a.exchangeOrSuccessor(ctx)
}

// connect returns a connection to the endpoint of the placement. It opens one if a request with
// the same id was refused on the idle one: a refusal there could belong to either of them.
func (c *call) connect(ctx context.Context, p *schedule.Placement) (*upstream.Conn, error) {
	g := c.gateway
	conn, err := g.Pool.Get(ctx, p.Endpoint.Addr)
	if err != nil || !conn.HasRefused(c.meta.ID) {
		return conn, err
	}
	conn.Close()
	return g.Pool.Open(ctx, p.Endpoint.Addr)
}

// idleConns returns the number of idle connections to keep to the endpoint.
func (a *attempt) idleConns() int {
	s, ok := a.table.Service(a.service)
	if !ok {
		return 1
	}
	return a.gateway.IdleConns(s, a.placement.Endpoint)
}

// exchange sends the request, checks the head of the response and relays it.
func (a *attempt) exchange(ctx context.Context) outcome {
	g := a.gateway
	if !a.knowsProcess(ctx) {
		a.reusable = true
		return outcome{state: stateUnsent, reason: "endpoint's process not known", processUnknown: true}
	}
	left := a.deadline.Sub(g.Now())
	if left < minTimeLeft {
		a.reusable = true // nothing was sent, so the connection can be reused
		return outcome{state: stateUnsent, reason: "deadline passed"}
	}
	if a.call.open != nil && !g.Retries.Allow(a.service) {
		a.reusable = true
		return outcome{state: stateUnsent, reason: "retry budget used up"}
	}
	if !a.beginRun() {
		a.reusable = true
		return outcome{state: stateUnsent, reason: "version stopped"}
	}
	if a.firstSend() {
		g.Retries.RecordFirstSend(a.service)
	}
	a.recordSend()
	a.attempts++
	if a.from == nil {
		a.possibleRuns++
	}
	a.mover = a.watchMove()
	defer func() { a.mover.end(kvmove.Abandoned) }()
	a.lastSent = g.Now()
	a.setResponseDeadline(left)
	suspicion := time.AfterFunc(silenceSuspicion, a.suspectSilence)
	resp, err := a.conn.Do(a.request(left), a.belongsToRequest)
	suspicion.Stop()
	if err != nil {
		return a.handleNoResponse(ctx, err)
	}
	g.Reach.Reached(a.service)
	meta := g.Protocol.Response(resp)
	g.observe(a.placement.Endpoint, a.lastSent, meta)
	// An endpoint that doesn't know a handle, or has seen it before, says so by the status alone.
	if meta.NotRun || a.from != nil && resp.StatusCode == http.StatusServiceUnavailable {
		return a.handleRefusal(resp, meta)
	}
	if !meta.Stamped && resp.StatusCode < http.StatusMultipleChoices {
		a.conn.DisableReuse()
		a.placement.Endpoint.RecordFailure()
		return outcome{state: stateUnknown, reason: "answer without proof"}
	}
	return a.relay(ctx, resp)
}

// suspectSilence keeps new requests away from an endpoint that hasn't acknowledged this one. This
// one goes on waiting: the endpoint may go on.
func (a *attempt) suspectSilence() {
	if !a.conn.Unacknowledged() {
		return
	}
	g, e := a.gateway, a.placement.Endpoint
	e.RecordUnreachable(g.Now())
	g.Reach.Missed(e.Service, e.ID)
	g.Pool.CloseIdle(e.Addr)
	g.Log.Info("endpoint silent", "endpoint", e.ID, "request", a.meta.ID)
}

// recordSend records that the request is sent to the endpoint.
func (a *attempt) recordSend() {
	k := a.placement.Endpoint.Key()
	a.gateway.RateLimits.Sent(k, !a.firstSend())
	a.gateway.Backoffs.Sent(k, !a.firstSend())
}

// belongsToRequest reports whether a response belongs to the request. Error responses may lack
// the id, but only on a connection that has carried no other request: a faulty endpoint may
// write the response to an earlier one again.
func (a *attempt) belongsToRequest(resp *http.Response) bool {
	id := a.gateway.Protocol.Response(resp).RequestID
	return id == a.meta.ID || id == "" && resp.StatusCode >= http.StatusBadRequest && !a.conn.Reused()
}

// setResponseDeadline limits the wait for the response if the request may be
// sent to another endpoint. Otherwise only the call's context limits it.
func (a *attempt) setResponseDeadline(left time.Duration) {
	if !a.route.Repeatable() || a.possibleRuns >= a.maxRuns {
		a.waitWithoutLimit()
		return
	}
	a.limitSilence(min(left, a.responseTimeout()))
}

// responseTimeout returns how long an endpoint may take for the head or the body of a
// response before the request is tried on another one.
func (a *attempt) responseTimeout() time.Duration {
	return max(minResponseTimeout, responseTimeoutFactor*a.route.Target)
}

// request returns the request for the endpoint, with path, query and body unchanged.
func (a *attempt) request(left time.Duration) *http.Request {
	return a.requestTo(a.gateway.Protocol.RequestHeader(a.r.Header, Forwarding{
		EndpointID: a.placement.Endpoint.ID, Workspace: a.workspaceName(), TimeLeft: left, EndpointPriority: a.endpointPriority, LastEvent: a.lastEvent,
		FetchFrom: a.fetchFrom(), Handover: a.handover(),
	}))
}

// fetchFrom returns the address of the endpoint from which the prefix of the prompt is fetched, or
// "". An endpoint that has been found to be unreachable since the placement isn't used.
func (a *attempt) fetchFrom() string {
	source := a.placement.FetchFrom()
	if source == nil || source.Paused(a.gateway.Now()) {
		return ""
	}
	return source.Addr
}

// handleNoResponse handles a failure before the response began.
func (a *attempt) handleNoResponse(ctx context.Context, err error) outcome {
	g := a.gateway
	if a.silent || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		g.Overload.Unanswered(a.placement.Endpoint)
	}
	if a.abandoned(ctx) {
		a.placement.Abandoned()
		return outcome{state: stateUnknown, reason: "no answer in time", err: err}
	}
	a.recordBreak(err)
	a.placement.Endpoint.RecordUnreachable(g.Now())
	if !isTimeout(err) {
		g.Reach.Missed(a.service, a.placement.Endpoint.ID)
	}
	g.Pool.CloseIdle(a.placement.Endpoint.Addr)
	g.Log.Debug("failed to receive response from endpoint", "request", a.meta.ID, "endpoint", a.placement.Endpoint.ID, "error", err.Error(), "reused", a.conn.Reused())
	return outcome{state: stateUnknown, reason: "connection failed", err: err}
}

// handleRefusal handles a response with which the endpoint confirms that the
// request did not run.
func (a *attempt) handleRefusal(resp *http.Response, meta ResponseMeta) outcome {
	if a.from == nil {
		a.possibleRuns--
	}
	a.conn.RecordRefusal(a.meta.ID)
	a.reusable = a.discardRefusal(resp.Body)
	if meta.WrongTarget {
		a.placement.Endpoint.RecordEnded(a.gateway.Now())
		a.placement.Endpoint.RecordUnreachable(a.gateway.Now())
		return outcome{state: stateRefused, reason: "another endpoint has the address"}
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		a.gateway.Overload.Refused(a.placement.Endpoint)
	}
	return outcome{state: stateRefused, reason: "endpoint full"}
}

const (
	// maxRefusalBytes and refusalTimeout limit how much of a refusal's body is read, and
	// for how long, in order to reuse the connection.
	maxRefusalBytes = 64 << 10
	refusalTimeout  = 50 * time.Millisecond
)

// discardRefusal reads the body of a refusal. It reports whether the body has ended.
func (a *attempt) discardRefusal(body io.Reader) bool {
	_ = a.conn.SetReadDeadline(a.gateway.Now().Add(refusalTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxRefusalBytes))
	return err == nil && n < maxRefusalBytes
}

// markRunning records that the request runs, and counts it for its workspace once.
func (a *attempt) markRunning() {
	if a.running {
		return
	}
	a.running = true
	if a.workspace != nil {
		a.gateway.Usage.Began(a.workspace.Name)
	}
}

// relay forwards the response to the caller.
func (a *attempt) relay(ctx context.Context, resp *http.Response) outcome {
	a.ownError = resp.StatusCode >= http.StatusInternalServerError
	if a.ownError && a.route.Kind != routing.Stream {
		a.placement.Endpoint.RecordFailure()
	}
	if a.isStream() && resp.StatusCode < http.StatusMultipleChoices {
		return a.relayStream(ctx, resp)
	}
	if a.headerSent {
		// The caller already has the beginning of a stream, so only further events
		// may follow.
		a.conn.DisableReuse()
		return outcome{state: stateUnknown, reason: "stream not resumed"}
	}
	return a.relayPlain(ctx, resp)
}
