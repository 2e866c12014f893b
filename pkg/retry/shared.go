package retry

import (
	"sync"
	"time"
)

const (
	// initialFill is the fraction of its burst that a new budget holds: a process
	// that has just restarted may have spent its budget before the restart.
	initialFill = 0.5
	// safetyFactor is the fraction of the configured limits that is used.
	safetyFactor = 0.9
)

// SharedBudget is this instance's part of a retry budget that all instances
// share. Retries are limited to a fraction of the first sends of this instance,
// plus an equal part of a fixed extra.
type SharedBudget struct {
	share, extra float64
	instances    func() int
	now          func() time.Time

	mu      sync.Mutex
	budgets map[string]*Budget
}

// NewSharedBudget returns budgets of share retries per first send, plus extra
// retries divided by the number that instances returns.
func NewSharedBudget(share, extra float64, instances func() int, now func() time.Time) *SharedBudget {
	return &SharedBudget{share: share * safetyFactor, extra: extra * safetyFactor, instances: instances, now: now, budgets: make(map[string]*Budget)}
}

// RecordFirstSend records the first send of a request to a service.
func (s *SharedBudget) RecordFirstSend(service string) { s.budget(service).Success() }

// Allow removes one retry from the budget of a service, or returns false if none
// is left.
func (s *SharedBudget) Allow(service string) bool {
	return s.currentBudget(service).Take(s.now())
}

// Available reports whether a retry is left in the budget of a service.
func (s *SharedBudget) Available(service string) bool {
	return s.currentBudget(service).Available(s.now())
}

// currentBudget returns the budget of a service for the present number of instances.
func (s *SharedBudget) currentBudget(service string) *Budget {
	b := s.budget(service)
	b.setBurst(s.extra / float64(max(1, s.instances())))
	return b
}

// budget returns the budget of a service and creates it if necessary.
func (s *SharedBudget) budget(service string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[service]
	if !ok {
		burst := s.extra / float64(max(1, s.instances()))
		b = NewBudget(s.share, burst, 0, s.now())
		b.tokens = initialFill * burst
		s.budgets[service] = b
	}
	return b
}

// setBurst sets the capacity of the budget.
func (b *Budget) setBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}
