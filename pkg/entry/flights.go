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

// start returns the flight of a request: a new one, or the one that the caller
// has started before under the same id, here or on a peer. The returned
// function ends the caller's hold on it.
func (s *Server) start(c *echo.Context, w *config.Workspace, svc *config.Service, job flight.Job) (*flight.Flight, func(), error) {
	ctx := c.Request().Context()
	if chosenID(c) {
		f, detach, err := s.find(ctx, job.ID, s.Handover.FindReachable)
		if err == nil {
			return s.repeated(f, detach, &job)
		}
	}
	f := flight.New(job, uuid.NewString())
	detach := f.Attach(s.Now)
	old, err := s.Flights.Add(f)
	if errors.Is(err, flight.ErrDuplicate) {
		return s.repeated(old, old.Attach(s.Now), &job)
	}
	release, err := s.Admitter.Admit(ctx, admit.Request{Workspace: w, Service: svc, Deadline: job.Deadline, Tokens: job.MaxTokens, Priority: job.Priority, Bytes: jobBytes(&job)})
	if err != nil {
		f.Log.Fail(err)
		s.Flights.Remove(f)
		return nil, nil, err
	}
	s.Metrics.accept(string(svc.Kind))
	s.launch(f, flight.Point{}, release)
	return f, detach, nil
}

// repeated checks that a known id belongs to the same request.
func (s *Server) repeated(f *flight.Flight, detach func(), job *flight.Job) (*flight.Flight, func(), error) {
	if sameRequest(&f.Job, job) {
		return f, detach, nil
	}
	detach()
	return nil, nil, apierror.Invalid(http.StatusUnprocessableEntity, "request_id_reused", "the request id belongs to another request")
}

// sameRequest tells whether two jobs ask for the same answer.
func sameRequest(a, b *flight.Job) bool {
	return a.Workspace == b.Workspace && a.Model == b.Model && a.MaxTokens == b.MaxTokens &&
		a.Text == b.Text && slices.Equal(a.Messages, b.Messages)
}

// launch runs a flight until its answer has ended. Its work starts once a copy
// of the request is held by a peer.
func (s *Server) launch(f *flight.Flight, from flight.Point, release func()) {
	ctx, cancelDeadline := context.WithDeadline(s.work, f.Job.Deadline)
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
	copied := make(chan error, 1)
	copying, stopCopying := context.WithCancel(s.work)
	defer stopCopying()
	go func() {
		err := replicator.Run(copying)
		if errors.Is(err, dispatch.ErrTakenOver) {
			cancel(err)
		}
		copied <- err
	}()
	err := s.Dispatcher.Run(ctx, f, from)
	if errors.Is(err, dispatch.ErrTakenOver) {
		stopCopying()
	}
	if errors.Is(errors.Join(err, <-copied), dispatch.ErrTakenOver) {
		s.follow(f, replicator.Holder())
	}
}

// follow reads the rest of an answer that a peer has taken over.
func (s *Server) follow(f *flight.Flight, owner string) {
	s.Flights.Remove(f)
	f.Log.Truncate()
	f.Log.ReleaseAll()
	ctx, cancel := context.WithDeadline(s.work, f.Job.Deadline)
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
	s.launch(f, a.Point, func() {})
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

// search finds a request on this process and its peers.
type search func(ctx context.Context, id string) (handover.Found, error)

// find returns the flight of an earlier request. If a peer owns it, the answer
// is read from there for this caller.
func (s *Server) find(ctx context.Context, id string, search search) (*flight.Flight, func(), error) {
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

// request serves GET /v1/requests/{id}: the whole answer of an earlier request,
// or the rest of its stream after Last-Event-ID.
func (s *Server) request(c *echo.Context) error {
	_, w, err := s.begin(c)
	if err != nil {
		return err
	}
	f, detach, err := s.find(c.Request().Context(), flight.ScopedID(w.Name, c.Param("id")), s.Handover.Find)
	if err != nil {
		return unknownRequest()
	}
	defer detach()
	c.Response().Header().Set(apierror.HeaderRequestID, f.Job.RequestID)
	at, err := resumePosition(c.Request().Header)
	if err != nil {
		return err
	}
	return s.send(c, f, at, render{stream: at.stream})
}

func unknownRequest() error {
	return &apierror.Error{
		Status: http.StatusNotFound, Type: apierror.TypeInvalidRequest, Code: "unknown_request",
		Message: "no such request is known", Run: apierror.Unknown,
	}
}
