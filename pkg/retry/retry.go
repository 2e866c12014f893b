package retry

import (
	"sync"
	"time"
)

// Bounds of the backoff.
const (
	// BaseDelay is the upper bound of the delay before the first retry.
	BaseDelay = 20 * time.Millisecond
	// MaxDelay is the upper bound of every delay.
	MaxDelay = 2 * time.Second
)

// Outcome states whether a failed attempt may have run.
type Outcome int

// The outcomes of a failed attempt.
const (
	// NotRun means that the attempt certainly did not run.
	NotRun Outcome = iota
	// Unknown means that the attempt may have run.
	Unknown
)

// Attempt describes a failed attempt.
type Attempt struct {
	Service string
	// Failures is the number of failed attempts of the request so far, at least 1.
	Failures int
	Outcome  Outcome
	// Idempotent means that the request may run more than once.
	Idempotent bool
	Deadline   time.Time
}

// Decision is the result of Policy.Next.
type Decision int

// The decisions on a failed attempt.
const (
	// Denied means that the request must not be retried.
	Denied Decision = iota
	// Deferred means that the budget is empty; the caller may call Next again after
	// the delay.
	Deferred
	// Granted means that the request may be retried after the delay.
	Granted
)

// Policy decides on retries, with one budget for each service.
type Policy struct {
	now func() time.Time
	// uniform returns a random number in [0, 1).
	uniform func() float64

	mu      sync.RWMutex
	budgets map[string]*Budget
}

// NewPolicy returns a Policy whose budgets are initially full. The function
// uniform must return random numbers in [0, 1) and be safe for concurrent use.
func NewPolicy(now func() time.Time, uniform func() float64) *Policy {
	return &Policy{now: now, uniform: uniform, budgets: make(map[string]*Budget)}
}

// Success records a successful request to a service.
func (p *Policy) Success(service string) { p.budget(service).Success() }

// Next decides on a failed attempt and returns the delay before the retry. If the
// retry is granted, the delay ends before the deadline.
func (p *Policy) Next(a Attempt) (Decision, time.Duration) {
	if a.Outcome == Unknown && !a.Idempotent {
		return Denied, 0
	}
	now := p.now()
	delay := Backoff(a.Failures, p.uniform())
	if !now.Add(delay).Before(a.Deadline) {
		return Denied, 0
	}
	if !p.budget(a.Service).Take(now) {
		return Deferred, max(delay, BaseDelay)
	}
	return Granted, delay
}

// budget returns the budget of a service and creates it if necessary.
func (p *Policy) budget(service string) *Budget {
	p.mu.RLock()
	b, ok := p.budgets[service]
	p.mu.RUnlock()
	if ok {
		return b
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, ok := p.budgets[service]; ok {
		return b
	}
	b = NewBudget(DefaultShare, DefaultBurst, DefaultFloor, p.now())
	p.budgets[service] = b
	return b
}

// Backoff returns the delay before a retry: a fraction, random in [0, 1), of a
// bound that doubles with each failure up to MaxDelay.
//
// Source: Brooker, "Exponential backoff and jitter", AWS Architecture Blog, 2015.
func Backoff(failures int, random float64) time.Duration {
	bound := BaseDelay
	for i := 1; i < failures && bound < MaxDelay; i++ {
		bound *= 2
	}
	return time.Duration(random * float64(min(bound, MaxDelay)))
}
