package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// maxBufferedBytes limits how much of a response that is not a stream is buffered
// before it is forwarded.
const maxBufferedBytes = 256 << 10

// relayPlain forwards a response once it is complete, so that the request can be
// retried if the response is cut short. The part of a large response beyond
// maxBufferedBytes, or for which there is no memory, is forwarded as it arrives.
func (a *attempt) relayPlain(ctx context.Context, resp *http.Response) outcome {
	g := a.gateway
	if resp.StatusCode >= http.StatusBadRequest {
		a.placement.AnswerIsError()
	}
	a.answering()
	a.markRunning()
	a.setBodyDeadline(resp)
	partial := g.newPartial(a.conn)
	defer partial.release()
	head, whole, err := partial.readHead(resp.Body, maxBufferedBytes)
	if err != nil {
		return a.handleTruncated(ctx, err)
	}
	response := &bufferedResponse{status: resp.StatusCode, header: g.Protocol.ResponseHeader(resp.Header), body: head, endpoint: a.placement.Endpoint.ID, key: a.placement.Endpoint.Key()}
	if !whole {
		if a.mayBeEndless(resp) {
			a.placement.Endpoint.RecordFailure()
			return outcome{state: stateUnknown, reason: "answer without end"}
		}
		response.rest = resp.Body
		a.waitWithoutLimit()
	}
	if resp.StatusCode >= http.StatusInternalServerError && response.rest == nil && a.mayRetryFailure() {
		a.reusable = true
		a.fallback = response
		return outcome{state: stateAnswered, reason: "endpoint's own error"}
	}
	if resp.StatusCode < http.StatusInternalServerError {
		a.placement.Endpoint.RecordSuccess()
		a.recordCompletion(resp)
	}
	a.deliver(response)
	a.reusable = true
	return outcome{state: stateAnswered, done: true}
}

// setBodyDeadline limits the wait for the end of a response that may be endless, and for
// no other.
func (a *attempt) setBodyDeadline(resp *http.Response) {
	if !a.mayBeEndless(resp) {
		a.waitWithoutLimit()
		return
	}
	a.limitSilence(a.responseTimeout())
}

// mayBeEndless reports whether a response is not known to end soon, and should be tried on
// another endpoint if it doesn't: its length is unknown or large, the request may be
// repeated, and no response of the route was that large before.
func (a *attempt) mayBeEndless(resp *http.Response) bool {
	if resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedBytes {
		return false
	}
	if !a.route.Repeatable() || a.possibleRuns >= a.maxRuns {
		return false
	}
	_, large := a.gateway.largeResponses.Load(a.route.Name)
	return !large
}

// bufferedResponse is a response that was read from an endpoint.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// endpoint names, in log lines, what has answered. key is that of the endpoint; zero if a peer has
	// answered.
	endpoint string
	key      endpoints.Key
	// rest is the unread part of a large body; nil if there is none.
	rest io.Reader
}

// deliver writes an endpoint's response to the caller.
func (c *call) deliver(p *bufferedResponse) {
	c.takeOver()
	copyHeader(c.w.Header(), p.header)
	c.nameEndpoint(p.key)
	c.w.WriteHeader(p.status)
	c.headerSent = true
	if _, err := c.w.Write(p.body); err != nil {
		c.abortCallerLeft()
	}
	if p.rest != nil {
		if _, err := io.Copy(c.w, p.rest); err != nil {
			c.abort("answer broke off")
		}
		c.gateway.largeResponses.Store(c.route.Name, true)
	}
	c.recordResponse(p.status, p.endpoint)
}

// mayRetryFailure reports whether a request that an endpoint answered with an
// error may be retried, and if so deducts the retry from the budget. If an earlier attempt is
// open, that one goes on, and deducts its next successor itself.
func (a *attempt) mayRetryFailure() bool {
	if !a.route.Repeatable() || a.possibleRuns >= a.maxRuns {
		return false
	}
	if a.call.open != nil {
		return a.gateway.Retries.Available(a.service)
	}
	return a.gateway.Retries.Allow(a.service)
}

// handleTruncated handles a response that ended early, before any of it was
// forwarded.
func (a *attempt) handleTruncated(ctx context.Context, err error) outcome {
	if !a.abandoned(ctx) {
		a.recordBreak(err)
		a.placement.Endpoint.RecordFailure()
	}
	return outcome{state: stateUnknown, reason: "answer broke off", err: err}
}

// recordResponse records in metrics and log that an endpoint's response was relayed.
func (c *call) recordResponse(status int, endpoint string) {
	g := c.gateway
	took := g.Now().Sub(c.arrived)
	g.durations.record(c.route.Name, took)
	g.Metrics.Answered.WithLabelValues(c.route.Kind.String()).Observe(took.Seconds())
	level := slog.LevelDebug
	if c.attempts > 1 || sampled(c.meta.ID) {
		level = slog.LevelInfo
	}
	g.Log.Log(context.Background(), level, "answered", "request", c.meta.ID, "resumes", c.meta.Resumes, "status", status, "endpoint", endpoint,
		"attempts", c.attempts, "after_ms", took.Milliseconds())
}

// One in logSampleInterval answered requests is logged.
const logSampleInterval = 32

// sampled reports whether an answered request is logged. It depends on the id only,
// so that all processes make the same choice.
func sampled(id string) bool { return xxhash.Sum64String(id)%logSampleInterval == 0 }

// copyHeader copies a response header. Without a Content-Type from the endpoint
// it keeps net/http from guessing one.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	removeForwarding(to)
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}
