package gateway

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/poison"
)

// PoisonGuard keeps requests that crash endpoints away from them.
type PoisonGuard interface {
	// Check decides on a request before it is sent.
	Check(r poison.Request) poison.Verdict
	// Blocked decides on a request that was sent before.
	Blocked(r poison.Request) poison.Verdict
	// MayResend reports whether a request that broke off may be sent again.
	MayResend(r poison.Request) bool
	// ProbeNotSent records that a request that was to be a probe was not sent.
	ProbeNotSent(r poison.Request)
	// Survived records that an endpoint has answered a request or goes on with its answer.
	Survived(r poison.Request)
	// BrokeOff records that the connection of a request broke before that.
	BrokeOff(e *endpoints.Endpoint, r poison.Request)
	// Closed records that the answer to a request ended with its connection, so that it may
	// be complete or not.
	Closed(e *endpoints.Endpoint, r poison.Request)
}

// survivalTime is the time after its first event at which a stream shows that its request
// didn't crash the endpoint.
const survivalTime = 500 * time.Millisecond

// Reasons of refusals of requests that crash endpoints.
const (
	reasonPoisonPart    = "a part of the prompt crashes endpoints"
	reasonPoisonRequest = "the request crashes endpoints"
)

// poisonReason returns the reason for a verdict that refuses a request.
func poisonReason(v poison.Verdict) string {
	if v.Whole {
		return reasonPoisonRequest
	}
	return reasonPoisonPart
}

// checkPoison refuses a request that crashes endpoints.
func (g *Gateway) checkPoison(c *call) *refusal {
	c.traits = poison.NewRequest(c.content(), c.parts())
	v := g.Poison.Check(c.traits)
	c.probe = v.Probe
	if !v.Refused {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: poisonReason(v), retryAfter: v.RetryAfter}
}

// poisoned returns why the request must not be sent any more since it crashes endpoints, or "".
// A probe may be sent once.
func (c *call) poisoned() string {
	if c.probe && c.attempts == 0 {
		return ""
	}
	v := c.gateway.Poison.Blocked(c.traits)
	if v.Refused {
		c.expectedWait = v.RetryAfter
	}
	if v.Refused || c.probe {
		return poisonReason(v)
	}
	return ""
}

// endProbe reports a probe that was not sent.
func (c *call) endProbe() {
	if c.probe && c.attempts == 0 {
		c.gateway.Poison.ProbeNotSent(c.traits)
	}
}

// recordSurvival records, once, that the endpoint survived the beginning of the answer.
func (a *attempt) recordSurvival() {
	if a.survived {
		return
	}
	a.survived = true
	a.gateway.Poison.Survived(a.traits)
}

// recordCompletion records that the answer is complete as far as its framing tells.
func (a *attempt) recordCompletion(resp *http.Response) {
	if a.survived {
		return
	}
	if endsWithConnection(resp) {
		a.gateway.Poison.Closed(a.placement.Endpoint, a.traits)
		return
	}
	a.recordSurvival()
}

// endsWithConnection reports whether only the end of its connection marks the end of a
// response: it has neither a length nor chunks.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// recordEvent records that events of the answer have arrived.
func (a *attempt) recordEvent() {
	now := a.gateway.Now()
	if a.firstEvent.IsZero() {
		a.firstEvent = now
	}
	if now.Sub(a.firstEvent) >= survivalTime {
		a.recordSurvival()
	}
}

// isTimeout reports whether a limit on time has ended a read or write.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// recordBreak records that the connection broke with an error before the answer was
// complete. A timeout isn't one.
func (a *attempt) recordBreak(err error) {
	if err == nil || isTimeout(err) {
		return
	}
	a.placement.Endpoint.RecordEnded(a.gateway.Now())
	if !a.firstEvent.IsZero() && a.gateway.Now().Sub(a.firstEvent) >= survivalTime {
		a.recordSurvival()
	}
	if !a.survived {
		a.gateway.Poison.BrokeOff(a.placement.Endpoint, a.traits)
	}
}
