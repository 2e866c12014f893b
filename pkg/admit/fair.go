package admit

import (
	"context"
	"sync"
	"time"
)

// TickInterval is the time between two calls of Tick.
const TickInterval = 100 * time.Millisecond

// FairAdmitter is an Admitter that shares the endpoints among workspaces by weight. Shares
// apply to all entries together: entries send each other their usage, without using the store.
type FairAdmitter struct {
	// Metrics may be nil.
	Metrics *Metrics

	self     string
	now      func() time.Time
	accounts *accounts

	mu       sync.RWMutex
	services map[string]*service
	// live lists the other live entries, for the schedulers of services created later.
	live []string
	// usages holds the newest usage of each other entry.
	usages map[string]Usage
}

// service is the scheduler of one service with its own lock.
type service struct {
	mu        sync.Mutex
	scheduler *scheduler
}

var _ Admitter = (*FairAdmitter)(nil)

// NewFairAdmitter returns the admitter of the entry with the given id. A byte budget of 0
// means DefaultByteBudget.
func NewFairAdmitter(self string, now func() time.Time, byteBudget int64) *FairAdmitter {
	if byteBudget == 0 {
		byteBudget = DefaultByteBudget
	}
	return &FairAdmitter{
		self: self, now: now, accounts: newAccounts(byteBudget),
		services: make(map[string]*service), usages: make(map[string]Usage),
	}
}

// Admit implements Admitter. It returns when the request may start, when it is refused, or
// when the context is done.
func (f *FairAdmitter) Admit(ctx context.Context, r Request) (func(), error) {
	arrived := f.now()
	s := f.service(r.Service.Name)
	t, err := f.admit(ctx, s, &r)
	if err != nil {
		f.Metrics.recordOutcome(r.Service.Name, 0, err)
		return nil, err
	}
	f.Metrics.recordOutcome(r.Service.Name, t.started.Sub(arrived), nil)
	return func() { f.release(s, t, &r) }, nil
}

// admit reserves memory and a slot.
func (f *FairAdmitter) admit(ctx context.Context, s *service, r *Request) (*ticket, error) {
	if reason, ok := f.accounts.reserve(r); !ok {
		return nil, &Refusal{RetryAfter: s.meanDuration(), Reason: reason}
	}
	t, refusal := s.submit(f.now(), r)
	if refusal == nil && t.ready != nil {
		refusal = f.wait(ctx, s, t)
	}
	if refusal != nil {
		f.accounts.release(r.Workspace.Name, r.Bytes)
		return nil, refusal
	}
	if err := ctx.Err(); err != nil {
		f.release(s, t, r)
		return nil, err
	}
	return t, nil
}

// wait waits until a queued request is started or refused, or the context is done.
func (f *FairAdmitter) wait(ctx context.Context, s *service, t *ticket) *Refusal {
	select {
	case <-t.ready:
		return t.refusal
	case <-ctx.Done():
	}
	if s.cancel(f.now(), t) {
		return &Refusal{RetryAfter: minRetryAfter, Reason: "the caller has gone", callerGone: true}
	}
	return t.refusal
}

// release ends a running request; a second call has no effect.
func (f *FairAdmitter) release(s *service, t *ticket, r *Request) {
	if t.released.Swap(true) {
		return
	}
	s.finish(f.now(), t)
	f.accounts.release(r.Workspace.Name, r.Bytes)
}

// service returns the service with the given name and creates it if necessary.
func (f *FairAdmitter) service(name string) *service {
	f.mu.RLock()
	s, ok := f.services[name]
	f.mu.RUnlock()
	if ok {
		return s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.services[name]; ok {
		return s
	}
	s = &service{scheduler: newScheduler()}
	s.scheduler.peers.setLive(f.live)
	f.services[name] = s
	return s
}

// SetCapacity sets the capacity of a service.
func (f *FairAdmitter) SetCapacity(name string, c Capacity) {
	s := f.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.capacity, s.scheduler.capacityKnown = c, true
}

// Tick recomputes all shares and refuses waiting requests that can no longer start in time.
func (f *FairAdmitter) Tick() {
	now := f.now()
	f.mu.RLock()
	defer f.mu.RUnlock()
	for name, s := range f.services {
		s.mu.Lock()
		s.scheduler.tick(now)
		f.Metrics.recordState(name, s.scheduler)
		s.mu.Unlock()
	}
}

func (f *FairAdmitter) allServices() []*service {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make([]*service, 0, len(f.services))
	for _, s := range f.services {
		out = append(out, s)
	}
	return out
}

func (s *service) submit(now time.Time, r *Request) (*ticket, *Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.submit(now, r)
}

func (s *service) cancel(now time.Time, t *ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.cancel(now, t)
}

func (s *service) finish(now time.Time, t *ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.finish(now, t)
}

func (s *service) meanDuration() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(minRetryAfter, time.Duration(s.scheduler.meanDuration*float64(time.Second)))
}
