package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/medlarsill/medlarsill/pkg/reqtarget"
	"github.com/medlarsill/medlarsill/pkg/routing"
)

const (
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 60 * time.Second
	// bodyTimeout limits the time for reading a request body.
	bodyTimeout = 10 * time.Second
	// unconfiguredRetryAfter is the Retry-After of a process without configuration.
	unconfiguredRetryAfter = 500 * time.Millisecond
	// stopRetryAfter is the Retry-After of requests that a stopping process refuses: another
	// instance can serve them at once.
	stopRetryAfter = 10 * time.Millisecond
	// answerMargin is the least time between the expected end of a request and that of a stopping
	// process, in which its response is written.
	answerMargin = 100 * time.Millisecond
)

// findRoute determines the route, service and deadline of the request.
func (g *Gateway) findRoute(c *call) *refusal {
	c.meta = g.Protocol.Request(c.r.Header)
	c.lastEvent = c.meta.LastEvent
	c.table = g.Config.Current()
	if c.table == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration", retryAfter: unconfiguredRetryAfter}
	}
	if limit := c.table.Limits.HeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large", close: true}
	}
	target, err := reqtarget.Parse(c.r.Method, c.r.RequestURI)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "invalid request target"}
	}
	c.target = target
	route, ok := c.table.Match(c.r.Host, target)
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	if c.meta.ID == "" {
		return &refusal{status: http.StatusBadRequest, reason: "no request id"}
	}
	c.route = route
	c.maxRuns = max(route.MaxAttempts, 1)
	elapsed := time.Duration(0)
	if !c.forwarded {
		elapsed = g.retryDetector.elapsed(route.Name, c.meta.Deadline)
	}
	g.Metrics.Arrived.WithLabelValues(strconv.FormatBool(elapsed > 0)).Inc()
	c.firstSent = c.arrived.Add(-elapsed)
	c.priority = route.Priority
	c.service = route.PickService(g.Random())
	c.deadline = c.arrived.Add(timeout(route, c.meta))
	return nil
}

// headerBytes returns the approximate size of a request's head on the wire.
func headerBytes(r *http.Request) int {
	const separators = 4 // a colon, a space and the end of the line
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// timeout returns the shorter of the route's timeout and the caller's.
func timeout(route *routing.Route, m Meta) time.Duration {
	t := route.Timeout
	if t <= 0 {
		t = defaultTimeout
	}
	if m.Deadline > 0 {
		t = min(t, m.Deadline)
	}
	return t
}

// findWorkspace finds the workspace of the caller's key.
func (g *Gateway) findWorkspace(c *call) *refusal {
	if !c.table.NeedsKeys() {
		return nil
	}
	w, ok := c.table.Workspace(c.meta.Key)
	if !ok || c.meta.Key == "" {
		if c.route.NoAuth {
			return nil
		}
		return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	c.workspace = w
	if w.Priority != nil {
		c.priority = *w.Priority
	}
	return nil
}

// readBody reads the request body within the limits on size and time.
func (g *Gateway) readBody(c *call) *refusal {
	if c.r.ContentLength == 0 {
		return nil
	}
	limit := c.table.Limits.BodyBytes
	if limit > 0 && c.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", close: true}
	}
	rc := http.NewResponseController(c.w)
	if err := rc.SetReadDeadline(g.Now().Add(bodyTimeout)); err != nil {
		g.Log.Debug("failed to set read deadline for request body", "request", c.meta.ID, "error", err.Error())
	}
	body, err := c.readLimited(limit)
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	var timeoutErr interface{ Timeout() bool }
	switch {
	case err == nil:
		c.body = body
		return nil
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", close: true}
	case errors.Is(err, errNoRoom):
		return &refusal{status: http.StatusServiceUnavailable, reason: "no room for the body", retryAfter: bodyRetryAfter, close: true}
	case errors.As(err, &timeoutErr) && timeoutErr.Timeout():
		return &refusal{status: http.StatusRequestTimeout, reason: "body too slow", close: true}
	}
	return &refusal{status: http.StatusBadRequest, reason: "unreadable body", close: true}
}

// readLimited reads the request's body of at most limit bytes (0 means no limit), for which it takes
// room until the call ends. It returns errNoRoom if there isn't enough, before it reads a body
// of known length.
func (c *call) readLimited(limit int64) ([]byte, error) {
	body := c.r.Body
	if limit > 0 {
		body = http.MaxBytesReader(nil, body, limit)
	}
	if length := c.r.ContentLength; length > 0 {
		if !c.gateway.bodies.reserve(length) {
			return nil, errNoRoom
		}
		c.bodyRoom = length
		buf := make([]byte, length)
		_, err := io.ReadFull(body, buf)
		return buf, err
	}
	r := &reservingReader{Reader: body, room: &c.gateway.bodies}
	defer func() { c.bodyRoom = r.reserved }()
	return io.ReadAll(r)
}

// checkStop refuses a request that a stopping process is not expected to finish: it has not run,
// and its caller still has the time to try another instance.
func (g *Gateway) checkStop(c *call) *refusal {
	end := g.stopsAt.Load()
	if end == nil || !g.expectedEnd(c).After(end.Add(-answerMargin)) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "instance stops before the request would end", retryAfter: stopRetryAfter}
}

// expectedEnd returns when the request is expected to have a response, at its deadline at the
// latest, and then if no request of its route was answered yet.
func (g *Gateway) expectedEnd(c *call) time.Time {
	duration, known := g.durations.expected(c.route.Name)
	end := g.Now().Add(duration)
	if !known || end.After(c.deadline) {
		return c.deadline
	}
	return end
}

// chargeAllowance charges the request to its workspace's allowance, unless a peer has done so.
func (g *Gateway) chargeAllowance(c *call) *refusal {
	if c.workspace == nil || c.chargedByPeer || c.possibleRuns > 0 {
		return nil
	}
	wait, ok := g.takeAllowance(c)
	c.charged = ok
	if ok {
		return nil
	}
	return &refusal{status: http.StatusTooManyRequests, reason: "allowance used up", retryAfter: wait}
}

// takeAllowance takes the request's cost from the allowance. Before a stream isn't taken up, it finds
// out whether the allowance is reserved for instances that have ended.
func (g *Gateway) takeAllowance(c *call) (wait time.Duration, ok bool) {
	if !c.resumes() {
		return g.Allowance.Take(c.workspace, c.cost(), c.late())
	}
	if wait, ok = g.Allowance.TakeResumed(c.workspace, c.cost(), c.late()); ok {
		return wait, true
	}
	g.Peers.FindEnded(c.r.Context())
	return g.Allowance.TakeResumed(c.workspace, c.cost(), c.late())
}
