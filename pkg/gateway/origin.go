package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/origin"
)

// originRetryAfter is the Retry-After of requests that resume a stream where it can't go on
// now.
const originRetryAfter = time.Second

// resumes reports whether the request takes up a stream that an earlier one began.
func (c *call) resumes() bool {
	return c.isStream() && (c.meta.Resumes != "" || c.meta.LastEvent != "")
}

// findOrigin finds the build at which a stream began that the caller takes up, and the service
// with that build. A stream goes on at no other build, and one whose build isn't known doesn't.
func (g *Gateway) findOrigin(c *call) *refusal {
	if !c.resumes() {
		return nil
	}
	build, err := g.Origins.Find(c.r.Context(), c.workspaceName(), c.meta.Resumes)
	if errors.Is(err, origin.ErrUncertain) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "not known yet which process began the stream", retryAfter: originRetryAfter}
	}
	if errors.Is(err, origin.ErrUnknown) {
		// To come back is of no use: the caller may begin the stream anew.
		return &refusal{status: http.StatusServiceUnavailable, reason: "not known which version began the stream"}
	}
	if err != nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "not found out which version began the stream", retryAfter: originRetryAfter}
	}
	c.build = build
	if !c.chooseServiceOfBuild() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no endpoint of the version that began the stream", retryAfter: originRetryAfter}
	}
	return nil
}

// chooseServiceOfBuild sets the service to one of the route's that has an endpoint with the
// stream's build. It returns false if there is none.
func (c *call) chooseServiceOfBuild() bool {
	for _, w := range c.route.Split {
		if slices.ContainsFunc(c.gateway.Endpoints.Service(w.Service), func(e *endpoints.Endpoint) bool { return e.Build() == c.build }) {
			c.service = w.Service
			return true
		}
	}
	return false
}

// knowsProcess reports whether a stream may be sent over the attempt's connection: one that goes
// on needs to know which process answers there, so that its events are of one build.
func (a *attempt) knowsProcess(ctx context.Context) bool {
	return !a.isStream() || a.build == 0 || a.gateway.Identities.Ensure(ctx, a.placement.Endpoint, a.conn.OpenedAt())
}

// recordBuild records, before the first event of an attempt is written, at which build the
// stream begins or goes on. It returns false if the events may be of another build than the
// endpoint's, as its id has been registered for another one meanwhile.
func (a *attempt) recordBuild(ctx context.Context) bool {
	if !a.firstEvent.IsZero() {
		a.findBuild()
		return true
	}
	e := a.placement.Endpoint
	known := a.build != 0 || a.identify(ctx)
	if a.gateway.Endpoints.Replaced(e) {
		return false
	}
	if known {
		a.build = e.Build()
	} else {
		a.build = endpoints.UncertainBuild
	}
	if a.route.Resumable {
		a.countBuild(known)
		a.recordOrigin()
	}
	return true
}

// findBuild finds out the build of a stream whose first event came from a process that wasn't known
// then, as the store didn't answer. The connection leads to that process for as long as it is open, so
// a later confirmation of the registration tells. It is called while the connection is open, or as it
// ends.
func (a *attempt) findBuild() {
	if a.build != endpoints.UncertainBuild || !a.route.Resumable {
		return
	}
	g := a.gateway
	e, known := g.Identities.Registered(a.placement.Endpoint, a.conn.OpenedAt())
	if !known {
		return
	}
	a.build = e.Build()
	g.Metrics.StreamBuilds.WithLabelValues(buildFoundLater).Inc()
	g.Log.Info("build of stream found out after its first event", "request", a.meta.ID, "endpoint", e.ID, "version", e.Version(), "after_ms", g.Now().Sub(a.firstEvent).Milliseconds())
	a.recordOrigin()
}

// identify reports whether the process that answers is the registered one. A stream that can't be
// resumed needs its build on no other endpoint, so the store isn't called for it.
func (a *attempt) identify(ctx context.Context) bool {
	e, openedAt := a.placement.Endpoint, a.conn.OpenedAt()
	if !a.route.Resumable {
		return a.gateway.Identities.Known(e, openedAt)
	}
	return a.gateway.Identities.Ensure(ctx, e, openedAt)
}

// countBuild counts a stream by whether its build is known at its first event.
func (a *attempt) countBuild(known bool) {
	if known {
		a.gateway.Metrics.StreamBuilds.WithLabelValues(buildKnown).Inc()
		return
	}
	a.gateway.Metrics.StreamBuilds.WithLabelValues(buildUnknown).Inc()
	a.gateway.Log.Info("stream begins at an endpoint of which the process isn't known", "request", a.meta.ID, "endpoint", a.placement.Endpoint.ID)
}

// recordOrigin records the build of a stream for requests that take it up.
func (a *attempt) recordOrigin() {
	a.gateway.Origins.Record(a.workspaceName(), a.beganWith(), a.build)
}

// logUnknownBuild logs the end of an attempt whose stream goes on nowhere, as its build isn't known.
func (a *attempt) logUnknownBuild() {
	if a.build != endpoints.UncertainBuild || !a.route.Resumable {
		return
	}
	a.gateway.Log.Info("stream of unknown build broke off", "request", a.meta.ID, "endpoint", a.placement.Endpoint.ID)
}
