// Package dispatch runs the attempts of a model request: it places each attempt
// on an endpoint, reads its stream, and continues the answer on another endpoint
// if the stream breaks or stalls or the endpoint is about to stop.
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
	// DefaultMaxAttempts is the largest number of failed attempts of one request.
	DefaultMaxAttempts = 8
	// DefaultFirstTokenTimeout is the longest wait for the first token of an
	// attempt. After it, the endpoint is probed: if it answers, the attempt is
	// resumed there, otherwise the attempt has failed.
	DefaultFirstTokenTimeout = 3 * time.Second
	// DefaultProgressTimeout is the longest wait between two tokens, which are
	// due every 51 ms.
	DefaultProgressTimeout = 750 * time.Millisecond
	// resumedTimeoutFactor multiplies the timeouts of an attempt that was resumed
	// on an endpoint which has just answered a probe.
	resumedTimeoutFactor = 4
	// DefaultPlaceTimeout is how long a request that has not reached an endpoint
	// yet waits for placement. One that has waits until its deadline.
	DefaultPlaceTimeout = 2 * time.Second
	// suspectTime is how long an unreachable endpoint gets no new work.
	suspectTime = time.Second
	// placeRetryDelay is the delay between tries to place an attempt.
	placeRetryDelay = 20 * time.Millisecond
)

// Configuration provides the configuration in force and reports whether new
// work may be placed under it.
type Configuration interface {
	Current() *config.Envelope
	// Fresh reports whether the revision in force was recently confirmed to be the newest.
	Fresh() bool
}

// Suspects records unreachable endpoints, which get no new work for a time.
type Suspects interface {
	Suspect(endpoint string, until time.Time)
}

// Dispatcher runs requests. All fields without a stated default must be set.
type Dispatcher struct {
	// Self is this process's id; it makes the ids of attempts unique.
	Self    string
	Config  Configuration
	Fleet   *fleet.Table
	Placer  place.Placer
	Engine  engine.Engine
	Metrics *Metrics
	Now     func() time.Time
	// Suspects records unreachable endpoints; nil means that they are not recorded.
	Suspects Suspects
	// Retrier limits and delays retries; nil means no delay and no budget.
	Retrier Retrier
	// The following limits have defaults, which apply if they are zero.
	MaxAttempts       int
	FirstTokenTimeout time.Duration
	ProgressTimeout   time.Duration
	PlaceTimeout      time.Duration
}

// target is the placement of an attempt and how it starts.
type target struct {
	decision place.Decision
	request  place.Request
	// resume is the id of an earlier attempt whose state the endpoint has.
	resume string
	mode   startMode
}

// startMode is how an attempt starts or continues an answer. It is used as the
// value of a metric label.
type startMode string

// The start modes.
const (
	// modeStart starts a new answer.
	modeStart startMode = "start"
	// modeRecompute prefills the prompt and the answer so far again.
	modeRecompute startMode = "recompute"
	// modeResume reads an attempt that still runs on its endpoint.
	modeResume startMode = "resume"
	// modeImport continues from a KV cache that was transferred to the endpoint.
	modeImport startMode = "kv_import"
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
	// next is the target prepared for the next attempt; nil if there is none.
	next *target
}

// Run produces the answer of a flight and returns once the answer has ended. If
// the log holds tokens already, the answer is continued after them. If from
// names an attempt, Run tries to resume it first.
func (d *Dispatcher) Run(ctx context.Context, f *flight.Flight, from flight.Point) error {
	r := &run{d: d, flight: f, job: &f.Job, log: f.Log}
	r.assembler.Resume(f.Log.Len())
	r.reachedEndpoint = f.Log.Len() > 0 || from.Endpoint != ""
	r.next = r.resumeAt(from)
	err := r.runAttempts(ctx)
	f.SetAttempt(flight.Point{})
	if errors.Is(context.Cause(ctx), ErrTakenOver) {
		return ErrTakenOver
	}
	d.Metrics.countRequest(err)
	if err != nil {
		f.Log.Fail(err)
	}
	return err
}

// resumeAt returns a target that resumes an attempt started by another process.
// It returns nil if from names no attempt or the attempt can't be placed on its
// endpoint.
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

// runAttempts runs attempts until the answer is complete or no further attempt
// is allowed.
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

// recordFailure counts a failed attempt and excludes its endpoint from the next placement.
func (r *run) recordFailure(t *target, err error) {
	r.failures++
	r.exclude = append(r.exclude, t.decision.Endpoint.ID)
	r.d.Metrics.countFailure(err)
	if errors.Is(err, engine.ErrNotRun) && r.d.Suspects != nil {
		r.d.Suspects.Suspect(t.decision.Endpoint.ID, r.d.Now().Add(suspectTime))
	}
}

// releaseNext releases the slot of a prepared target that will not be used.
func (r *run) releaseNext() {
	if r.next == nil {
		return
	}
	r.d.Placer.Done(r.next.decision, r.next.request)
	r.next = nil
}

// nextTarget returns the prepared target if it is still allowed, or else a new one.
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

// stillAllowed reports whether the configuration in force allows a prepared target.
func (r *run) stillAllowed(t *target) bool {
	return r.d.Config.Fresh() && place.DataCentreAllowed(r.d.Config.Current(), r.job.Workspace, t.decision.Endpoint)
}

func (d *Dispatcher) attemptLimit() int {
	if d.MaxAttempts == 0 {
		return DefaultMaxAttempts
	}
	return d.MaxAttempts
}

// finalError returns ErrGaveUp if an attempt has reached an endpoint and
// ErrNotRun otherwise, wrapped with the cause if there is one.
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

// awaitPlacement places the next attempt, waiting until an endpoint can take it.
// Each try reads the allowed data centres again.
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
		if errors.Is(err, place.ErrNoDataCentreAllowed) {
			return place.Decision{}, request, r.notAllowedError(err)
		}
		r.exclude = nil
		if !sleep.For(ctx, placeRetryDelay) {
			return place.Decision{}, request, r.finalError(err)
		}
	}
}

// tryPlace places an attempt, or returns errConfigNotConfirmed if the
// configuration may be out of date.
func (r *run) tryPlace(request place.Request) (place.Decision, error) {
	if !r.d.Config.Fresh() {
		return place.Decision{}, errConfigNotConfirmed
	}
	return r.d.Placer.Place(r.d.Fleet.Snapshot(), request)
}

// notAllowedError returns ErrNotAllowed if no attempt has reached an endpoint,
// or else ErrGaveUp.
func (r *run) notAllowedError(cause error) error {
	if r.reachedEndpoint {
		return r.finalError(cause)
	}
	return eris.Wrap(ErrNotAllowed, cause.Error())
}

// placeRequest returns the placement request of the next attempt.
func (r *run) placeRequest() (place.Request, error) {
	env := r.d.Config.Current()
	w, ok := env.Document.WorkspaceByName(r.job.Workspace)
	if !ok {
		return place.Request{}, r.notAllowedError(place.ErrNoDataCentreAllowed)
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
	}, nil
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
