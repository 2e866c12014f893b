// Package entry implements the HTTP API for callers. It connects the stages of
// the request pipeline: identify, admit, place, dispatch, relay. A flight is a
// model request in progress together with its answer.
package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/admit"
	"github.com/medlarsill/medlarsill/pkg/apierror"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/dispatch"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/flight"
	"github.com/medlarsill/medlarsill/pkg/forward"
	"github.com/medlarsill/medlarsill/pkg/handover"
	"github.com/medlarsill/medlarsill/pkg/identify"
	"github.com/medlarsill/medlarsill/pkg/place"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Limits on callers' requests and connections.
const (
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes = 1 << 20
	// MaxHeaderBytes is the largest request header.
	MaxHeaderBytes = 32 << 10
	// MaxRequestIDBytes is the largest request id that a caller may choose.
	MaxRequestIDBytes = 128
	// HeaderTimeout bounds the time that a caller takes to send the header.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout bounds the time that a caller takes to send the body.
	BodyTimeout = 10 * time.Second
	// WriteTimeout bounds one write to a caller.
	WriteTimeout = 10 * time.Second
	// ResumeWindow is how long an answer is generated without a reader before its flight is cancelled.
	ResumeWindow = 10 * time.Second
	// FreshWait is how long a request waits for the configuration to be
	// confirmed, which takes milliseconds after the process was paused.
	FreshWait = 300 * time.Millisecond
	// freshPollInterval is the interval at which the confirmation is checked.
	freshPollInterval = 10 * time.Millisecond
	// staleRetryAfter is the Retry-After of an entry without a confirmed configuration.
	staleRetryAfter = time.Second
)

// Configuration provides the configuration in force and reports whether it may still be used.
type Configuration interface {
	Current() *config.Envelope
	// Fresh reports whether Current was recently confirmed to be the newest revision.
	Fresh() bool
}

// Options holds the dependencies of a Server. All fields are required.
type Options struct {
	Config     Configuration
	Admitter   admit.Admitter
	Placer     place.Placer
	Fleet      *fleet.Table
	Dispatcher *dispatch.Dispatcher
	Flights    *flight.Registry
	// Handover may be set after New, but before the first request.
	Handover *handover.Manager
	// Services forwards calls to plain services.
	Services *forward.Forwarder
	Log      *slog.Logger
	Metrics  *Metrics
	Now      func() time.Time
}

// Server serves callers' requests.
type Server struct {
	Options
	// flightCtx is the parent context of all running flights; it outlives callers' connections.
	flightCtx     context.Context
	cancelFlights context.CancelFunc
	// running tracks the goroutines of flights; none starts once closed is set.
	running  sync.WaitGroup
	mu       sync.Mutex
	closed   bool
	draining atomic.Bool
	// handoverCtx is cancelled when running flights have been handed over and
	// their callers must reconnect.
	handoverCtx context.Context
	endHandover context.CancelFunc
}

// New returns a server. Its flights run until Close.
func New(o Options) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{Options: o, flightCtx: ctx, cancelFlights: cancel}
	s.handoverCtx, s.endHandover = context.WithCancel(context.Background())
	return s
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = s.writeError
	e.Use(s.requestID)
	e.GET("/v1/models", s.models)
	e.POST("/v1/chat/completions", s.chat)
	e.POST("/v1/completions", s.completions)
	e.GET("/v1/requests/:id", s.getRequest)
	e.Any("/services/:service/*", s.service)
	return e
}

// Close stops all running flights and waits for them.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancelFlights()
	s.running.Wait()
}

// spawn runs f in a goroutine that Close waits for. It returns false if the server has been closed.
func (s *Server) spawn(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.running.Go(f)
	return true
}

// Ready reports whether the server accepts new requests.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.Fleet.Listed() && s.Config.Current() != nil && s.Config.Fresh()
}

// requestID is middleware that assigns an id to each request unless the caller set one.
func (s *Server) requestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		id := c.Request().Header.Get(apierror.HeaderRequestID)
		if len(id) > MaxRequestIDBytes {
			return apierror.Invalid(http.StatusBadRequest, "invalid_request_id", "the request id is longer than 128 bytes")
		}
		c.Set(keyChosenID, id != "")
		if id == "" {
			id = uuid.NewString()
		}
		c.Set(keyRequestID, id)
		c.Response().Header().Set(apierror.HeaderRequestID, id)
		return next(c)
	}
}

// Keys of values in the request's context.
const (
	keyRequestID = "request_id"
	keyChosenID  = "chosen_id"
)

func requestIDOf(c *echo.Context) string {
	id, _ := c.Get(keyRequestID).(string)
	return id
}

// callerChoseID reports whether the caller set the request's id.
func callerChoseID(c *echo.Context) bool {
	chosen, _ := c.Get(keyChosenID).(bool)
	return chosen
}

// writeError sends an error response; all errors pass through here. A path
// without a route may still belong to a configured call style.
func (s *Server) writeError(c *echo.Context, err error) {
	if errors.Is(err, echo.ErrNotFound) {
		err = s.serveCallStyle(c)
	}
	if err == nil {
		return
	}
	var api *apierror.Error
	if !errors.As(err, &api) {
		api = s.translate(err)
	}
	s.Metrics.countError(api.Code)
	setWriteDeadline(c)
	api.Write(c.Response())
}

// identifyCaller waits for a confirmed configuration and returns it with the
// caller's workspace.
func (s *Server) identifyCaller(c *echo.Context) (*config.Envelope, *config.Workspace, error) {
	return s.identifyCallerByHeader(c, "")
}

// awaitFresh waits up to FreshWait for the configuration to be confirmed and
// reports whether it was.
func (s *Server) awaitFresh(ctx context.Context) bool {
	if s.Config.Fresh() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, FreshWait)
	defer cancel()
	for sleep.For(ctx, freshPollInterval) {
		if s.Config.Fresh() {
			return true
		}
	}
	return false
}

// identifyCallerByHeader is like identifyCaller, but reads the key from the
// named header; an empty name means the default header.
func (s *Server) identifyCallerByHeader(c *echo.Context, keyHeader string) (*config.Envelope, *config.Workspace, error) {
	if s.draining.Load() {
		c.Response().Header().Set("Connection", "close")
	}
	if !s.awaitFresh(c.Request().Context()) {
		return nil, nil, unavailable("configuration_not_current", "this entry can't confirm the newest configuration", staleRetryAfter)
	}
	env := s.Config.Current()
	id, err := identify.Identify(&env.Document, c.Request().Header, keyHeader)
	if err != nil {
		return nil, nil, s.translate(err)
	}
	return env, id.Workspace, nil
}
