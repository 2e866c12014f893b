package gateway

import (
	"encoding/json"
	"net/http"
	"time"
)

// refusal is an error response made by the gateway.
type refusal struct {
	status int
	// reason is the error text in the response body, the metric and the log.
	reason string
	// retryAfter is the time after which the caller may retry; 0 if a retry is of no use.
	retryAfter time.Duration
	// close ends the connection after the response, since the request was not read.
	close bool
}

// errorBody is the body of a refusal.
type errorBody struct {
	Error string `json:"error"`
}

// refuse writes a refusal to the caller.
func (c *call) refuse(f *refusal) {
	g := c.gateway
	g.Metrics.Refused.WithLabelValues(f.reason).Inc()
	g.Log.Info("refused", "request", c.meta.ID, "status", f.status, "reason", f.reason,
		"route", c.routeName(), "workspace", c.workspaceName(), "attempts", c.attempts,
		"retry_after_ms", f.retryAfter.Milliseconds(), "after_ms", g.Now().Sub(c.arrived).Milliseconds(), g.KnownState())
	body, err := json.Marshal(errorBody{Error: f.reason})
	if err != nil {
		g.Log.Error("failed to encode refusal", "request", c.meta.ID, "error", err.Error())
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
		g.Log.Debug("failed to send refusal to caller", "request", c.meta.ID, "error", err.Error())
	}
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// abort closes the caller's connection, so that the caller does not take a
// truncated response for a complete one.
func (c *call) abort(reason string) {
	c.gateway.Metrics.Refused.WithLabelValues("cut: " + reason).Inc()
	c.gateway.Log.Warn("response aborted", "request", c.meta.ID, "reason", reason, "route", c.routeName(),
		"attempts", c.attempts, "last_event", c.lastEvent, "after_ms", c.gateway.Now().Sub(c.arrived).Milliseconds(), c.gateway.KnownState())
	panic(http.ErrAbortHandler)
}
