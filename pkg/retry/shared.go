package retry

import (
	"sync"
	"time"
)

const (
	// startShare is the part of its burst that a new budget holds: a process that
	// was just restarted may have spent its budget before.
	startShare = 0.5
	// margin is the part of the allowed repeats that is used.
	margin = 0.9
)

// Shared is this process's part of a budget of repeated sends that holds over
// all instances together: a share of the first sends seen here, and an equal
// part of a fixed extra.
type SharedBudget struct {
	share, extra float64
	members      func() int
	now          func() time.Time

	mu      sync.Mutex
	budgets map[string]*Budget
}

// NewShared returns budgets of a share of the first sends and of this
// instance's part of the extra repeats.
func NewSharedBudget(share, extra float64, members func() int, now func() time.Time) *SharedBudget {
	return &SharedBudget{share: share * margin, extra: extra * margin, members: members, now: now, budgets: make(map[string]*Budget)}
}

// First counts the first send of a request to a service.
func (s *SharedBudget) First(service string) { s.budget(service).Success() }

// Allow takes one more send to a service out of the budget.
func (s *SharedBudget) Allow(service string) bool {
	b := s.budget(service)
	b.limit(s.extra / float64(max(1, s.members())))
	return b.Take(s.now())
}

func (s *SharedBudget) budget(service string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[service]
	if !ok {
		burst := s.extra / float64(max(1, s.members()))
		b = NewBudget(s.share, burst, 0, s.now())
		b.tokens = startShare * burst
		s.budgets[service] = b
	}
	return b
}

// limit sets the largest number of retries that are saved up.
func (b *Budget) limit(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}
