package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/routing"
	"github.com/medlarsill/medlarsill/pkg/schedule"
	"github.com/medlarsill/medlarsill/pkg/upstream"
)

// Configuration gives the configuration in force, or nil while none is known.
type Configuration interface {
	Current() *routing.Table
}

// Placer finds places for requests.
type Placer interface {
	Place(ctx context.Context, d schedule.Request) (*schedule.Placement, error)
}

// Allowance counts requests against the limits of their workspaces.
type Allowance interface {
	// Take counts a request of a cost, or tells when to come back. Requests
	// that are late already give way to those that can be on time.
	Take(w *routing.Workspace, cost float64, late bool) (wait time.Duration, ok bool)
	// Refund takes back the cost of a request that did not run.
	Refund(w *routing.Workspace, cost float64)
}

// Retries bounds the requests that are sent more than once.
type Retries interface {
	// First counts the first send of a request to a service.
	First(service string)
	// Allow takes one more send out of the budget of a service.
	Allow(service string) bool
}

// Usage counts the requests that began to run.
type Usage interface {
	Began(workspace string)
}

// Options holds what a gateway is made of. All fields are needed.
type Options struct {
	Protocol  Protocol
	Config    Configuration
	Placer    Placer
	Allowance Allowance
	Retries   Retries
	Usage     Usage
	Pool      *upstream.Pool
	Metrics   *Metrics
	Log       *slog.Logger
	// Beliefs tells what this process goes by and how old that is, for the log
	// lines of failed requests.
	Beliefs func() slog.Attr
	// IdleConns is the number of idle connections that are kept to an endpoint of a service.
	IdleConns func(s *routing.Service, e *endpoints.Endpoint) int
	Now       func() time.Time
	// Random returns numbers from 0 to below 1.
	Random func() float64
}

// Gateway is an http.Handler that passes requests on to endpoints.
type Gateway struct {
	Options
	patience patience
	stopping atomic.Bool
	active   atomic.Int64
}

// New returns a gateway.
func New(o Options) *Gateway { return &Gateway{Options: o} }

// Stop makes the gateway close each caller's connection after its next answer.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Active returns the number of requests under way.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// filter is one stage before the attempts. It fills in the call, or refuses it.
type filter func(c *call) *refusal

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{gateway: g, w: w, r: r, arrived: g.Now(), urgency: usualUrgency}
	for _, f := range []filter{g.findRoute, g.findWorkspace, g.readBody, g.countAllowance} {
		if refused := f(c); refused != nil {
			c.refuse(refused)
			return
		}
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.run(ctx)
}
