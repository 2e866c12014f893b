// Package retry decides whether and when a failed attempt is retried: within a
// budget that is a fraction of the successes, after an exponential backoff with
// full jitter, before the deadline, and never if a non-idempotent request may
// have run.
package retry

import (
	"sync"
	"time"
)

// Default parameters of a budget.
const (
	// DefaultShare is the number of retries that each success adds.
	DefaultShare = 0.2
	// DefaultBurst is the capacity of the budget, in retries.
	DefaultBurst = 20
	// DefaultFloor is the number of retries per second that are granted even
	// without successes, so that requests reach a service that has recovered.
	DefaultFloor = 2.0
)

// Budget is a token bucket that is filled by successes and, slowly, by time. It is
// safe for concurrent use.
//
// Source: Google, "Site Reliability Engineering", chapter 22, 2016.
type Budget struct {
	share, burst, floor float64

	mu     sync.Mutex
	tokens float64
	// refilledAt is when the tokens of the floor were last added.
	refilledAt time.Time
}

// NewBudget returns a full budget of burst retries. Each success adds share
// retries and each second adds floor retries.
func NewBudget(share, burst, floor float64, now time.Time) *Budget {
	return &Budget{share: share, burst: burst, floor: floor, tokens: burst, refilledAt: now}
}

// Success adds the retries that one success earns.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Take removes one retry from the budget, or returns false if none is left.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available reports whether a retry is left.
func (b *Budget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens >= 1
}

// refill adds the retries that the time since the last call earns. The caller holds the lock.
func (b *Budget) refill(now time.Time) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens = min(b.burst, b.tokens+d.Seconds()*b.floor)
		b.refilledAt = now
	}
}

// Allow removes one retry from the budget, or returns false if none is left. It is
// for callers that do not use Policy.Next.
func (b ServiceBudget) Allow() bool { return b.policy.budget(b.service).Take(b.policy.now()) }

// Success records a successful request to the service.
func (b ServiceBudget) Success() { b.policy.Success(b.service) }

// ServiceBudget is the budget of one service in a Policy.
type ServiceBudget struct {
	policy  *Policy
	service string
}

// ForService returns the budget of a service.
func (p *Policy) ForService(service string) ServiceBudget {
	return ServiceBudget{policy: p, service: service}
}
