// Package retry decides whether and when a failed attempt is repeated: within a
// budget that is a share of the successes, after an exponential backoff with
// full jitter, within the deadline, and never if the work may have run and must
// not run twice.
package retry

import (
	"sync"
	"time"
)

// Defaults of a budget.
const (
	// DefaultShare is the number of retries per success.
	DefaultShare = 0.2
	// DefaultBurst is the largest number of retries that are saved up.
	DefaultBurst = 20
	// DefaultFloor is the number of retries per second that are granted without
	// any success, so that a service that has just come back is found.
	DefaultFloor = 2.0
)

// Budget is a token bucket that successes fill. It is safe for concurrent use.
//
// Source: Google, "Site Reliability Engineering", chapter 22, 2016.
type Budget struct {
	share, burst, floor float64

	mu     sync.Mutex
	tokens float64
	// filled is when the floor was last added.
	filled time.Time
}

// NewBudget returns a full budget. Floor is in retries per second.
func NewBudget(share, burst, floor float64, now time.Time) *Budget {
	return &Budget{share: share, burst: burst, floor: floor, tokens: burst, filled: now}
}

// Success adds the share of one success.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Take takes one retry out of the budget, or reports that none is left.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d := now.Sub(b.filled); d > 0 {
		b.tokens = min(b.burst, b.tokens+d.Seconds()*b.floor)
		b.filled = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Allow takes a retry out of the budget of a service, for callers that choose
// their pauses and outcomes themselves.
func (h ServiceBudget) Allow() bool { return h.policy.budget(h.service).Take(h.policy.now()) }

// Success records a success of the service.
func (h ServiceBudget) Success() { h.policy.Success(h.service) }

// Handle is the budget of one service.
type ServiceBudget struct {
	policy  *Policy
	service string
}

// For returns the budget of a service.
func (p *Policy) ForService(service string) ServiceBudget {
	return ServiceBudget{policy: p, service: service}
}
