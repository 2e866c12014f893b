package gateway

import (
	"encoding/json"
	"net/http"
	"time"
)

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	// reason is the error that the caller reads and the log shows.
	reason string
	// retryAfter is when the caller may come back; 0 if coming back is of no use.
	retryAfter time.Duration
	// close ends the connection after the answer: the request was not read.
	close bool
}

// errorBody is the body of a refusal.
type errorBody struct {
	Error string `json:"error"`
}

// refuse answers the call with a refusal.
func (c *call) refuse(f *refusal) {
	g := c.gateway
	g.Metrics.Refused.WithLabelValues(f.reason).Inc()
	g.Log.Info("refused", "request", c.meta.ID, "status", f.status, "reason", f.reason,
		"route", c.routeName(), "workspace", c.workspaceName(), "attempts", c.attempts,
		"retry_after_ms", f.retryAfter.Milliseconds(), "after_ms", g.Now().Sub(c.arrived).Milliseconds(), g.Beliefs())
	body, err := json.Marshal(errorBody{Error: f.reason})
	if err != nil {
		g.Log.Error("refusal not encoded", "request", c.meta.ID, "error", err.Error())
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	if f.retryAfter > 0 {
		h.Set("Retry-After", g.Protocol.RetryAfter(f.retryAfter))
	}
	if f.close {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(f.status)
	if _, err := c.w.Write(body); err != nil {
		g.Log.Debug("refusal not delivered", "request", c.meta.ID, "error", err.Error())
	}
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// abort ends the caller's connection so that a partial answer can't look whole.
func (c *call) abort(reason string) {
	c.gateway.Metrics.Refused.WithLabelValues("cut: " + reason).Inc()
	c.gateway.Log.Warn("answer cut", "request", c.meta.ID, "reason", reason, "route", c.routeName(),
		"attempts", c.attempts, "last_event", c.lastEvent, "after_ms", c.gateway.Now().Sub(c.arrived).Milliseconds(), c.gateway.Beliefs())
	panic(http.ErrAbortHandler)
}
