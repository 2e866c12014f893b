package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/admit"
	"github.com/medlarsill/medlarsill/pkg/apierror"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/dispatch"
	"github.com/medlarsill/medlarsill/pkg/flight"
	"github.com/medlarsill/medlarsill/pkg/handover"
)

// startOrAttach returns the flight of a request: a new one, or the existing one
// that the caller started with the same id, here or on a peer. The returned
// function detaches the caller from the flight.
func (s *Server) startOrAttach(c *echo.Context, w *config.Workspace, svc *config.Service, job flight.Job) (*flight.Flight, func(), error) {
	ctx := c.Request().Context()
	if callerChoseID(c) {
		f, detach, err := s.findFlight(ctx, job.ID, s.Handover.FindReachable)
		if err == nil {
			return s.checkRepeated(f, detach, &job)
		}
	}
	f := flight.New(job, uuid.NewString())
	detach := f.Attach(s.Now)
	old, err := s.Flights.Add(f)
	if errors.Is(err, flight.ErrDuplicate) {
		return s.checkRepeated(old, old.Attach(s.Now), &job)
	}
	release, err := s.Admitter.Admit(ctx, admit.Request{Workspace: w, Service: svc, Deadline: job.Deadline, Priority: job.Priority, Bytes: jobBytes(&job)})
	if err != nil {
		f.Log.Fail(err)
		s.Flights.Remove(f)
		return nil, nil, err
	}
	s.Metrics.countAccepted(string(svc.Kind))
	s.startFlight(f, flight.Point{}, release)
	return f, detach, nil
}

// checkRepeated returns the existing flight f if it belongs to the same request
// as job; otherwise it detaches and refuses the request.
func (s *Server) checkRepeated(f *flight.Flight, detach func(), job *flight.Job) (*flight.Flight, func(), error) {
	if sameRequest(&f.Job, job) {
		return f, detach, nil
	}
	detach()
	return nil, nil, apierror.Invalid(http.StatusUnprocessableEntity, "request_id_reused", "the request id belongs to another request")
}

// sameRequest reports whether two jobs are the same request.
func sameRequest(a, b *flight.Job) bool {
	return a.Workspace == b.Workspace && a.Model == b.Model && a.MaxTokens == b.MaxTokens &&
		a.Text == b.Text && slices.Equal(a.Messages, b.Messages)
}

// startFlight runs a flight in the background until its answer has ended. Generation
// starts once a peer holds a copy of the request.
func (s *Server) startFlight(f *flight.Flight, from flight.Point, release func()) {
	ctx, cancelDeadline := context.WithDeadline(s.flightCtx, f.Job.Deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	f.SetCancel(cancel)
	started := s.spawn(func() {
		defer release()
		defer cancelDeadline()
		s.runFlight(ctx, cancel, f, from)
	})
	if !started {
		f.Log.Fail(dispatch.ErrNotRun)
		cancelDeadline()
		release()
	}
}

func (s *Server) runFlight(ctx context.Context, cancel context.CancelCauseFunc, f *flight.Flight, from flight.Point) {
	replicator := s.Handover.StartReplication(ctx, f)
	replicationDone := make(chan error, 1)
	replicationCtx, stopReplication := context.WithCancel(s.flightCtx)
	defer stopReplication()
	go func() {
		err := replicator.Run(replicationCtx)
		if errors.Is(err, dispatch.ErrTakenOver) {
			cancel(err)
		}
		replicationDone <- err
	}()
	err := s.Dispatcher.Run(ctx, f, from)
	if errors.Is(err, dispatch.ErrTakenOver) {
		stopReplication()
	}
	if errors.Is(errors.Join(err, <-replicationDone), dispatch.ErrTakenOver) {
		s.followNewOwner(f, replicator.Holder())
	}
}

// followNewOwner reads the rest of an answer from the peer that has taken it over.
func (s *Server) followNewOwner(f *flight.Flight, owner string) {
	s.Flights.Remove(f)
	f.Log.Truncate()
	f.Log.ReleaseAll()
	ctx, cancel := context.WithDeadline(s.flightCtx, f.Job.Deadline)
	defer cancel()
	f.SetCancel(func(error) { cancel() })
	_ = s.Handover.Tail(ctx, f, owner)
}

// Adopt implements handover.Owner.
func (s *Server) Adopt(a handover.Adoption) {
	f := flight.NewAdopted(a.Job, a.Generation, a.Lineage.Fork(uuid.NewString(), len(a.Tokens)))
	_ = f.Log.Append(a.Tokens)
	f.Log.Release(len(a.Tokens))
	if _, err := s.Flights.Add(f); err != nil {
		return
	}
	if a.Code != "" {
		f.Log.Fail(a.Code.Err())
		return
	}
	s.startFlight(f, a.Attempt, func() {})
}

// Allowed implements handover.Owner.
func (s *Server) Allowed(workspace string) []string {
	env := s.Config.Current()
	if env == nil {
		return nil
	}
	w, ok := env.Document.WorkspaceByName(workspace)
	if !ok {
		return nil
	}
	return env.AllowedDataCentres(w)
}

// findFunc looks a request up on this process and its peers.
type findFunc func(ctx context.Context, id string) (handover.Found, error)

// findFlight returns the flight of an earlier request. If a peer owns it, the
// answer is read from that peer for this caller.
func (s *Server) findFlight(ctx context.Context, id string, search findFunc) (*flight.Flight, func(), error) {
	if f, err := s.Flights.Get(id); err == nil {
		return f, f.Attach(s.Now), nil
	}
	found, err := search(ctx, id)
	if err != nil {
		return nil, nil, err
	}
	if found.Peer == s.Handover.Self.ID {
		f, err := s.Flights.Get(id)
		if err != nil {
			return nil, nil, err
		}
		return f, f.Attach(s.Now), nil
	}
	f := flight.NewFollower(found.Job, found.Lineage, found.Len)
	ctx, cancel := context.WithCancel(ctx)
	if !s.spawn(func() { _ = s.Handover.Tail(ctx, f, found.Peer) }) {
		f.Log.Fail(dispatch.ErrOwnerLost)
	}
	return f, cancel, nil
}

// getRequest serves GET /v1/requests/{id}: the complete answer of an earlier
// request, or the rest of its stream after Last-Event-ID.
func (s *Server) getRequest(c *echo.Context) error {
	_, w, err := s.identifyCaller(c)
	if err != nil {
		return err
	}
	f, detach, err := s.findFlight(c.Request().Context(), flight.ScopedID(w.Name, c.Param("id")), s.Handover.Find)
	if err != nil {
		return unknownRequest()
	}
	defer detach()
	c.Response().Header().Set(apierror.HeaderRequestID, f.Job.RequestID)
	pos, err := resumePosition(c.Request().Header)
	if err != nil {
		return err
	}
	return s.send(c, f, pos, responseFormat{stream: pos.stream})
}

func unknownRequest() error {
	return &apierror.Error{
		Status: http.StatusNotFound, Type: apierror.TypeInvalidRequest, Code: "unknown_request",
		Message: "no such request is known", Run: apierror.RunUnknown,
	}
}
