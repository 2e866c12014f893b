package gateway

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/poison"
)

// PoisonGuard keeps requests with parts that crash endpoints away from them.
type PoisonGuard interface {
	// Check decides on a request with the given shared parts before it is sent.
	Check(parts []poison.Part) poison.Verdict
	// Blocked reports whether such a request must not be sent any more, and the time after
	// which it may be tried again.
	Blocked(parts []poison.Part) (retryAfter time.Duration, blocked bool)
	// ProbeNotSent records that a request that was to be a probe was not sent.
	ProbeNotSent(parts []poison.Part)
	// Survived records that an endpoint has answered such a request or goes on with its answer.
	Survived(parts []poison.Part)
	// BrokeOff records that the connection of such a request broke before that.
	BrokeOff(e *endpoints.Endpoint, parts []poison.Part)
	// Closed records that the answer to such a request ended with its connection, so that
	// it may be complete or not.
	Closed(e *endpoints.Endpoint, parts []poison.Part)
}

// survivalTime is the time after its first event at which a stream shows that its request
// didn't crash the endpoint.
const survivalTime = 500 * time.Millisecond

// reasonPoison is the reason of refusals of requests with poison parts.
const reasonPoison = "a part of the prompt crashes endpoints"

// checkPoison refuses a request with parts that crash endpoints.
func (g *Gateway) checkPoison(c *call) *refusal {
	for _, id := range c.sharedParts() {
		c.parts = append(c.parts, poison.PartOf(id))
	}
	if len(c.parts) == 0 {
		return nil
	}
	v := g.Poison.Check(c.parts)
	c.probe = v.Probe
	if !v.Refused {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonPoison, retryAfter: v.RetryAfter}
}

// poisoned reports whether the request must not be sent any more since a part of its prompt
// crashes endpoints. A probe may be sent once.
func (c *call) poisoned() bool {
	if len(c.parts) == 0 || c.probe && c.attempts == 0 {
		return false
	}
	retryAfter, blocked := c.gateway.Poison.Blocked(c.parts)
	if blocked {
		c.expectedWait = retryAfter
	}
	return blocked || c.probe
}

// endProbe reports a probe that was not sent.
func (c *call) endProbe() {
	if c.probe && c.attempts == 0 {
		c.gateway.Poison.ProbeNotSent(c.parts)
	}
}

// recordSurvival records, once, that the endpoint survived the beginning of the answer.
func (a *attempt) recordSurvival() {
	if a.survived || len(a.parts) == 0 {
		return
	}
	a.survived = true
	a.gateway.Poison.Survived(a.parts)
}

// recordCompletion records that the answer is complete as far as its framing tells.
func (a *attempt) recordCompletion(resp *http.Response) {
	if len(a.parts) == 0 || a.survived {
		return
	}
	if endsWithConnection(resp) {
		a.gateway.Poison.Closed(a.placement.Endpoint, a.parts)
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

// recordBreak records that the connection broke with an error before the answer was
// complete. A timeout isn't one.
func (a *attempt) recordBreak(err error) {
	var netErr net.Error
	if err == nil || errors.As(err, &netErr) && netErr.Timeout() {
		return
	}
	if !a.firstEvent.IsZero() && a.gateway.Now().Sub(a.firstEvent) >= survivalTime {
		a.recordSurvival()
	}
	if !a.survived && len(a.parts) > 0 {
		a.gateway.Poison.BrokeOff(a.placement.Endpoint, a.parts)
	}
}
