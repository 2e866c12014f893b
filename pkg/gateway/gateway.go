package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/backoff"
	"github.com/medlarsill/medlarsill/pkg/connbudget"
	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/kvmove"
	"github.com/medlarsill/medlarsill/pkg/overload"
	"github.com/medlarsill/medlarsill/pkg/ratelimit"
	"github.com/medlarsill/medlarsill/pkg/routing"
	"github.com/medlarsill/medlarsill/pkg/schedule"
	"github.com/medlarsill/medlarsill/pkg/upstream"
)

// Configuration provides the routing configuration.
type Configuration interface {
	// Current returns the current configuration, or nil before the first was read.
	Current() *routing.Table
}

// Placer chooses endpoints for requests.
type Placer interface {
	// Place waits for a free slot on an endpoint and places the request there.
	Place(ctx context.Context, d schedule.Request) (*schedule.Placement, error)
	// TryPlace places a request that was placed before without waiting, or returns nil.
	TryPlace(d schedule.Request) *schedule.Placement
	// PlaceAt places a request on an endpoint on which it has run before, or returns nil.
	PlaceAt(e *endpoints.Endpoint, d schedule.Request) *schedule.Placement
}

// Allowance enforces the rate limits of workspaces.
type Allowance interface {
	// Take charges a request's cost, or returns the time after which the caller may
	// retry. Requests that have missed their latency objective (late) are refused
	// before those that can still meet it.
	Take(w *routing.Workspace, cost float64, late bool) (wait time.Duration, ok bool)
	// TakeResumed is Take for a request that takes a stream up, which was charged when it began.
	TakeResumed(w *routing.Workspace, cost float64, late bool) (wait time.Duration, ok bool)
	// Refund returns the cost of a request that did not run.
	Refund(w *routing.Workspace, cost float64)
}

// Retries limits how many requests are sent more than once.
type Retries interface {
	// RecordFirstSend records the first send of a request to a service.
	RecordFirstSend(service string)
	// Allow reports whether the retry budget of a service permits one more send, and
	// if so deducts it.
	Allow(service string) bool
	// Available reports the same, and deducts nothing.
	Available(service string) bool
}

// Usage counts the requests that ran.
type Usage interface {
	// Began counts a request of a workspace that began to run.
	Began(workspace string)
}

// RateLimits keeps the rate limits that endpoints announce.
type RateLimits interface {
	// Sent records that a request was sent to an endpoint, repeated if not for the first time.
	Sent(k endpoints.Key, repeated bool)
	// Observe records what an endpoint's answer says of its limit, to a request that was
	// sent at the given time.
	Observe(k endpoints.Key, sentAt time.Time, a ratelimit.Announcement)
}

// Backoffs keeps the times until which endpoints want no requests.
type Backoffs interface {
	// Sent records that a request was sent to an endpoint, repeated if not for the first time.
	Sent(k endpoints.Key, repeated bool)
	// Observe records what an endpoint's answer says of the time for which it wants no requests.
	Observe(k endpoints.Key, r backoff.Request)
}

// Overload keeps endpoints up that are sensitive to overload.
type Overload interface {
	// Observe records what an endpoint's answer says of its sensitivity, to a request that
	// was sent at the given time.
	Observe(e *endpoints.Endpoint, sentAt time.Time, a overload.Announcement)
	// Refused records that an endpoint had no room for a request, which still is part of its load.
	Refused(e *endpoints.Endpoint)
	// Unanswered records that a request, which still is part of its load, got no answer from an
	// endpoint.
	Unanswered(e *endpoints.Endpoint)
}

// Endpoints holds the registered endpoints.
type Endpoints interface {
	// MarkLeaving marks an endpoint as accepting no new requests, for good. It reports
	// whether that is news.
	MarkLeaving(e *endpoints.Endpoint) bool
	// MarkKeyLeaving does the same for a process that may be registered later.
	MarkKeyLeaving(k endpoints.Key)
	// ByKey returns the endpoint of a process, if it is registered.
	ByKey(k endpoints.Key) (*endpoints.Endpoint, bool)
	// Service returns the endpoints of a service that accept new requests.
	Service(name string) []*endpoints.Endpoint
	// Replaced reports whether an endpoint's id is registered for another build than its own.
	Replaced(e *endpoints.Endpoint) bool
}

// Identities tells which process answers at an endpoint's address.
type Identities interface {
	// Known reports whether it is the registered one, over a connection that was opened at a time
	// and is still open. Ensure returns the same, and reads the registration if necessary.
	Known(e *endpoints.Endpoint, openedAt time.Time) bool
	Ensure(ctx context.Context, e *endpoints.Endpoint, openedAt time.Time) bool
	// Registered returns the endpoint whose registered process it is: the given one, or the one that
	// has been registered in its place since.
	Registered(e *endpoints.Endpoint, openedAt time.Time) (*endpoints.Endpoint, bool)
}

// Origins knows at which builds streams began.
type Origins interface {
	// Record records the build at which the stream of a caller's request began or goes on.
	Record(caller, id string, b endpoints.Build)
	// Find returns the build at which the stream of a caller's request began. An empty id stands
	// for a request that isn't known. It returns origin.ErrUnknown if that isn't known and won't
	// be later, or another error if it could not be found out now.
	Find(ctx context.Context, caller, id string) (endpoints.Build, error)
}

// Options holds the dependencies of a Gateway. All fields but BodyBytes, Moves and Rollouts are required.
type Options struct {
	Protocol  Protocol
	Config    Configuration
	Placer    Placer
	Allowance Allowance
	Retries   Retries
	Usage     Usage
	Endpoints Endpoints
	// RateLimits keeps the endpoints' rate limits.
	RateLimits RateLimits
	// Backoffs keeps the times until which endpoints want no requests.
	Backoffs Backoffs
	// Overload keeps endpoints up that are sensitive to overload.
	Overload Overload
	// Poison keeps requests that crash endpoints away from them.
	Poison PoisonGuard
	// Origins knows at which builds streams began, and Identities which process an endpoint is.
	Origins    Origins
	Identities Identities
	Pool       *upstream.Pool
	// Rollouts chooses the versions of endpoints; nil permits all.
	Rollouts Rollouts
	// Moves decides which streams are moved from endpoints that are about to stop; nil moves none.
	Moves *kvmove.Planner
	// BodyBytes is the memory that the bodies of all requests may take; 0 means no limit.
	BodyBytes int64
	// ResponseBytes is the memory that unfinished responses may take before they are passed on; 0 means
	// no limit.
	ResponseBytes int64
	// Reach knows which services this instance doesn't reach. Their requests are forwarded to
	// Peers over PeerPool.
	Reach    Reach
	Peers    Peers
	PeerPool *upstream.Pool
	Metrics  *Metrics
	Log      *slog.Logger
	// KnownState returns the versions and ages of the state that this process works
	// with, for the log lines of failed requests.
	KnownState func() slog.Attr
	// IdleConns returns the number of idle connections to keep to an endpoint of a service.
	IdleConns func(s *routing.Service, e *endpoints.Endpoint) int
	Now       func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
}

// Gateway is an http.Handler that forwards requests to endpoints.
type Gateway struct {
	Options
	retryDetector retryDetector
	durations     durations
	bodies        bodyRoom
	// responses is the memory of responses that aren't passed on yet.
	responses *connbudget.Heads
	// largeResponses holds the names of the routes that have had a complete response
	// larger than maxBufferedBytes.
	largeResponses sync.Map
	// stopsAt is when the requests in progress are ended; nil unless the gateway is stopping.
	stopsAt atomic.Pointer[time.Time]
	active  atomic.Int64
	// life ends, by end, when no request may go on.
	life context.Context
	end  context.CancelFunc
}

// New returns a gateway.
func New(o Options) *Gateway {
	life, end := context.WithCancel(context.Background())
	return &Gateway{Options: o, bodies: bodyRoom{limit: o.BodyBytes}, responses: newResponseMemory(o.ResponseBytes), life: life, end: end}
}

// newPartial returns what counts the memory of a response that arrives on a connection.
func (g *Gateway) newPartial(conn net.Conn) *partialResponse {
	return &partialResponse{memory: g.responses, conn: conn}
}

// EndRequests ends all requests, those in progress as at their deadline: each gets an answer that
// says whether it may have run, unless a part of its answer was sent.
func (g *Gateway) EndRequests() { g.end() }

// Stop makes the gateway close each caller's connection after its next response, and refuse
// requests that are not expected to have a response before end.
func (g *Gateway) Stop(end time.Time) { g.stopsAt.Store(&end) }

// stopping reports whether the gateway is about to stop.
func (g *Gateway) stopping() bool { return g.stopsAt.Load() != nil }

// Active returns the number of requests in progress.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// filter is one step before the first attempt. It sets fields of the call, or
// returns a refusal.
type filter func(c *call) *refusal

// ServeHTTP implements http.Handler. It handles a caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.serve(w, r, nil) }

// serve handles a caller's request, or one that a peer forwards.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, f *forwarding) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.stopping() {
		w.Header().Set("Connection", "close")
	}
	c := &call{gateway: g, w: w, r: r, arrived: g.arrival(r.Context()), endpointPriority: defaultEndpointPriority, forwarded: f != nil}
	defer func() { g.bodies.release(c.bodyRoom) }()
	if !c.pass(g.findRoute, g.findWorkspace, g.readBody, g.checkStop, g.checkPoison) {
		return
	}
	c.applyForwarding(f)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(g.life, cancel)()
	if g.Reach.CutOff(c.service) {
		if c.forwarded {
			c.endProbe()
			notTaken(w, notTakenCutOff)
			return
		}
		if c.forward(ctx) {
			c.endProbe()
			return
		}
	}
	// A stream that a peer has begun has passed these filters there, and can't be refused any more.
	if !c.headerSent && !c.pass(g.findOrigin, g.chargeAllowance) {
		return
	}
	c.run(ctx)
}

// pass applies filters. It returns false if one has refused the call.
func (c *call) pass(filters ...filter) bool {
	for _, f := range filters {
		if refused := f(c); refused != nil {
			c.endProbe()
			c.refuse(refused)
			return false
		}
	}
	return true
}
