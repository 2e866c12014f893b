package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/upstream"
)

// maxForwards is the number of peers that are asked to take a request over.
const maxForwards = 3

// peerIdleConns is the number of idle connections to keep to a peer.
const peerIdleConns = 16

// Reach knows which services this instance doesn't reach.
type Reach interface {
	// Reached records that an endpoint of a service has answered, Missed that one could not be
	// reached.
	Reached(service string)
	Missed(service, id string)
	// CutOff reports whether this instance reaches none of the endpoints of a service.
	CutOff(service string) bool
}

// Peers knows the other instances.
type Peers interface {
	// Reaching returns the addresses of the reachable ready peers that don't say that the service
	// is cut off.
	Reaching(service string) []string
	// FindEnded finds out which instances have ended; it returns when this is known, or the
	// context ends.
	FindEnded(ctx context.Context)
}

// Results of forwarding a request, as the metric shows them.
const (
	forwardAnswered    = "answered"
	forwardNotTaken    = "not taken"
	forwardUnreachable = "unreachable"
	forwardUnknown     = "unknown"
)

// forward has a peer process the call, as this instance reaches no endpoint of the service. It
// returns false if no peer has taken it over; the call may go on then. Otherwise the call is
// finished.
func (c *call) forward(ctx context.Context) bool {
	if !c.mayForward() {
		return false
	}
	last, taken := c.forwardToPeers(ctx)
	if taken || !c.beganElsewhere() || c.learnBuild(ctx) {
		return taken
	}
	c.finish(ctx, last)
	return true
}

// beganElsewhere reports whether a peer has begun the stream, at a build that this instance doesn't
// know.
func (c *call) beganElsewhere() bool { return c.headerSent && c.build == 0 }

// learnBuild finds out at which build a peer has begun the stream, so that it can go on here. It returns
// false if that isn't known, or no endpoint has the build.
func (c *call) learnBuild(ctx context.Context) bool {
	build, err := c.gateway.Origins.Find(ctx, c.workspaceName(), c.beganWith())
	if err != nil {
		c.gateway.Log.Info("not known at which build the peer began the stream", "request", c.meta.ID, "error", err.Error())
		return false
	}
	c.build = build
	c.running = true // the peer has counted it
	return c.chooseServiceOfBuild()
}

// beganWith returns the id of the request that began the stream.
func (c *call) beganWith() string {
	if c.meta.Resumes != "" {
		return c.meta.Resumes
	}
	return c.meta.ID
}

// forwardToPeers has one of some peers process the call. It reports whether the call is finished,
// and otherwise the last outcome.
func (c *call) forwardToPeers(ctx context.Context) (last outcome, done bool) {
	peers := c.gateway.Peers.Reaching(c.service)
	for range min(maxForwards, len(peers)) {
		i := min(int(c.gateway.Random()*float64(len(peers))), len(peers)-1)
		last = c.forwardTo(ctx, peers[i])
		peers = slices.Delete(peers, i, i+1)
		if last.done {
			return last, true
		}
		if last.state == stateUnknown && (ctx.Err() != nil || !last.retryPermitted && !c.mayRetry(last)) {
			c.finish(ctx, last)
			return last, true
		}
	}
	return last, false
}

// mayForward reports whether a peer may take the call over: it is a caller's own, there is time,
// and one more run is permitted.
func (c *call) mayForward() bool {
	if c.forwarded || c.deadline.Sub(c.gateway.Now()) < minTimeLeft {
		return false
	}
	return c.possibleRuns == 0 || c.route.Repeatable() && c.possibleRuns < c.maxRuns && c.resumable()
}

// forwardTo sends the request to a peer and relays its response.
func (c *call) forwardTo(ctx context.Context, addr string) outcome {
	g := c.gateway
	conn, err := g.PeerPool.Get(ctx, addr)
	if err != nil {
		g.Metrics.Forwarded.WithLabelValues(forwardUnreachable).Inc()
		return outcome{state: stateUnsent, reason: "peer not reached", err: err}
	}
	f := &forwardAttempt{call: c, conn: conn, addr: addr}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer func() {
		stopped := stop()
		g.PeerPool.Put(addr, conn, f.complete && stopped, peerIdleConns)
	}()
	last, result := f.exchange()
	g.Metrics.Forwarded.WithLabelValues(result).Inc()
	if !last.done {
		g.Log.Info("request not forwarded", "request", c.meta.ID, "peer", addr, "state", last.state.String(), "reason", last.reason, "error", last.errorText(), "last_event", c.lastEvent)
	}
	return last
}

// forwardAttempt is the state of one attempt to have a peer process a call.
type forwardAttempt struct {
	*call
	conn *upstream.Conn
	addr string
	// complete is true once the response was read to its end.
	complete bool
	// retryPermitted is true once a retry was deducted from the budget since the peer was silent.
	retryPermitted bool
}

// exchange sends the request and relays the response. It also returns the result for the metric.
func (f *forwardAttempt) exchange() (outcome, string) {
	g := f.gateway
	runs := f.grantRuns()
	req := f.request(forwarding{
		configVersion: f.table.Version, timeLeft: f.deadline.Sub(g.Now()), elapsed: g.Now().Sub(f.firstSent),
		maxRuns: runs, repeated: f.possibleRuns > 0, charged: f.charged && !f.refundable, counted: f.running || f.headerSent,
	})
	f.possibleRuns += runs
	f.lastSent = g.Now()
	f.setResponseDeadline()
	resp, err := f.conn.Do(req, func(*http.Response) bool { return true })
	if err != nil {
		return outcome{state: stateUnknown, reason: "peer failed", err: err, retryPermitted: f.retryPermitted}, forwardUnknown
	}
	if reason := resp.Header.Get(headerNotTaken); reason != "" {
		f.possibleRuns -= runs
		_, err := io.Copy(io.Discard, resp.Body)
		f.complete = err == nil
		return outcome{state: stateUnsent, reason: "not taken by peer: " + reason}, forwardNotTaken
	}
	f.observeForwarded(resp)
	last := f.relay(resp)
	if !last.done {
		return last, forwardUnknown
	}
	return last, forwardAnswered
}

// grantRuns returns the number of runs that are permitted to the peer. One is kept back, if there
// are several, for the case that the peer fails.
func (f *forwardAttempt) grantRuns() int { return max(1, f.maxRuns-f.possibleRuns-1) }

// setResponseDeadline limits the wait for the response if another peer may process the request.
func (f *forwardAttempt) setResponseDeadline() {
	// An error shows in the next read.
	if !f.route.Repeatable() || f.possibleRuns >= f.maxRuns {
		_ = f.conn.SetReadDeadline(time.Time{})
		return
	}
	limit := max(minResponseTimeout, 2*responseTimeoutFactor*f.route.Target)
	_ = f.conn.SetReadLimit(f.gateway.Now().Add(limit), f.endSilence)
}

// endSilence is called when the wait for the response has reached its limit. It returns the time
// at which to decide again, or the zero time if there is another peer and a retry is permitted.
func (f *forwardAttempt) endSilence() time.Time {
	others := slices.ContainsFunc(f.gateway.Peers.Reaching(f.service), func(addr string) bool { return addr != f.addr })
	f.retryPermitted = others && f.mayRetry(outcome{state: stateUnknown})
	if f.retryPermitted {
		return time.Time{}
	}
	return f.gateway.Now().Add(successorInterval)
}

// request returns the request for the peer: the caller's own, with what the peer has to know.
func (f *forwardAttempt) request(told forwarding) *http.Request {
	resumes := f.meta.Resumes
	if f.headerSent {
		resumes = f.beganWith()
	}
	req := f.requestTo(f.gateway.Protocol.PeerHeader(f.r.Header, f.lastEvent, resumes))
	told.set(req.Header)
	return req
}

// relay forwards the peer's response to the caller.
func (f *forwardAttempt) relay(resp *http.Response) outcome {
	if f.isStream() && resp.StatusCode < http.StatusMultipleChoices {
		return f.relayStream(resp)
	}
	if f.headerSent {
		// The caller already has the beginning of a stream, so only further events may follow.
		return outcome{state: stateUnknown, reason: "stream not resumed"}
	}
	_ = f.conn.SetReadDeadline(time.Time{})
	partial := f.gateway.newPartial(f.conn)
	defer partial.release()
	head, whole, err := partial.readHead(resp.Body, maxBufferedBytes)
	if err != nil {
		return outcome{state: stateUnknown, reason: "answer broke off", err: err}
	}
	response := &bufferedResponse{status: resp.StatusCode, header: f.gateway.Protocol.ResponseHeader(resp.Header), body: head, endpoint: f.addr}
	if !whole {
		response.rest = resp.Body
	}
	f.deliver(response)
	f.complete = true
	return outcome{state: stateAnswered, done: true}
}

// relayStream forwards complete events as they arrive.
func (f *forwardAttempt) relayStream(resp *http.Response) outcome {
	// An error shows in the next read.
	_ = f.conn.SetReadDeadline(time.Time{})
	events := continuation{last: f.lastEvent, resumes: f.headerSent || f.lastEvent != ""}
	if events.resumes && !isEventStream(resp) {
		return outcome{state: stateUnknown, reason: "stream not resumed"}
	}
	left, err := splitEvents(resp.Body, f.gateway.newPartial(f.conn), &events, func(accepted []byte) bool {
		f.writeEvents(resp, accepted)
		return true
	})
	continued := f.headerSent && (events.identified || !events.resumes)
	if err != nil || left > 0 || !continued {
		return outcome{state: stateUnknown, reason: "stream broke off", err: err}
	}
	f.complete = true
	f.recordResponse(resp.StatusCode, f.addr)
	return outcome{state: stateAnswered, done: true}
}

// writeEvents writes complete events to the caller and flushes them.
func (f *forwardAttempt) writeEvents(resp *http.Response, events []byte) {
	f.startStream(resp, endpoints.Key{}) // this instance forwards none for a peer
	if _, last, _ := eventIDs(events); last != "" {
		f.lastEvent = last
	}
	f.flush(events)
}

// requestTo returns the caller's request with other headers; target and body are unchanged.
func (c *call) requestTo(h http.Header) *http.Request {
	req := &http.Request{
		Method: c.r.Method, Host: c.r.Host, ProtoMajor: 1, ProtoMinor: 1, Header: h, RequestURI: c.target.String(), URL: &url.URL{},
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // net/http would add its own otherwise
	}
	if len(c.body) > 0 || c.r.ContentLength != 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
		req.ContentLength = int64(len(c.body))
	} else if c.r.Method == http.MethodPost || c.r.Method == http.MethodPut || c.r.Method == http.MethodPatch {
		req.Body = http.NoBody
	}
	return req
}
