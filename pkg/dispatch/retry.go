package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/retry"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Retrier decides whether failed attempts are retried; retry.Policy implements it.
type Retrier interface {
	// Success records a finished request of a service.
	Success(service string)
	// Next returns whether a failed attempt may be retried, and after what delay.
	Next(a retry.Attempt) (retry.Decision, time.Duration)
}

// awaitRetry waits until a failed attempt may be retried: after the backoff, and
// once the budget has a retry left. It returns false if no retry is allowed
// before the deadline.
func (r *run) awaitRetry(ctx context.Context, cause error) bool {
	if r.d.Retrier == nil {
		return true
	}
	a := retry.Attempt{
		Service: r.job.Service, Failures: r.failures, Outcome: retry.Unknown,
		Idempotent: true, Deadline: r.job.Deadline,
	}
	if errors.Is(cause, engine.ErrNotRun) {
		a.Outcome = retry.NotRun
	}
	for {
		decision, delay := r.d.Retrier.Next(a)
		if decision == retry.Denied || !sleep.For(ctx, delay) {
			return false
		}
		if decision == retry.Granted {
			return true
		}
	}
}

// recordSuccess adds to the service's retry budget.
func (r *run) recordSuccess() {
	if r.d.Retrier != nil {
		r.d.Retrier.Success(r.job.Service)
	}
}
