package gateway

import (
	"net/http"
	"time"

	"github.com/medlarsill/medlarsill/pkg/routing"
	"github.com/medlarsill/medlarsill/pkg/schedule"
)

// usualUrgency leaves the rank at the endpoint unset.
const usualUrgency = -1

// call is one request on its way through the filters and attempts.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	// first is when the caller sent the request for the first time, as far as
	// its patience tells.
	first time.Time

	// Filled in by the filters.
	meta      Meta
	table     *routing.Table
	route     *routing.Route
	workspace *routing.Workspace
	service   string
	body      []byte
	deadline  time.Time
	priority  int
	urgency   int

	// attempts counts the sends, ran the endpoints that may have run the request.
	attempts int
	ran      int
	avoid    map[string]bool
	// lastEvent is the id of the newest event that the caller has.
	lastEvent string
	// backlog is the time until a place is expected, if none was found in time.
	backlog time.Duration
	// started is true once the head of the answer has gone to the caller.
	started bool
	// began is true once the request is known to run.
	began bool
	// spare is an endpoint's failure that further attempts may replace.
	spare *plainAnswer
}

// demand describes the call to the scheduler.
func (c *call) demand() schedule.Request {
	return schedule.Request{
		Service: c.service, Route: c.route.Name, EventTokens: c.eventTokens(), MaxEventGap: c.route.GapTarget, Priority: c.priority, Arrived: c.first, Target: c.route.Target, Deadline: c.deadline,
		Prompt: c.meta.Prompt, Output: c.meta.Output, OutputHint: c.meta.OutputHint, Parts: c.meta.Prefix, Avoid: c.avoid,
		Retry: len(c.avoid) > 0,
	}
}

// eventTokens is the number of tokens in one event of the answer; 0 for plain calls.
func (c *call) eventTokens() int {
	s, ok := c.table.Service(c.service)
	if !ok || s.Engine == nil {
		return 0
	}
	return max(1, s.Engine.EventTokens)
}

// avoidEndpoint keeps further attempts away from an endpoint.
func (c *call) avoidEndpoint(id string) {
	if c.avoid == nil {
		c.avoid = make(map[string]bool)
	}
	c.avoid[id] = true
}

// late tells whether the latency objective has passed already.
func (c *call) late() bool { return c.arrived.Sub(c.first) >= c.route.Target }

func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// cost is what the call takes from its workspace's allowance.
func (c *call) cost() float64 {
	if c.workspace == nil || !c.workspace.ByTokens {
		return 1
	}
	if !c.meta.Counted {
		return c.workspace.PlainTokens
	}
	return float64(c.meta.Prompt + c.meta.Output)
}
