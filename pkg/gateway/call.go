package gateway

import (
	"net/http"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/poison"
	"github.com/medlarsill/medlarsill/pkg/reqtarget"
	"github.com/medlarsill/medlarsill/pkg/rollout"
	"github.com/medlarsill/medlarsill/pkg/routing"
	"github.com/medlarsill/medlarsill/pkg/schedule"
)

// defaultEndpointPriority leaves the request's priority at the endpoint unset.
const defaultEndpointPriority = -1

// call is the state of one request while it is processed.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	// firstSent is the estimated time at which the caller first sent the request;
	// it is earlier than arrived if the caller seems to retry.
	firstSent time.Time

	// Set by the filters.
	meta             Meta
	target           reqtarget.Target
	table            *routing.Table
	route            *routing.Route
	workspace        *routing.Workspace
	service          string
	body             []byte
	bodyRoom         int64 // bytes for which room was taken
	deadline         time.Time
	priority         int
	endpointPriority int

	// traits holds what may be why the request crashes endpoints. probe is true if it may be
	// sent once though it is known to crash them.
	traits poison.Request
	probe  bool

	// maxRuns is the number of endpoints on which the request may run.
	maxRuns int
	// charged is true once the call was charged to its workspace's allowance here, chargedByPeer if
	// the peer that forwards it has done so.
	charged, chargedByPeer bool
	// refundable is true if the charge is returned once a peer has taken the call over.
	refundable bool
	// forwarded is true if a peer has forwarded the request, and repeated if it may have run before.
	forwarded, repeated bool

	// attempts is the number of times that the request was sent, possibleRuns the
	// number of those in which it may have run.
	attempts     int
	possibleRuns int
	// open is the last attempt that stays open while another one is made; nil if there is none.
	open *attempt
	// moving is the mover of the attempt whose stream goes on at another endpoint; nil if there is none.
	moving *mover
	// lastSent is when the request was last sent; zero if it wasn't.
	lastSent time.Time
	excluded map[string]bool
	// lastEvent is the id of the latest event that the caller has received.
	lastEvent string
	// build is the build at which the stream began, and the only one at which it may go on; 0
	// before its first event.
	build endpoints.Build
	// choice says which versions the next attempt may use.
	choice rollout.Choice
	// expectedWait is the expected time until an endpoint has a free slot; set if the
	// call could not be placed in time.
	expectedWait time.Duration
	// headerSent is true once the response header was written to the caller.
	headerSent bool
	// running is true once the request is known to run.
	running bool
	// fallback is an endpoint's error response, returned if no further attempt
	// succeeds.
	fallback *bufferedResponse
}

// placementRequest returns the scheduler's request for the call.
func (c *call) placementRequest() schedule.Request {
	return schedule.Request{
		Service: c.service, Route: c.route.Name, Workspace: c.workspaceName(), EventTokens: c.eventTokens(), MaxEventGap: c.route.GapTarget, Priority: c.priority, Arrived: c.firstSent, Target: c.route.Target, Deadline: c.deadline,
		Prompt: c.meta.Prompt, Output: c.meta.Output, OutputHint: c.meta.OutputHint, Parts: c.meta.Prefix, Avoid: c.excluded, Build: c.build,
		Retry: len(c.excluded) > 0, Permits: c.permits(), Ahead: c.choice.Candidate(),
	}
}

// eventTokens returns the number of tokens in one event of the response; 0 if the
// service has no engine.
func (c *call) eventTokens() int {
	s, ok := c.table.Service(c.service)
	if !ok || s.Engine == nil {
		return 0
	}
	return max(1, s.Engine.EventTokens)
}

// parts returns the ids of the prompt's parts.
func (c *call) parts() []string {
	var ids []string
	for _, p := range c.meta.Prefix {
		ids = append(ids, p.ID)
	}
	return ids
}

// sharedParts returns the ids of the prompt's parts that other requests may have too: all
// but the last one.
func (c *call) sharedParts() []string {
	ids := c.parts()
	return ids[:max(0, len(ids)-1)]
}

// content returns what the request asks of an endpoint.
func (c *call) content() poison.Content {
	return poison.Content{Method: c.r.Method, Host: c.r.Host, URI: c.target.String(), Caller: c.workspaceName(), Body: c.body}
}

// sinceSent returns the time since the request was last sent; 0 if it wasn't.
func (c *call) sinceSent() time.Duration {
	if c.lastSent.IsZero() {
		return 0
	}
	return c.gateway.Now().Sub(c.lastSent)
}

// firstSend reports whether the request was never sent to an endpoint, as far as is known.
func (c *call) firstSend() bool { return c.attempts == 0 && !c.repeated }

// exclude keeps further attempts of the call from using an endpoint.
func (c *call) exclude(id string) {
	if c.excluded == nil {
		c.excluded = make(map[string]bool)
	}
	c.excluded[id] = true
}

// late reports whether the latency objective had passed when the request arrived.
func (c *call) late() bool { return c.arrived.Sub(c.firstSent) >= c.route.Target }

func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// cost returns the amount that is charged to the workspace's allowance: tokens if
// the workspace is limited by tokens, 1 otherwise.
func (c *call) cost() float64 {
	if c.workspace == nil || !c.workspace.ByTokens {
		return 1
	}
	if !c.meta.TokensKnown {
		return c.workspace.PlainTokens
	}
	return float64(c.meta.Prompt + c.meta.Output)
}
