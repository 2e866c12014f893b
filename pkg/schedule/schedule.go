// Package schedule decides which request goes to which endpoint, and when. A
// request is placed at once if an endpoint of its service has a place free and
// nobody waits; otherwise it waits in order of urgency and deadline, unless it
// can't be placed in time.
package schedule

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

// Errors of placing a request.
var (
	// ErrBusy means that no place will be free in time.
	ErrBusy = eris.New("schedule: no place in time")
	// ErrGone means that the caller left while its request waited.
	ErrCancelled = eris.New("schedule: caller left")
)

// BusyError is an ErrBusy that tells when a place is expected.
type BusyError struct {
	// After is the time until what waits at the best endpoint has been read.
	RetryAfter time.Duration
}

// Error implements error.
func (e *BusyError) Error() string { return ErrBusy.Error() }

// Is makes it an ErrBusy.
func (e *BusyError) Is(target error) bool { return target == ErrBusy }

const (
	// minSample is the least number of endpoints that are compared.
	minSampleSize = 2
	// samplesPerShare is the number of endpoints that are compared, in an
	// instance's equal shares of all endpoints.
	sampleFactor = 2
)

// Part is one part of a prompt, which other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Demand is what is known of a request when it is placed.
type Request struct {
	Service string
	// Route is the name of the request's route: what its answers have in common.
	Route string
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Arrived is when the caller first sent the request, Target its latency objective.
	Arrived time.Time
	Target  time.Duration
	// Deadline is when an answer is of no use any more.
	Deadline time.Time
	// Prompt and Output are the numbers of tokens read and written at most; 0 for plain calls.
	Prompt, Output int
	// OutputHint is the caller's guess of the output tokens; 0 if none.
	OutputHint int
	// Pause is the longest pause between two events that is still on time; 0 if any is.
	MaxEventGap time.Duration
	// EventTokens is the number of tokens in one event of the answer; 0 for plain calls.
	EventTokens int
	// Parts are the parts of the prompt in order.
	Parts []Part
	// Again is true if a place was asked for this request before.
	Retry bool
	// Avoid holds the ids of endpoints that this request must not go to.
	Avoid map[string]bool
}

// Endpoints lists the endpoints of a service that take new work.
type Endpoints interface {
	Service(name string) []*endpoints.Endpoint
}

// Scheduler places requests. It is safe for concurrent use.
type Scheduler struct {
	Endpoints Endpoints
	Slots     func(e *endpoints.Endpoint) int
	Now       func() time.Time
	// Members is the number of instances that place requests on the same endpoints.
	Members func() int
	// Asked sums the engine time of the requests to place.
	RequestedWork WorkCounter
	// Speeds holds what was learnt of the endpoints.
	Speeds *speed.Model

	// random returns a number from 0 to below n.
	random func(n int) int

	mu        sync.Mutex
	queues    map[string]*queue
	workMixes map[string]*workMix
}

// New returns a scheduler. places tells how many requests an endpoint may run at once.
func New(list Endpoints, slots func(*endpoints.Endpoint) int, now func() time.Time) *Scheduler {
	return &Scheduler{Endpoints: list, Slots: slots, Now: now, Members: singleInstance, Speeds: speed.New(now), random: rand.IntN, queues: make(map[string]*queue), workMixes: make(map[string]*workMix)}
}

// alone is the number of instances where there are no others.
func singleInstance() int { return 1 }

// sampling compares a few endpoints for each instance's share of them.
func (s *Scheduler) sampling(list []*endpoints.Endpoint) sampling {
	size := max(minSampleSize, int(math.Ceil(sampleFactor*float64(len(list))/float64(max(1, s.Members())))))
	return sampling{size: size, pick: s.random}
}

func (s *Scheduler) queueFor(service string) *queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[service]
	if !ok {
		q = &queue{}
		s.queues[service] = q
	}
	return q
}

// Place finds a place for a request, waiting for one if it will be free in
// time. The error is ErrBusy or ErrGone, and the request has not been sent.
func (s *Scheduler) Place(ctx context.Context, r Request) (*Placement, error) {
	q := s.queueFor(r.Service)
	now := s.Now()
	if !r.Retry {
		s.recordWork(r)
	}
	q.mu.Lock()
	if len(q.waiting) == 0 {
		p, overloaded := s.tryPlace(r, now)
		if p != nil {
			q.mu.Unlock()
			return p, nil
		}
		if overloaded != nil {
			q.mu.Unlock()
			return nil, overloaded
		}
	}
	limit := r.maxWait(now)
	w := &waiter{request: r, late: r.late(now), granted: make(chan *Placement, 1)}
	if limit <= 0 || q.expectedWait(w) > limit || s.triedAll(r) {
		q.mu.Unlock()
		return nil, ErrBusy
	}
	q.add(w)
	q.mu.Unlock()
	return s.waitForSlot(ctx, q, w, limit)
}

// ask counts the work of a request that arrives.
func (s *Scheduler) recordWork(r Request) {
	speeds := s.Speeds.Service(r.Service)
	work := r.engineTime(s.slotsPerEndpoint(r.Service), speeds)
	s.RequestedWork.add(r.Service, work)
	s.workMixFor(r.Service).add(work, r.hasLongPrompt(speeds.Estimate()))
}

// slots is the number of requests that an engine of a service runs at once; 0 if unknown.
func (s *Scheduler) slotsPerEndpoint(service string) int {
	list := s.Endpoints.Service(service)
	if len(list) == 0 {
		return 0
	}
	return list[0].Info().Slots
}

// exhausted tells whether the request has been at all endpoints of its service.
func (s *Scheduler) triedAll(r Request) bool {
	if len(r.Avoid) == 0 {
		return false
	}
	return !slices.ContainsFunc(s.Endpoints.Service(r.Service), func(e *endpoints.Endpoint) bool { return !r.Avoid[e.ID] })
}

func (s *Scheduler) waitForSlot(ctx context.Context, q *queue, w *waiter, limit time.Duration) (*Placement, error) {
	t := time.NewTimer(limit)
	defer t.Stop()
	err := ErrBusy
	select {
	case p := <-w.granted:
		return p, nil
	case <-ctx.Done():
		err = ErrCancelled
	case <-t.C:
	}
	q.mu.Lock()
	q.remove(w)
	q.mu.Unlock()
	select {
	case p := <-w.granted:
		if err == ErrBusy {
			return p, nil
		}
		p.End()
	default:
	}
	return nil, err
}

// try takes a place for a request, or returns nil. An error tells that there are
// places, but none at which the answer would begin in time. The queue's lock is held.
func (s *Scheduler) tryPlace(r Request, now time.Time) (*Placement, error) {
	list := s.Endpoints.Service(r.Service)
	speeds := s.Speeds.Service(r.Service)
	estimate := speeds.Estimate()
	if preferred := s.preferredEndpoints(list, r, estimate); preferred != nil {
		c, ok := choose(preferred, r, s.Slots, now, s.sampling(preferred), estimate)
		if ok && r.acceptable(c, estimate, now) {
			return s.start(r, c, speeds, now), nil
		}
	}
	c, ok := choose(list, r, s.Slots, now, s.sampling(list), estimate)
	if !ok {
		return nil, nil
	}
	if !r.acceptable(c, estimate, now) {
		return nil, &BusyError{RetryAfter: estimate.QueueWait(c.prefill)}
	}
	return s.start(r, c, speeds, now), nil
}

// ended notes a finished request and places those that wait.
func (s *Scheduler) requestEnded(service string) {
	q := s.queueFor(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := s.Now()
	q.recordEnd(now)
	s.grantWaiting(q, now)
}

// Changed places the requests that wait, after a change of the endpoints.
func (s *Scheduler) PlaceWaiting() {
	s.mu.Lock()
	list := make([]*queue, 0, len(s.queues))
	for _, q := range s.queues {
		list = append(list, q)
	}
	s.mu.Unlock()
	now := s.Now()
	for _, q := range list {
		q.mu.Lock()
		s.grantWaiting(q, now)
		q.mu.Unlock()
	}
}

// grant places waiting requests in their order. The queue's lock is held.
func (s *Scheduler) grantWaiting(q *queue, now time.Time) {
	for len(q.waiting) > 0 {
		w := q.waiting[0]
		p, _ := s.tryPlace(w.request, now)
		if p == nil {
			return
		}
		q.waiting = q.waiting[1:]
		w.granted <- p
	}
}

// Waiting returns the number of requests that wait for a service.
func (s *Scheduler) Waiting(service string) int {
	q := s.queueFor(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}
