package retry

import (
	"sync"
	"time"
)

// Times of the backoff.
const (
	// BaseDelay bounds the pause before the first retry.
	BaseDelay = 20 * time.Millisecond
	// MaxDelay bounds every pause.
	MaxDelay = 2 * time.Second
)

// Outcome tells what is known of a failed attempt.
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
	// Idempotent work may run more than once.
	Idempotent bool
	Deadline   time.Time
}

// Verdict is the answer of a Policy.
type Decision int

// The verdicts on a failed attempt.
const (
	// Never means that the request must not be repeated.
	Denied Decision = iota
	// Wait means that the budget is empty; the caller may ask again after the pause.
	Deferred
	// Repeat means that the request may be repeated after the pause.
	Granted
)

// Policy holds a budget for each service.
type Policy struct {
	now func() time.Time
	// uniform returns a random number from 0 to below 1.
	uniform func() float64

	mu      sync.RWMutex
	budgets map[string]*Budget
}

// NewPolicy returns a policy with full budgets. Uniform is called from many goroutines.
func NewPolicy(now func() time.Time, uniform func() float64) *Policy {
	return &Policy{now: now, uniform: uniform, budgets: make(map[string]*Budget)}
}

// Success records a success of a service.
func (p *Policy) Success(service string) { p.budget(service).Success() }

// Next decides on a failed attempt. The pause ends before the deadline.
func (p *Policy) Next(a Attempt) (Decision, time.Duration) {
	if a.Outcome == Unknown && !a.Idempotent {
		return Denied, 0
	}
	now := p.now()
	pause := Backoff(a.Failures, p.uniform())
	if !now.Add(pause).Before(a.Deadline) {
		return Denied, 0
	}
	if !p.budget(a.Service).Take(now) {
		return Deferred, max(pause, BaseDelay)
	}
	return Granted, pause
}

// budget returns the budget of a service; it is made if it is new.
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

// Backoff returns the pause before a retry: a random part, given from 0 to
// below 1, of a bound that doubles with each failure.
//
// Source: Brooker, "Exponential backoff and jitter", AWS Architecture Blog, 2015.
func Backoff(failures int, random float64) time.Duration {
	bound := BaseDelay
	for i := 1; i < failures && bound < MaxDelay; i++ {
		bound *= 2
	}
	return time.Duration(random * float64(min(bound, MaxDelay)))
}
