package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/medlarsill/medlarsill/pkg/routing"
	"github.com/medlarsill/medlarsill/pkg/schedule"
	"github.com/medlarsill/medlarsill/pkg/upstream"
)

// Bounds of the silence of an endpoint before its answer begins.
const (
	// silenceTargets is the number of latency objectives after which a request
	// that may be repeated is tried elsewhere.
	silenceTargets = 3
	// minSilence is the least such time.
	minSilence = 300 * time.Millisecond
)

// attempt is one send of a call to one endpoint.
type attempt struct {
	*call
	place *schedule.Placement
	conn  *upstream.Conn
	// whole is true once the answer was read to its end.
	whole bool
	sent  time.Time
}

// attempt sends the request to the placed endpoint and relays its answer.
func (c *call) attempt(ctx context.Context, p *schedule.Placement) outcome {
	defer p.End()
	g := c.gateway
	conn, err := g.Pool.Get(ctx, p.Endpoint.Addr)
	if err != nil {
		if ctx.Err() == nil {
			p.Endpoint.RecordUnreachable(g.Now())
		}
		return outcome{state: unsent, reason: "not reached"}
	}
	a := &attempt{call: c, place: p, conn: conn}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer func() {
		untouched := stop()
		g.Pool.Put(p.Endpoint.Addr, conn, a.whole && untouched, a.idleConns())
	}()
	return a.exchange(ctx)
}

// idleConns is the number of idle connections to keep to the endpoint.
func (a *attempt) idleConns() int {
	s, ok := a.table.Service(a.service)
	if !ok {
		return 1
	}
	return a.gateway.IdleConns(s, a.place.Endpoint)
}

// exchange sends the request and takes the head of the answer.
func (a *attempt) exchange(ctx context.Context) outcome {
	g := a.gateway
	left := a.deadline.Sub(g.Now())
	if left < minLeft {
		a.whole = true // nothing was sent: the connection is as good as before
		return outcome{state: unsent, reason: "deadline passed"}
	}
	if a.attempts == 0 {
		g.Retries.First(a.service)
	}
	a.attempts++
	a.ran++
	a.sent = g.Now()
	a.await(left)
	resp, err := a.conn.Do(a.request(left), a.isOwn)
	if err != nil {
		return a.noAnswer(ctx, err)
	}
	meta := g.Protocol.Answer(resp)
	if meta.NotRun {
		return a.refusedBy(resp, meta)
	}
	if !meta.Proven && resp.StatusCode < http.StatusMultipleChoices {
		a.conn.DisableReuse()
		a.place.Endpoint.RecordFailure(g.Now())
		return outcome{state: unknown, reason: "answer without proof"}
	}
	return a.relay(ctx, resp)
}

// isOwn tells whether an answer belongs to the request. Refusals may lack the id.
func (a *attempt) isOwn(resp *http.Response) bool {
	id := a.gateway.Protocol.Answer(resp).RequestID
	return id == a.meta.ID || id == "" && resp.StatusCode >= http.StatusBadRequest
}

// await bounds the silence until the answer begins, where the request may be
// tried elsewhere. The end of the call's context bounds it anyway.
func (a *attempt) await(left time.Duration) {
	if !a.route.Repeatable() || a.ran >= a.route.MaxAttempts {
		_ = a.conn.SetReadDeadline(time.Time{})
		return
	}
	wait := min(left, max(minSilence, silenceTargets*a.route.Target))
	_ = a.conn.SetReadDeadline(a.gateway.Now().Add(wait))
}

// request builds the request for the endpoint; path, query and body are unchanged.
func (a *attempt) request(left time.Duration) *http.Request {
	path, query, hasQuery := strings.Cut(a.r.RequestURI, "?")
	req := &http.Request{
		Method: a.r.Method, Host: a.r.Host, ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: a.r.Host, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""},
		Header: a.gateway.Protocol.Forward(a.r.Header, Forwarding{
			EndpointID: a.place.Endpoint.ID, Workspace: a.workspaceName(), Left: left, Urgency: a.urgency, LastEvent: a.lastEvent,
		}),
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""} // keeps the library from adding its own
	}
	if len(a.body) > 0 || a.r.ContentLength != 0 {
		req.Body = io.NopCloser(bytes.NewReader(a.body))
		req.ContentLength = int64(len(a.body))
	} else if a.r.Method == http.MethodPost || a.r.Method == http.MethodPut || a.r.Method == http.MethodPatch {
		req.Body = http.NoBody
	}
	return req
}

// noAnswer takes a failure before the answer began.
func (a *attempt) noAnswer(ctx context.Context, err error) outcome {
	g := a.gateway
	if ctx.Err() != nil {
		a.place.Abandoned()
		return outcome{state: unknown, reason: "no answer in time"}
	}
	a.place.Endpoint.RecordUnreachable(g.Now())
	g.Pool.CloseIdle(a.place.Endpoint.Addr)
	g.Log.Debug("no answer", "request", a.meta.ID, "endpoint", a.place.Endpoint.ID, "error", err.Error(), "reused", a.conn.Reused())
	return outcome{state: unknown, reason: "connection failed"}
}

// refusedBy takes an endpoint's promise that it didn't run the request.
func (a *attempt) refusedBy(resp *http.Response, meta AnswerMeta) outcome {
	a.ran--
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBytes))
	a.whole = err == nil
	if meta.WrongTarget {
		a.place.Endpoint.RecordUnreachable(a.gateway.Now())
		return outcome{state: refused, reason: "another endpoint has the address"}
	}
	return outcome{state: refused, reason: "endpoint full"}
}

// maxRefusalBytes bounds the body of a refusal that is read so that its connection can be kept.
const maxRefusalBytes = 64 << 10

// began counts the request as running, once.
func (a *attempt) begin() {
	if a.began {
		return
	}
	a.began = true
	if a.workspace != nil {
		a.gateway.Usage.Began(a.workspace.Name)
	}
}

// relay passes the answer on to the caller.
func (a *attempt) relay(ctx context.Context, resp *http.Response) outcome {
	if resp.StatusCode >= http.StatusInternalServerError && a.route.Kind != routing.Stream {
		a.place.Endpoint.RecordFailure(a.gateway.Now())
	}
	if a.isStream() && resp.StatusCode < http.StatusMultipleChoices {
		return a.relayStream(ctx, resp)
	}
	if a.started {
		// The caller has the beginning of a stream: nothing but its events may follow.
		a.conn.DisableReuse()
		return outcome{state: unknown, reason: "stream not resumed"}
	}
	return a.relayPlain(ctx, resp)
}
