package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxAnswerBytes bounds the part of a plain answer that is held back until it is whole.
const maxAnswerBytes = 256 << 10

// relayPlain passes an answer on once it is whole, so that one that breaks off
// can still be replaced. The rest of a large one is passed on as it comes.
func (a *attempt) relayPlain(ctx context.Context, resp *http.Response) outcome {
	g := a.gateway
	a.place.AnswerStarted()
	a.begin()
	_ = a.conn.SetReadDeadline(time.Time{})
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return a.brokenOff(ctx)
	}
	answer := &plainAnswer{status: resp.StatusCode, header: g.Protocol.Back(resp.Header), body: head, endpoint: a.place.Endpoint.ID}
	if len(head) > maxAnswerBytes {
		answer.rest = resp.Body
	}
	if resp.StatusCode >= http.StatusInternalServerError && answer.rest == nil && a.mayReplace() {
		a.whole = true
		a.spare = answer
		return outcome{state: answered, reason: "endpoint's own error"}
	}
	if resp.StatusCode < http.StatusInternalServerError {
		a.place.Endpoint.RecordSuccess()
	}
	a.deliver(answer)
	a.whole = true
	return outcome{state: answered, done: true}
}

// plainAnswer is an endpoint's answer that is at hand.
type plainAnswer struct {
	status   int
	header   http.Header
	body     []byte
	endpoint string
	// rest holds the part of a large body that is still to come; nil if there is none.
	rest io.Reader
}

// deliver writes an endpoint's answer to the caller.
func (c *call) deliver(p *plainAnswer) {
	copyHeader(c.w.Header(), p.header)
	c.w.WriteHeader(p.status)
	c.started = true
	if _, err := c.w.Write(p.body); err != nil {
		c.gone()
	}
	if p.rest != nil {
		if _, err := io.Copy(c.w, p.rest); err != nil {
			c.abort("answer broke off")
		}
	}
	c.finished(p.status, p.endpoint)
}

// mayReplace tells whether an endpoint's failure may be replaced by a further attempt.
func (a *attempt) mayReplace() bool {
	return a.route.Repeatable() && a.ran < a.route.MaxAttempts && a.gateway.Retries.Allow(a.service)
}

// brokenOff takes an answer that ended early and of which the caller has nothing.
func (a *attempt) brokenOff(ctx context.Context) outcome {
	if ctx.Err() == nil {
		a.place.Endpoint.RecordFailure(a.gateway.Now())
	}
	return outcome{state: unknown, reason: "answer broke off"}
}

// finished records the end of a call whose answer came from an endpoint.
func (c *call) finished(status int, endpoint string) {
	g := c.gateway
	took := g.Now().Sub(c.arrived)
	g.Metrics.Answered.WithLabelValues(c.route.Kind.String()).Observe(took.Seconds())
	level := slog.LevelDebug
	if c.attempts > 1 || sampled(c.meta.ID) {
		level = slog.LevelInfo
	}
	g.Log.Log(context.Background(), level, "answered", "request", c.meta.ID, "status", status, "endpoint", endpoint,
		"attempts", c.attempts, "after_ms", took.Milliseconds())
}

// sampleEvery is the number of answered requests of which one is logged.
const sampleEvery = 32

// sampled tells whether an answered request is logged; all processes choose the same.
func sampled(id string) bool { return xxhash.Sum64String(id)%sampleEvery == 0 }

// copyHeader fills the caller's header; no type is guessed where the endpoint gave none.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}
