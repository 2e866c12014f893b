// Package dispatch runs the attempts of a model request: it places each one,
// reads its stream, and continues on another endpoint where one breaks, falls
// silent or is told to leave.
package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/answer"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/flight"
	"github.com/medlarsill/medlarsill/pkg/place"
	"github.com/medlarsill/medlarsill/pkg/relay"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Default limits of a request's attempts.
const (
	// DefaultMaxAttempts bounds the failed attempts of one request.
	DefaultMaxAttempts = 8
	// DefaultFirstTokenTimeout is the longest silence before the first token of
	// an attempt; then the endpoint is probed and the attempt resumed or given up.
	DefaultFirstTokenTimeout = 3 * time.Second
	// DefaultProgressTimeout is the longest silence between tokens, which are
	// due every 51 ms.
	DefaultProgressTimeout = 750 * time.Millisecond
	// resumedPatience multiplies the timeouts of an attempt that was resumed on
	// an endpoint which has just answered a probe.
	resumedTimeoutFactor = 4
	// DefaultPlaceTimeout is the longest wait of a request that has not run yet
	// for an endpoint. One that has run waits until its deadline.
	DefaultPlaceTimeout = 2 * time.Second
	// suspectTime is how long an endpoint that can't be reached gets no new work.
	suspectTime = time.Second
	// placeRetryDelay is the pause between tries to place an attempt.
	placeRetryDelay = 20 * time.Millisecond
)

// Configuration gives the configuration in force, and whether new work may be
// placed under it.
type Configuration interface {
	Current() *config.Envelope
	// Fresh tells whether the newest revision was confirmed recently enough.
	Fresh() bool
}

// Suspects keeps new work off endpoints that can't be reached.
type Suspects interface {
	Suspect(endpoint string, until time.Time)
}

// Dispatcher runs requests. Fill in all fields before use.
type Dispatcher struct {
	// Self is this process's id; it makes the ids of attempts unique.
	Self    string
	Config  Configuration
	Fleet   *fleet.Table
	Placer  place.Placer
	Engine  engine.Engine
	Metrics *Metrics
	Now     func() time.Time
	// Suspects learns which endpoints can't be reached; nil means nobody does.
	Suspects Suspects
	// Retrier bounds and delays retries; nil means at once and without a budget.
	Retrier Retrier
	// The limits default if zero.
	MaxAttempts       int
	FirstTokenTimeout time.Duration
	ProgressTimeout   time.Duration
	PlaceTimeout      time.Duration
}

// target is where and how the next attempt runs.
type target struct {
	decision place.Decision
	request  place.Request
	// resume names an earlier attempt whose state the endpoint has.
	resume string
	mode   startMode
}

// way tells how an attempt continues an answer.
type startMode string

// The ways to start or continue an answer.
const (
	modeStart     startMode = "start"
	modeRecompute startMode = "recompute"
	modeResume    startMode = "resume"
	modeImport    startMode = "kv_import"
)

// run is the state of one request's attempts.
type run struct {
	d               *Dispatcher
	flight          *flight.Flight
	job             *flight.Job
	log             *answer.Log
	assembler       relay.Assembler
	attempts        int
	failures        int
	reachedEndpoint bool
	exclude         []string
	// next is the target prepared for the next attempt, if any.
	next *target
}

// Run produces the answer of a flight and returns once it has ended. Its log
// may hold pieces already: the answer is continued after them, by resuming the
// attempt at the given point if there is one.
func (d *Dispatcher) Run(ctx context.Context, f *flight.Flight, from flight.Point) error {
	r := &run{d: d, flight: f, job: &f.Job, log: f.Log}
	r.assembler.Resume(f.Log.Len())
	r.reachedEndpoint = f.Log.Len() > 0 || from.Endpoint != ""
	r.next = r.resumeAt(from)
	err := r.runAttempts(ctx)
	f.SetPoint(flight.Point{})
	if errors.Is(context.Cause(ctx), ErrTakenOver) {
		return ErrTakenOver
	}
	d.Metrics.finished(err)
	if err != nil {
		f.Log.Fail(err)
	}
	return err
}

// resumeAt prepares to resume an attempt of another process where it runs.
func (r *run) resumeAt(from flight.Point) *target {
	if from.Endpoint == "" {
		return nil
	}
	request, err := r.placeRequest()
	if err != nil {
		return nil
	}
	request.Exclude = r.endpointsExcept(from.Endpoint)
	d, err := r.d.Placer.Place(r.d.Fleet.Snapshot(), request)
	if err != nil {
		return nil
	}
	return &target{decision: d, request: request, resume: from.Attempt, mode: modeResume}
}

func (r *run) runAttempts(ctx context.Context) error {
	for !r.assembler.Done() {
		if r.failures >= r.d.attemptLimit() {
			return r.finalError(nil)
		}
		t, err := r.nextTarget(ctx)
		if err != nil {
			return err
		}
		err = r.runAttempt(ctx, t)
		r.d.Placer.Done(t.decision, t.request)
		if ctx.Err() != nil {
			r.releaseNext()
			return r.finalError(ctx.Err())
		}
		if errors.Is(err, engine.ErrRejected) {
			r.releaseNext()
			return eris.Wrap(ErrRejected, err.Error())
		}
		if err != nil && r.next == nil {
			r.recordFailure(t, err)
			if !r.awaitRetry(ctx, err) {
				return r.finalError(err)
			}
		}
	}
	r.releaseNext()
	r.recordSuccess()
	return nil
}

// failed counts a failed attempt and keeps the next one off its endpoint.
func (r *run) recordFailure(t *target, err error) {
	r.failures++
	r.exclude = append(r.exclude, t.decision.Endpoint.ID)
	r.d.Metrics.attemptFailed(err)
	if errors.Is(err, engine.ErrNotRun) && r.d.Suspects != nil {
		r.d.Suspects.Suspect(t.decision.Endpoint.ID, r.d.Now().Add(suspectTime))
	}
}

// discard gives a prepared target back that will not be used.
func (r *run) releaseNext() {
	if r.next == nil {
		return
	}
	r.d.Placer.Done(r.next.decision, r.next.request)
	r.next = nil
}

// target returns the prepared target if it is still allowed, or a new one.
func (r *run) nextTarget(ctx context.Context) (*target, error) {
	if t := r.next; t != nil && r.stillAllowed(t) {
		r.next = nil
		return t, nil
	}
	r.releaseNext()
	d, request, err := r.awaitPlacement(ctx)
	if err != nil {
		return nil, err
	}
	mode := modeStart
	if r.log.Len() > 0 {
		mode = modeRecompute
	}
	return &target{decision: d, request: request, mode: mode}, nil
}

// allowed checks a prepared target against the configuration in force.
func (r *run) stillAllowed(t *target) bool {
	return r.d.Config.Fresh() && place.Recheck(r.d.Config.Current(), r.job.Workspace, t.decision.Endpoint)
}

func (d *Dispatcher) attemptLimit() int {
	if d.MaxAttempts == 0 {
		return DefaultMaxAttempts
	}
	return d.MaxAttempts
}

// giveUp tells a request that never reached an endpoint from one that did.
func (r *run) finalError(cause error) error {
	base := ErrGaveUp
	if !r.reachedEndpoint {
		base = ErrNotRun
	}
	if cause == nil {
		return base
	}
	return eris.Wrap(base, cause.Error())
}

// place waits until an endpoint can take the next attempt. The allowed places
// are read afresh each time.
func (r *run) awaitPlacement(ctx context.Context) (place.Decision, place.Request, error) {
	if !r.reachedEndpoint {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, orDefault(r.d.PlaceTimeout, DefaultPlaceTimeout))
		defer cancel()
	}
	for {
		request, err := r.placeRequest()
		if err != nil {
			return place.Decision{}, request, err
		}
		d, err := r.tryPlace(request)
		if err == nil {
			return d, request, nil
		}
		if errors.Is(err, place.ErrNothingAllowed) {
			return place.Decision{}, request, r.notAllowedError(err)
		}
		r.exclude = nil
		if !sleep.For(ctx, placeRetryDelay) {
			return place.Decision{}, request, r.finalError(err)
		}
	}
}

// placeNow places an attempt if the configuration is known to be the newest.
func (r *run) tryPlace(request place.Request) (place.Decision, error) {
	if !r.d.Config.Fresh() {
		return place.Decision{}, errConfigNotConfirmed
	}
	return r.d.Placer.Place(r.d.Fleet.Snapshot(), request)
}

// notAllowed tells work that never ran from work that lost its last allowed place.
func (r *run) notAllowedError(cause error) error {
	if r.reachedEndpoint {
		return r.finalError(cause)
	}
	return eris.Wrap(ErrNotAllowed, cause.Error())
}

func (r *run) placeRequest() (place.Request, error) {
	env := r.d.Config.Current()
	w, ok := env.Document.WorkspaceByName(r.job.Workspace)
	if !ok {
		return place.Request{}, r.notAllowedError(place.ErrNothingAllowed)
	}
	preset, _ := env.Document.PresetByName(env.Preset)
	return place.Request{
		Service:      r.job.Service,
		Workspace:    r.job.Workspace,
		Allowed:      env.AllowedDataCentres(w),
		Prefixes:     Prefixes(r.job),
		PrefixTokens: prefixTokens(r.job),
		PromptTokens: estimateTokens(r.job.Messages) + r.log.Len(),
		MaxTokens:    r.job.MaxTokens,
		Deadline:     r.job.Deadline,
		Exclude:      r.exclude,
		Preset:       preset,
		Priority:     r.job.Priority,
	}, nil
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
