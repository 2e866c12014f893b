package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/medlarsill/medlarsill/pkg/routing"
	"github.com/medlarsill/medlarsill/pkg/schedule"
)

const (
	// minRetryAfter is the least Retry-After of requests that were not placed in time,
	// before the random part is added.
	minRetryAfter = 150 * time.Millisecond
	// maxLimitedRetryAfter is the largest Retry-After of requests that are refused since the
	// limits that the endpoints announced permit none, before the random part is added.
	maxLimitedRetryAfter = time.Second
	// minTimeLeft is the time left below which a request is no longer sent.
	minTimeLeft = 5 * time.Millisecond
	// maxRefusals is the number of further endpoints that are tried after one refused
	// the request or was unreachable.
	maxRefusals = 3
)

// reasonOverShare is the reason of refusals of workspaces that ask for more than their fair share of
// a service that lacks capacity.
const reasonOverShare = "over the workspace's fair share"

// state records whether a request may have run in an attempt.
type state int

// The states of an attempt.
const (
	// stateUnsent means that the request was not sent.
	stateUnsent state = iota
	// stateRefused means that the endpoint confirmed that the request did not run.
	stateRefused
	// stateUnknown means that the request was sent and may have run.
	stateUnknown
	// stateAnswered means that the endpoint responded; the response was delivered or is
	// kept as the fallback.
	stateAnswered
)

// String returns the state's name as logs show it.
func (s state) String() string {
	return [...]string{"unsent", "refused", "unknown", "answered"}[s]
}

// outcome is the result of one attempt.
type outcome struct {
	state state
	// done is true if the final response was delivered.
	done bool
	// unreached is true if no connection to the endpoint could be opened.
	unreached bool
	// processUnknown is true if the stream may not go on at the endpoint, as which process it is
	// isn't known.
	processUnknown bool
	// retryPermitted is true if a retry was deducted from the budget already.
	retryPermitted bool
	// reason says why the attempt failed, and err is the error behind it, if there is one.
	reason string
	err    error
}

// errorText returns the text of the error behind a failed attempt, or "".
func (o outcome) errorText() string {
	if o.err == nil {
		return ""
	}
	return o.err.Error()
}

// run attempts the request until it has a final response or may not be retried.
func (c *call) run(ctx context.Context) {
	defer c.endProbe()
	g := c.gateway
	last := outcome{state: stateUnsent}
	for {
		p, err := c.place(ctx)
		if err != nil {
			c.failPlacement(ctx, err, last)
			return
		}
		if reason := c.poisoned(); reason != "" {
			p.End()
			c.choice.Release()
			c.finish(ctx, outcome{state: last.state, reason: reason})
			return
		}
		last = c.attempt(ctx, p)
		for c.moving != nil {
			last = c.continueMoved(ctx)
		}
		if last.done {
			return
		}
		c.recordFailedAttempt(p, last)
		elsewhere := last.processUnknown || last.unreached && g.Reach.CutOff(c.service)
		if elsewhere && c.forwardAdmitted(ctx) {
			return
		}
		if ctx.Err() != nil || !c.mayRetry(last) {
			if last.state == stateRefused {
				p.Refused()
			}
			c.finish(ctx, last)
			return
		}
	}
}

// recordFailedAttempt logs an attempt that failed, and keeps further ones from its endpoint.
func (c *call) recordFailedAttempt(p *schedule.Placement, last outcome) {
	c.exclude(p.Endpoint.ID)
	c.gateway.Log.Info("attempt failed", "request", c.meta.ID, "endpoint", p.Endpoint.ID, "state", last.state.String(),
		"reason", last.reason, "error", last.errorText(), "after_send_ms", c.sinceSent().Milliseconds(), "attempt", c.attempts, "left_ms", c.deadline.Sub(c.gateway.Now()).Milliseconds(),
		"last_event", c.lastEvent, "resumes", c.meta.Resumes, "version", p.Endpoint.Info().Version, "running", p.Endpoint.TotalLoad().Running, "expected_ms", p.Expected.Milliseconds(), "parts", c.sharedParts(), "content", c.content().Hash(), c.gateway.KnownState())
}

// mayRetry reports whether the request may be sent again, and if so deducts the
// retry from the budget.
func (c *call) mayRetry(last outcome) bool {
	if c.deadline.Sub(c.gateway.Now()) < minTimeLeft || c.poisoned() != "" {
		return false
	}
	switch last.state {
	case stateUnsent:
		// Nothing was sent, so the retry budget does not apply.
		return len(c.excluded) <= maxRefusals
	case stateRefused:
		return len(c.excluded) <= maxRefusals && c.gateway.Retries.Allow(c.service)
	case stateAnswered:
		return true // mayRetryFailure has already deducted the retry
	case stateUnknown:
		return c.mayRunAgain() && c.gateway.Retries.Allow(c.service)
	}
	return false
}

// failPlacement finishes a call that could not be placed on an endpoint.
func (c *call) failPlacement(ctx context.Context, err error, last outcome) {
	var busy *schedule.BusyError
	if errors.As(err, &busy) {
		c.expectedWait = busy.RetryAfter
	}
	if busy != nil && busy.Limited {
		// Other instances may be permitted to use the endpoints sooner.
		c.expectedWait = min(c.expectedWait, maxLimitedRetryAfter)
	}
	switch {
	case last.reason != "":
	case busy != nil && busy.OverShare:
		last.reason = reasonOverShare
	case busy != nil && busy.Limited:
		last.reason = "no endpoint takes requests now"
	case errors.Is(err, schedule.ErrBusy):
		last.reason = "no place in time"
	}
	c.finish(ctx, last)
}

// forwardAdmitted is forward for a call that the allowance may have admitted. If it has not run
// here, a peer that takes it over charges it.
func (c *call) forwardAdmitted(ctx context.Context) (done bool) {
	c.refundable = c.possibleRuns == 0
	done = true // if forwarding ends the call by a panic, too
	defer func() {
		if c.refundable && (done || c.possibleRuns > 0) {
			c.refund()
		}
	}()
	done = c.forward(ctx)
	return done
}

// refund returns what the call was charged.
func (c *call) refund() {
	if c.charged {
		c.charged = false
		c.gateway.Allowance.Refund(c.workspace, c.cost())
	}
}

// finish responds to a call whose attempts have all failed. The status depends on
// whether the request may have run.
func (c *call) finish(ctx context.Context, last outcome) {
	if c.possibleRuns == 0 {
		c.refund()
	}
	if c.r.Context().Err() != nil {
		c.abortCallerLeft()
		return
	}
	if c.headerSent {
		c.abort(last.reason)
	}
	if c.fallback != nil {
		c.deliver(c.fallback)
		return
	}
	if c.possibleRuns > 0 {
		status := http.StatusBadGateway
		if ctx.Err() != nil {
			status = http.StatusGatewayTimeout
		}
		c.refuse(&refusal{status: status, reason: "unknown whether the request ran: " + last.reason})
		return
	}
	reason := last.reason
	if reason == "" {
		reason = "not sent in time"
	}
	c.refuse(&refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: c.retryAfter()})
}

// retryAfter returns the time after which the caller of a refused request may
// retry: the expected wait for a slot, plus a random part of up to the same length
// that spreads the retries.
func (c *call) retryAfter() time.Duration {
	delay := max(minRetryAfter, c.expectedWait)
	return delay + time.Duration(c.gateway.Random()*float64(delay))
}

// abortCallerLeft ends a call whose caller has disconnected.
func (c *call) abortCallerLeft() {
	g := c.gateway
	g.Metrics.Refused.WithLabelValues("caller left").Inc()
	g.Log.Info("caller disconnected", "request", c.meta.ID, "route", c.routeName(), "attempts", c.attempts,
		"after_ms", g.Now().Sub(c.arrived).Milliseconds())
	panic(http.ErrAbortHandler)
}

// isStream reports whether the response is an event stream.
func (c *call) isStream() bool { return c.route.Kind == routing.Stream }
