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
	// busyPause is the least time after which a caller may come back if no place was
	// found in time; a random part of the same length is added.
	busyPause = 150 * time.Millisecond
	// minLeft is the least time for which a request is still sent.
	minLeft = 5 * time.Millisecond
	// maxRefusals bounds the endpoints that one request is offered to in vain.
	maxRefusals = 3
)

// state is what is known of a request after an attempt.
type state int

// The states of an attempt.
const (
	// unsent requests never left this process.
	unsent state = iota
	// refused requests were sent, and the endpoint promises that they didn't run.
	refused
	// unknown requests were sent and may have run.
	unknown
	// answered requests ran: an answer of the endpoint is with the caller, or at hand.
	answered
)

// String returns the state's name as logs show it.
func (s state) String() string {
	return [...]string{"unsent", "refused", "unknown", "answered"}[s]
}

// outcome is the end of one attempt.
type outcome struct {
	state state
	// done is true if the caller has its final answer.
	done bool
	// reason tells what went wrong.
	reason string
}

// run makes attempts until one gives the final answer or none may follow.
func (c *call) run(ctx context.Context) {
	g := c.gateway
	last := outcome{state: unsent}
	for {
		p, err := g.Placer.Place(ctx, c.demand())
		if err != nil {
			c.unplaced(ctx, err, last)
			return
		}
		last = c.attempt(ctx, p)
		if last.done {
			return
		}
		c.avoidEndpoint(p.Endpoint.ID)
		g.Log.Info("attempt failed", "request", c.meta.ID, "endpoint", p.Endpoint.ID, "state", last.state.String(),
			"reason", last.reason, "attempt", c.attempts, "left_ms", c.deadline.Sub(g.Now()).Milliseconds(),
			"last_event", c.lastEvent, "running", p.Endpoint.TotalLoad().Running, "expected_ms", p.Expected.Milliseconds(), g.Beliefs())
		if ctx.Err() != nil || !c.mayRepeat(last) {
			c.finish(ctx, last)
			return
		}
	}
}

// mayRepeat tells whether the request may be sent once more, and takes the
// send out of the budget.
func (c *call) mayRepeat(last outcome) bool {
	if c.deadline.Sub(c.gateway.Now()) < minLeft {
		return false
	}
	switch last.state {
	case unsent:
		// The endpoint saw nothing, so there is nothing that the budget bounds.
		return len(c.avoid) <= maxRefusals
	case refused:
		return len(c.avoid) <= maxRefusals && c.gateway.Retries.Allow(c.service)
	case answered:
		return true // the endpoint's failure is at hand, and its replacement is paid for
	case unknown:
		return c.route.Repeatable() && c.ran < max(c.route.MaxAttempts, 1) && c.gateway.Retries.Allow(c.service)
	}
	return false
}

// unplaced ends a call for which no place was found.
func (c *call) unplaced(ctx context.Context, err error, last outcome) {
	if errors.Is(err, schedule.ErrBusy) && last.reason == "" {
		last.reason = "no place in time"
	}
	var busy *schedule.BusyError
	if errors.As(err, &busy) {
		c.backlog = busy.RetryAfter
	}
	c.finish(ctx, last)
}

// finish answers a call whose attempts have ended without an answer. What may
// be said follows from what may have run.
func (c *call) finish(ctx context.Context, last outcome) {
	if c.ran == 0 && c.workspace != nil {
		c.gateway.Allowance.Refund(c.workspace, c.cost())
	}
	if c.r.Context().Err() != nil {
		c.gone()
		return
	}
	if c.started {
		c.abort(last.reason)
	}
	if c.spare != nil {
		c.deliver(c.spare)
		return
	}
	if c.ran > 0 {
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
	c.refuse(&refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: c.pause()})
}

// pause is when a caller may come back after no place was found: once what waits at
// the endpoints has been read, spread over as long again.
func (c *call) pause() time.Duration {
	pause := max(busyPause, c.backlog)
	return pause + time.Duration(c.gateway.Random()*float64(pause))
}

// gone ends a call whose caller has left.
func (c *call) gone() {
	g := c.gateway
	g.Metrics.Refused.WithLabelValues("caller left").Inc()
	g.Log.Info("caller left", "request", c.meta.ID, "route", c.routeName(), "attempts", c.attempts,
		"after_ms", g.Now().Sub(c.arrived).Milliseconds())
	panic(http.ErrAbortHandler)
}

// isStream tells whether the answer is a series of events.
func (c *call) isStream() bool { return c.route.Kind == routing.Stream }
