// Package forward runs calls of plain services. Idempotent calls are retried on
// other endpoints within a budget. Non-idempotent calls are sent again only if
// no endpoint can have run them; those with a caller's key run at most once
// over all entries, by means of the ledger.
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

// MaxAnswerBytes is the largest answer of a plain service, in bytes.
const MaxAnswerBytes = 512 << 10

// MaxAttempts bounds the attempts of one call.
const MaxAttempts = 4

// Errors of this layer.
var (
	// ErrNotRun means that no endpoint ran the call.
	ErrNotRun = eris.New("forward: call was not run")
	// ErrNotAllowed means that the configuration allows no place for the call, which was not run.
	ErrNotAllowed = eris.New("forward: no place is allowed")
	// ErrNotRecorded means that the call's key could not be recorded. It was not run.
	ErrNotRecorded = eris.New("forward: key could not be recorded")
	// ErrKeyReused means that the key belongs to another call. This one was not run.
	ErrKeyReused = eris.New("forward: key belongs to another call")
	// ErrUnknown means that the call may have been run.
	ErrUnknown = eris.New("forward: outcome is unknown")
	// ErrTooLarge means that the call ran and its answer is larger than MaxAnswerBytes.
	ErrTooLarge = eris.New("forward: answer is too large")
	// ErrAnswerLost means that the call ran and its answer can't be read now.
	ErrAnswerLost = eris.New("forward: answer can't be read")
)

// Configuration gives the configuration in force.
type Configuration interface {
	Current() *config.Envelope
	// Fresh tells whether the newest revision was confirmed recently enough.
	Fresh() bool
}

// Fleet gives the endpoints as known now.
type Fleet interface {
	Snapshot() *fleet.Snapshot
}

// Ledger records keyed non-idempotent calls.
type Ledger interface {
	Begin(ctx context.Context, key ledger.Key, fingerprint string) (ledger.Claim, error)
}

// Budget bounds retries as a share of successes.
type Budget interface {
	// Allow takes a retry out of the budget, or returns false if none is left.
	Allow() bool
	// Success adds the share of one successful call to the budget.
	Success()
}

// Call is a request to a plain service.
type Call struct {
	Workspace string
	Service   *config.Service
	Method    string
	// Path is the path below the service, not escaped.
	Path        string
	Query       string
	ContentType string
	Accept      string
	RequestID   string
	// Key is the caller's idempotency key, or empty.
	Key  string
	Body []byte
	// Deadline is when the caller gets its final answer at the latest.
	Deadline time.Time
}

// Answer is an endpoint's answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed marks the answer to an earlier request with the same key.
	Replayed bool
}

// Forwarder runs calls. Fill in all fields but Budget before use.
type Forwarder struct {
	Config Configuration
	Fleet  Fleet
	Placer place.Placer
	Ledger Ledger
	// Budget bounds the retries; nil leaves them to MaxAttempts.
	Budget Budget
	// Pooled sends idempotent calls, Single non-idempotent ones. Single must
	// never send a request twice; NewTransports makes both.
	Pooled  http.RoundTripper
	Single  http.RoundTripper
	Metrics *Metrics
	Now     func() time.Time
}

// Do runs a call to its end. The errors are those of this package.
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
	// The work goes on if its caller leaves: a repeat by key then finds the answer.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer cancel()
	if call.Key == "" {
		return f.run(ctx, call, false)
	}
	return f.runKeyed(ctx, call)
}

// runKeyed runs a call under its ledger record.
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

// fingerprint identifies the work itself, whoever asks for it under which key.
func (c *Call) fingerprint() string {
	return ledger.Fingerprint([]byte(c.Method), []byte(c.Path), []byte(c.Query), c.Body)
}

func replay(a *ledger.Answer) (*Answer, error) {
	if a.Status == 0 {
		return nil, ErrTooLarge
	}
	return &Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Replayed: true}, nil
}

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

// run makes attempts until one gets an answer or no further one is allowed.
func (f *Forwarder) run(ctx context.Context, call *Call, idempotent bool) (*Answer, error) {
	failure := ErrNotRun
	var exclude []string
	for attempt := range MaxAttempts {
		if ctx.Err() != nil || attempt > 0 && !f.retryAllowed() {
			return nil, failure
		}
		d, request, err := f.place(call, exclude, idempotent)
		if err != nil {
			return nil, mostCertain(failure, err)
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

// mostCertain keeps an earlier attempt's unknown outcome over a refusal to place another.
func mostCertain(failure, placing error) error {
	if errors.Is(failure, ErrUnknown) {
		return failure
	}
	return placing
}

// place chooses an endpoint under the configuration in force now.
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
		Preset: preset, Priority: call.Service.Priority,
	}
	d, err := f.Placer.Place(f.Fleet.Snapshot(), request)
	switch {
	case errors.Is(err, place.ErrNothingAllowed):
		return d, request, eris.Wrap(ErrNotAllowed, err.Error())
	case err != nil:
		return d, request, eris.Wrap(ErrNotRun, err.Error())
	}
	return d, request, nil
}

// attempt sends the call to an endpoint if that is still allowed.
func (f *Forwarder) attempt(ctx context.Context, call *Call, e *fleet.Endpoint, idempotent bool) (*Answer, error) {
	if !f.mayDispatch(call, e) {
		return nil, eris.Wrap(ErrNotRun, "endpoint is no longer allowed")
	}
	if !idempotent {
		return send(ctx, f.Single, e.Addr, call)
	}
	ctx, cancel := context.WithTimeout(ctx, call.Deadline.Sub(f.Now())/attemptShare)
	defer cancel()
	return send(ctx, f.Pooled, e.Addr, call)
}

// attemptShare divides the time left among an idempotent attempt and its
// successors, so that a silent connection leaves time for another one.
const attemptShare = 2

// mayDispatch checks an endpoint against what is known just before dispatch.
func (f *Forwarder) mayDispatch(call *Call, e *fleet.Endpoint) bool {
	if !f.Config.Fresh() || !place.Recheck(f.Config.Current(), call.Workspace, e) {
		return false
	}
	now, ok := f.Fleet.Snapshot().ByID(e.ID)
	return ok && !now.Leaving && now.Addr == e.Addr
}

func (f *Forwarder) retryAllowed() bool {
	return f.Budget == nil || f.Budget.Allow()
}

func (f *Forwarder) success() {
	if f.Budget != nil {
		f.Budget.Success()
	}
}
