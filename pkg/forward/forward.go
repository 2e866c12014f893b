// Package forward sends calls to plain services, which are services that do not
// run models. Idempotent calls are retried on other endpoints within a retry
// budget. Non-idempotent calls are sent again only if it is certain that no
// endpoint ran them. Those with an idempotency key run at most once, whichever
// entry instances receive them, because the ledger records the keys.
package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/ledger"
	"github.com/medlarsill/medlarsill/pkg/place"
)

// MaxAnswerBytes is the largest response body of a plain service, in bytes.
const MaxAnswerBytes = 512 << 10

// MaxAttempts is the largest number of attempts of one call.
const MaxAttempts = 4

// Errors of Forwarder.Do, possibly wrapped.
var (
	// ErrNotRun means that no endpoint ran the call.
	ErrNotRun = eris.New("forward: call was not run")
	// ErrNotAllowed means that the configuration allows no data centre for the
	// call, or not the service for its workspace. The call was not run.
	ErrNotAllowed = eris.New("forward: configuration does not allow the call")
	// ErrNotRecorded means that the ledger could not record the call's idempotency
	// key. The call was not run.
	ErrNotRecorded = eris.New("forward: failed to record idempotency key")
	// ErrKeyReused means that the idempotency key was used before for a different
	// call. This call was not run.
	ErrKeyReused = eris.New("forward: idempotency key was used for a different call")
	// ErrUnknown means that the call may have been run.
	ErrUnknown = eris.New("forward: call may have been run")
	// ErrTooLarge means that the call ran and its response body is larger than
	// MaxAnswerBytes.
	ErrTooLarge = eris.New("forward: response body exceeds the limit")
	// ErrAnswerLost means that the call ran earlier and its recorded answer can't
	// be read from the store now.
	ErrAnswerLost = eris.New("forward: failed to read recorded answer")
)

// Configuration provides the configuration in force.
type Configuration interface {
	Current() *config.Envelope
	// Fresh reports whether the configuration was recently confirmed to be the newest.
	Fresh() bool
}

// Fleet provides the currently known endpoints.
type Fleet interface {
	Snapshot() *fleet.Snapshot
}

// Ledger records non-idempotent calls that have an idempotency key.
type Ledger interface {
	Begin(ctx context.Context, key ledger.Key, fingerprint string) (ledger.Claim, error)
}

// Budget limits retries to a fraction of the successful calls.
type Budget interface {
	// Allow takes one retry from the budget, or returns false if none is left.
	Allow() bool
	// Success adds the fraction that one successful call earns.
	Success()
}

// Call is a request to a plain service.
type Call struct {
	Workspace string
	Service   *config.Service
	Method    string
	// Path is the unescaped path below that of the service, and EscapedPath the path that is sent; ""
	// stands for the usual escapes.
	Path        string
	EscapedPath string
	Query       string
	ContentType string
	Accept      string
	RequestID   string
	// Key is the caller's idempotency key, or empty.
	Key  string
	Body []byte
	// Deadline is the time by which the caller must have its response.
	Deadline time.Time
}

// Answer is an endpoint's response.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed means that this is the recorded answer to an earlier call with the
	// same idempotency key.
	Replayed bool
}

// Forwarder sends calls to endpoints. All fields but Budget are required.
type Forwarder struct {
	Config Configuration
	Fleet  Fleet
	Placer place.Placer
	Ledger Ledger
	// Budget limits the retries; if it is nil, only MaxAttempts does.
	Budget Budget
	// Pooled sends idempotent calls and Single non-idempotent calls. Single must
	// never send a request twice by itself. NewTransports returns both.
	Pooled  http.RoundTripper
	Single  http.RoundTripper
	Metrics *Metrics
	Now     func() time.Time
}

// Do sends a call, with retries where they are allowed, and returns the answer
// or one of the errors of this package.
func (f *Forwarder) Do(ctx context.Context, call *Call) (*Answer, error) {
	answer, err := f.do(ctx, call)
	f.Metrics.finished(err)
	return answer, err
}

func (f *Forwarder) do(ctx context.Context, call *Call) (*Answer, error) {
	if call.Service.Idempotent(call.Method, call.Path) {
		ctx, cancel := context.WithDeadline(ctx, call.Deadline)
		defer cancel()
		return f.run(ctx, call, true)
	}
	// The call continues if the caller disconnects, so that a retry with the same
	// idempotency key gets its answer.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer cancel()
	if call.Key == "" {
		return f.run(ctx, call, false)
	}
	return f.runKeyed(ctx, call)
}

// runKeyed runs a call that has an idempotency key and records its outcome in
// the ledger.
func (f *Forwarder) runKeyed(ctx context.Context, call *Call) (*Answer, error) {
	key := ledger.NewKey(call.Workspace, call.Service.Name, call.Key)
	claim, err := f.Ledger.Begin(ctx, key, call.fingerprint())
	if err != nil {
		return nil, ledgerError(err)
	}
	if claim.Answer != nil {
		return replay(claim.Answer)
	}
	defer claim.Attempt.MarkUnknown()
	answer, err := f.run(ctx, call, false)
	switch {
	case err == nil:
		claim.Attempt.Finish(&ledger.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body})
	case errors.Is(err, ErrTooLarge):
		claim.Attempt.Finish(&ledger.Answer{})
	case errors.Is(err, ErrNotRun), errors.Is(err, ErrNotAllowed):
		claim.Attempt.Release()
	}
	return answer, err
}

// fingerprint returns a hash of the call's method, path, query and body.
func (c *Call) fingerprint() string {
	return ledger.Fingerprint([]byte(c.Method), []byte(c.Path), []byte(c.Query), c.Body)
}

// replay returns the answer that the ledger recorded. A status of 0 stands for
// an answer that was too large to record.
func replay(a *ledger.Answer) (*Answer, error) {
	if a.Status == 0 {
		return nil, ErrTooLarge
	}
	return &Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Replayed: true}, nil
}

// ledgerError maps an error of the ledger to one of this package.
func ledgerError(err error) error {
	switch {
	case errors.Is(err, ledger.ErrMismatch):
		return ErrKeyReused
	case errors.Is(err, ledger.ErrInDoubt):
		return eris.Wrap(ErrUnknown, err.Error())
	case errors.Is(err, ledger.ErrAnswerLost):
		return eris.Wrap(ErrAnswerLost, err.Error())
	}
	return eris.Wrap(ErrNotRecorded, err.Error())
}

// run makes attempts until one is answered or no further attempt is allowed.
func (f *Forwarder) run(ctx context.Context, call *Call, idempotent bool) (*Answer, error) {
	failure := ErrNotRun
	var exclude []string
	for attempt := range MaxAttempts {
		if ctx.Err() != nil || attempt > 0 && !f.retryAllowed() {
			return nil, failure
		}
		d, request, err := f.place(call, exclude, idempotent)
		if err != nil {
			return nil, placementError(failure, err)
		}
		answer, err := f.attempt(ctx, call, d.Endpoint, idempotent)
		f.Placer.Done(d, request)
		f.Metrics.attempted(err)
		switch {
		case err == nil:
			f.success()
			return answer, nil
		case errors.Is(err, ErrNotRun):
		case !idempotent, errors.Is(err, ErrTooLarge):
			return nil, err
		default:
			failure = ErrUnknown
		}
		exclude = append(exclude, d.Endpoint.ID)
	}
	return nil, failure
}

// placementError returns the error of a call whose next attempt could not be
// placed: if an earlier attempt may have run, its failure takes precedence.
func placementError(failure, placing error) error {
	if errors.Is(failure, ErrUnknown) {
		return failure
	}
	return placing
}

// place chooses an endpoint for the next attempt under the configuration in force.
func (f *Forwarder) place(call *Call, exclude []string, idempotent bool) (place.Decision, place.Request, error) {
	env := f.Config.Current()
	w, ok := env.Document.WorkspaceByName(call.Workspace)
	if !ok || !w.MayCall(call.Service.Name) {
		return place.Decision{}, place.Request{}, ErrNotAllowed
	}
	preset, _ := env.Document.PresetByName(env.Preset)
	request := place.Request{
		Service: call.Service.Name, Workspace: w.Name, Allowed: env.AllowedDataCentres(w),
		Deadline: call.Deadline, NonIdempotent: !idempotent, Exclude: exclude,
		Preset: preset,
	}
	d, err := f.Placer.Place(f.Fleet.Snapshot(), request)
	switch {
	case errors.Is(err, place.ErrNoDataCentreAllowed):
		return d, request, eris.Wrap(ErrNotAllowed, err.Error())
	case err != nil:
		return d, request, eris.Wrap(ErrNotRun, err.Error())
	}
	return d, request, nil
}

// attempt sends the call to an endpoint unless the endpoint is no longer allowed.
func (f *Forwarder) attempt(ctx context.Context, call *Call, e *fleet.Endpoint, idempotent bool) (*Answer, error) {
	if !f.mayDispatch(call, e) {
		return nil, eris.Wrap(ErrNotRun, "endpoint is no longer allowed")
	}
	if !idempotent {
		return send(ctx, f.Single, e.Addr, call)
	}
	ctx, cancel := context.WithTimeout(ctx, call.Deadline.Sub(f.Now())/remainingTimeDivisor)
	defer cancel()
	return send(ctx, f.Pooled, e.Addr, call)
}

// remainingTimeDivisor limits each idempotent attempt to half of the remaining
// time, so that an unresponsive connection leaves time for a retry.
const remainingTimeDivisor = 2

// mayDispatch reports whether the call may still be sent to an endpoint under
// the current configuration and endpoint list.
func (f *Forwarder) mayDispatch(call *Call, e *fleet.Endpoint) bool {
	if !f.Config.Fresh() || !place.DataCentreAllowed(f.Config.Current(), call.Workspace, e) {
		return false
	}
	current, ok := f.Fleet.Snapshot().ByID(e.ID)
	return ok && !current.Leaving && current.Addr == e.Addr
}

// retryAllowed takes one retry from the budget, if there is a budget.
func (f *Forwarder) retryAllowed() bool {
	return f.Budget == nil || f.Budget.Allow()
}

// success credits the retry budget with a successful call.
func (f *Forwarder) success() {
	if f.Budget != nil {
		f.Budget.Success()
	}
}
