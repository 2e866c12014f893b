package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// stallTimeoutFactor is the number of times the route's GapTarget after which a stream
// without an event counts as stalled, if it may be resumed.
const stallTimeoutFactor = 5

// relayStream forwards complete events as they arrive.
func (a *attempt) relayStream(ctx context.Context, resp *http.Response) outcome {
	events := continuation{last: a.lastEvent, resumes: a.headerSent || a.lastEvent != ""}
	if events.resumes && !isEventStream(resp) {
		return a.failResumption()
	}
	left, err := splitEvents(resp.Body, a.gateway.newPartial(a.conn), &events, func(accepted []byte) bool { return a.writeEvents(ctx, resp, accepted) })
	switch a.endMove(ctx, resp, err, err == nil && left == 0 && !a.firstEvent.IsZero()) {
	case endingMoves:
		return outcome{state: stateUnknown, reason: "stream moves"}
	case endingBroken:
		return a.failStream(ctx, io.ErrUnexpectedEOF)
	case endingUsual:
	}
	switch {
	case errors.Is(err, errEvents):
		return outcome{state: stateUnknown, reason: "events don't continue the stream"}
	case err == nil && left == 0 && !a.firstEvent.IsZero():
		return a.finishStream(resp)
	case err == nil && events.resumes && !events.identified && !endsWithConnection(resp):
		return a.failResumption()
	case err == nil:
		err = io.ErrUnexpectedEOF
	}
	return a.failStream(ctx, err)
}

// failResumption handles a response to a resumed stream that is whole but doesn't continue it. No
// response without an event does: where the stream has ended, its endpoint says so after the last.
func (a *attempt) failResumption() outcome {
	a.conn.DisableReuse()
	a.placement.Endpoint.RecordFailure()
	return outcome{state: stateUnknown, reason: "stream not resumed"}
}

// writeEvents writes complete events to the caller and flushes them. It reports whether they
// are of the build that began the stream.
func (a *attempt) writeEvents(ctx context.Context, resp *http.Response, events []byte) bool {
	_, last, count := eventIDs(events)
	if !a.recordBuild(ctx) {
		return false
	}
	a.takeOver()
	a.startStream(resp, a.placement.Endpoint.Key())
	a.markRunning()
	a.recordAttached()
	a.recordEvent()
	a.answering()
	a.placement.EventsReceived(count)
	if last != "" {
		a.lastEvent = last
	}
	a.allowMove(events)
	a.flush(events)
	a.setEventDeadline()
	return true
}

// startStream writes the header of an endpoint's response to the caller, unless that was done.
func (c *call) startStream(resp *http.Response, k endpoints.Key) {
	if c.headerSent {
		return
	}
	h := c.w.Header()
	copyHeader(h, c.gateway.Protocol.ResponseHeader(resp.Header))
	h.Del("Content-Length")
	c.nameEndpoint(k)
	c.w.WriteHeader(resp.StatusCode)
	c.headerSent = true
	c.gateway.Metrics.FirstEvent.Observe(c.gateway.Now().Sub(c.arrived).Seconds())
}

// flush writes complete events to the caller at once.
func (c *call) flush(events []byte) {
	_, err := c.w.Write(events)
	if err == nil {
		err = http.NewResponseController(c.w).Flush()
	}
	if err != nil {
		c.abortCallerLeft()
	}
}

// setEventDeadline limits the wait for the next event if the stream may be resumed
// on another endpoint.
func (a *attempt) setEventDeadline() {
	if !a.route.Repeatable() || a.route.GapTarget <= 0 || a.possibleRuns >= a.maxRuns {
		a.waitWithoutLimit()
		return
	}
	a.limitSilence(stallTimeoutFactor * a.route.GapTarget)
}

// finishStream handles a stream that ended normally.
func (a *attempt) finishStream(resp *http.Response) outcome {
	a.reusable = true
	a.recordCompletion(resp)
	a.placement.Completed()
	a.placement.Endpoint.RecordSuccess()
	a.recordResponse(resp.StatusCode, a.placement.Endpoint.ID)
	return outcome{state: stateAnswered, done: true}
}

// failStream handles a stream that ended early.
func (a *attempt) failStream(ctx context.Context, err error) outcome {
	a.findBuild()
	a.logUnknownBuild()
	if !a.abandoned(ctx) {
		a.recordBreak(err)
		a.placement.Endpoint.RecordUnreachable(a.gateway.Now())
	}
	return outcome{state: stateUnknown, reason: "stream broke off", err: err}
}
