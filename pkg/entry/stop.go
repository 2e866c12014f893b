package entry

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/apierror"
	"github.com/medlarsill/medlarsill/pkg/flight"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Timing of a planned stop.
const (
	// LameDuck is how long a stopping entry still accepts new connections after
	// it has reported to the load balancer that it isn't ready.
	LameDuck = 2 * time.Second
	// handoverFraction is the fraction of the remaining time that running flights
	// get to finish before they are handed over.
	handoverFraction = 0.6
	// drainPollInterval is the interval at which the number of running flights is checked.
	drainPollInterval = 20 * time.Millisecond
	// reconnectDelay is the delay after which the caller of a moved stream reconnects.
	reconnectDelay = 100 * time.Millisecond
	// maxHandoverAttempts bounds the rounds of handing over, and the attempts for one flight in a round.
	maxHandoverAttempts = 3
)

// errHandedOver cancels the read for a caller whose answer continues on a peer.
var errHandedOver = errors.New("entry: answer handed over to a peer")

// Draining reports whether a planned stop has begun.
func (s *Server) Draining() bool { return s.draining.Load() }

// Drain begins a planned stop: the entry reports that it isn't ready and closes
// callers' connections after their responses. Requests that still arrive are served.
func (s *Server) Drain() {
	if s.draining.CompareAndSwap(false, true) {
		s.Log.Info("planned stop started", "running", s.Flights.Running())
	}
}

// Finish waits for the running flights to end, for a fraction of the time left,
// and then hands the rest over to peers, including flights adopted meanwhile. It
// returns the number of flights that no peer accepted.
func (s *Server) Finish(ctx context.Context, left time.Duration) int {
	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(float64(left)*handoverFraction))
	defer cancel()
	for s.Flights.Running() > 0 && sleep.For(drainCtx, drainPollInterval) {
	}
	kept := 0
	for range maxHandoverAttempts {
		kept = s.handOverAll(ctx)
		if s.Flights.Running() == 0 || !sleep.For(ctx, drainPollInterval) {
			break
		}
	}
	return kept
}

// handOverAll hands every running flight over to the peer that holds its copy
// and makes the callers reconnect. It returns the number of flights that no
// peer accepted.
func (s *Server) handOverAll(ctx context.Context) int {
	kept, moved := 0, 0
	for _, f := range s.Flights.All() {
		if ended, _ := f.Log.Ended(); ended {
			continue
		}
		if !s.handOverOne(ctx, f) {
			kept++
			continue
		}
		moved++
	}
	if moved+kept > 0 {
		s.Log.Info("running flights handed over to peers", "moved", moved, "kept", kept)
	}
	s.endHandover()
	return kept
}

func (s *Server) handOverOne(ctx context.Context, f *flight.Flight) bool {
	for range maxHandoverAttempts {
		if s.Handover.HandOver(ctx, f) == nil {
			return true
		}
		if !sleep.For(ctx, drainPollInterval) {
			return false
		}
	}
	return false
}

// withHandover returns a context that is cancelled with errHandedOver once
// running flights have been handed over.
func (s *Server) withHandover(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(s.handoverCtx, func() { cancel(errHandedOver) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// redirect sends a caller that has received nothing yet to the URL of the
// complete answer. The load balancer routes it to another entry.
func (s *Server) redirect(c *echo.Context, f *flight.Flight) error {
	h := c.Response().Header()
	h.Set("Location", "/v1/requests/"+url.PathEscape(f.Job.RequestID))
	h.Set("Connection", "close")
	return c.NoContent(http.StatusSeeOther)
}

func errPositionUnknown() *apierror.Error {
	return &apierror.Error{
		Status: http.StatusConflict, Type: apierror.TypeInvalidRequest, Code: "position_unknown",
		Message: "the stream can't be continued after this event; read the whole answer instead", Run: apierror.Ran,
	}
}
