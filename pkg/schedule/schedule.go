// Package schedule decides on which endpoint a request is placed, and when. A request
// is placed at once if an endpoint of its service has a free slot and no other request
// waits. Otherwise it waits in order of urgency and latency objective, or is refused if
// it can't be placed in time.
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
	"github.com/medlarsill/medlarsill/pkg/fairshare"
	"github.com/medlarsill/medlarsill/pkg/kvcache"
	"github.com/medlarsill/medlarsill/pkg/promptsplit"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

// Errors returned by Scheduler.Place.
var (
	// ErrBusy means that no slot will be free in time.
	ErrBusy = eris.New("schedule: no free slot in time")
	// ErrCancelled means that the context ended while the request waited.
	ErrCancelled = eris.New("schedule: cancelled while waiting for a slot")
)

// BusyError is an ErrBusy with the time after which a retry makes sense.
type BusyError struct {
	// RetryAfter is the expected time until the best endpoint has prefilled its pending
	// prompts or takes requests again.
	RetryAfter time.Duration
	// Limited is true if the limits that the endpoints announced permit no request now.
	Limited bool
	// OverShare is true if the request's workspace asks for more than its fair share.
	OverShare bool
}

// Error implements error.
func (e *BusyError) Error() string { return ErrBusy.Error() }

// Is reports whether target is ErrBusy.
func (e *BusyError) Is(target error) bool { return target == ErrBusy }

const (
	// minSampleSize is the smallest number of endpoints that are compared.
	minSampleSize = 2
	// sampleFactor is the number of endpoints that are compared, as a multiple of the
	// number of endpoints per instance.
	sampleFactor = 2
)

// Part is one part of a prompt, which other requests may share.
type Part = kvcache.Part

// Request describes a request to place.
type Request struct {
	Service string
	// Route is the name of the request's route. Output lengths are learned by route.
	Route string
	// Workspace is the name of the caller's workspace, "" if it has none. Capacity is shared fairly
	// between workspaces.
	Workspace string
	// Priority orders waiting requests; 0 is the most urgent.
	Priority int
	// Arrived is when the caller first sent the request; Target is its latency objective.
	Arrived time.Time
	Target  time.Duration
	// Deadline is the time after which an answer is useless to the caller.
	Deadline time.Time
	// Prompt is the number of prompt tokens and Output the maximum number of output
	// tokens; 0 for plain calls.
	Prompt, Output int
	// OutputHint is the caller's estimate of the number of output tokens; 0 if none.
	OutputHint int
	// MaxEventGap is the longest time between two events that is still on time; 0 means no limit.
	MaxEventGap time.Duration
	// EventTokens is the number of tokens in one event of the answer; 0 for plain calls.
	EventTokens int
	// Parts holds the parts of the prompt in order.
	Parts []Part
	// Retry is true if Place was called for this request before.
	Retry bool
	// Avoid holds the ids of endpoints on which this request must not be placed.
	Avoid map[string]bool
	// Build is the only build at which this request may be placed; 0 means any.
	Build endpoints.Build
	// Permits returns what reports whether the request may be placed on an endpoint now; nil permits
	// all. What is permitted may change while the request waits.
	Permits func() func(e *endpoints.Endpoint) bool
	// Ahead is true if TryPlace may place the request although others wait, as these may not be
	// placed where it may.
	Ahead bool
	// Moved is true if the run goes on with the KV cache that it has, so that the endpoint reads nothing.
	Moved bool

	// missCost is added to the cost of endpoints that probably don't hold the shared prefix.
	missCost time.Duration
	// fair tells how the request is treated for the sake of fair shares.
	fair fairPart
}

// accepts reports whether the request may be placed on an endpoint.
func (r Request) accepts(e *endpoints.Endpoint) bool {
	return !r.Avoid[e.ID] && (r.Build == 0 || e.Build() == r.Build) && (r.Permits == nil || r.Permits()(e))
}

// permitted returns the endpoints of a list that Permits permits. Those that it doesn't permit are
// no home of cached prompts either.
func (r Request) permitted(list []*endpoints.Endpoint) []*endpoints.Endpoint {
	if r.Permits == nil {
		return list
	}
	permits := r.Permits()
	if !slices.ContainsFunc(list, func(e *endpoints.Endpoint) bool { return !permits(e) }) {
		return list
	}
	out := make([]*endpoints.Endpoint, 0, len(list))
	for _, e := range list {
		if permits(e) {
			out = append(out, e)
		}
	}
	return out
}

// restricted reports whether the request may not be placed on all endpoints of its service.
func (r Request) restricted() bool { return len(r.Avoid) > 0 || r.Build != 0 }

// Endpoints lists the endpoints of a service that accept new requests.
type Endpoints interface {
	Service(name string) []*endpoints.Endpoint
}

// Limits tells which endpoints take a request now, by the limits that they announce.
type Limits interface {
	// Available reports whether a request may be sent to an endpoint now.
	Available(k endpoints.Key) bool
	// Take records that a request is placed on an endpoint, or returns false if none may be.
	Take(k endpoints.Key) bool
	// Wait returns the time until an endpoint is expected to take a request.
	Wait(k endpoints.Key) time.Duration
}

// Shares tells which endpoints have room for a request of this instance.
type Shares interface {
	// HasRoom reports whether a request may be placed on an endpoint now.
	HasRoom(e *endpoints.Endpoint) bool
	// Placed records that a request is placed on an endpoint, before it is part of its load.
	Placed(e *endpoints.Endpoint)
}

// Scheduler places requests. It is safe for concurrent use.
type Scheduler struct {
	Endpoints Endpoints
	Slots     func(e *endpoints.Endpoint) int
	Now       func() time.Time
	// Members returns the number of instances that place requests on the same endpoints.
	Members func() int
	// RequestedWork sums the engine time of all requests to place, including refused ones.
	RequestedWork WorkCounter
	// Speeds holds the learned speeds of the endpoints.
	Speeds *speed.Model
	// Limits holds the limits that the endpoints announce.
	Limits Limits
	// Shares holds this instance's shares of endpoints that are sensitive to overload.
	Shares Shares
	// Prefixes tells from which endpoints shared prefixes may be fetched. If it is nil, nothing is
	// fetched.
	Prefixes Prefixes
	// EndpointSpeeds holds how fast each endpoint is compared with its service.
	EndpointSpeeds EndpointSpeeds
	// Splits decides which endpoints are used for long prompts and which for short ones;
	// nil means all for both.
	Splits *promptsplit.Splits
	// FairShares tells which workspaces ask for more than their fair share of a service that lacks
	// capacity; nil means that all requests are treated alike.
	FairShares *fairshare.Shares

	// random returns a random number in [0, n).
	random func(n int) int

	mu        sync.Mutex
	queues    map[string]*queue
	workMixes map[string]*workMix
	// ranked holds the newest list of endpoints by service, as ranked for long prompts.
	ranked map[string]rankedList
}

// New returns a scheduler. slots returns the number of requests that an endpoint may run
// at once; 0 means no limit.
func New(list Endpoints, slots func(*endpoints.Endpoint) int, now func() time.Time) *Scheduler {
	return &Scheduler{
		Endpoints: list, Slots: slots, Now: now, Members: singleInstance, Speeds: speed.New(now), Limits: unlimited{}, Shares: unshared{},
		EndpointSpeeds: evenSpeeds{}, random: rand.IntN, queues: make(map[string]*queue), workMixes: make(map[string]*workMix), ranked: make(map[string]rankedList),
	}
}

// singleInstance is the default of Scheduler.Members.
func singleInstance() int { return 1 }

// sampling returns the sampling of a list of endpoints. The sample size grows with the
// number of endpoints per instance.
func (s *Scheduler) sampling(list []*endpoints.Endpoint) sampling {
	size := max(minSampleSize, int(math.Ceil(sampleFactor*float64(len(list))/float64(max(1, s.Members())))))
	return sampling{size: size, random: s.random}
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

// Place takes a slot for a request, waiting for one if it is expected to become free in
// time. If it fails, the error is ErrBusy or ErrCancelled and the request has not been sent.
func (s *Scheduler) Place(ctx context.Context, r Request) (*Placement, error) {
	r.fair = s.fairPartOf(r)
	p, err := s.placeOrWait(ctx, r)
	s.recordShortage(r, err)
	return p, err
}

// placeOrWait is Place for a request whose work was recorded.
func (s *Scheduler) placeOrWait(ctx context.Context, r Request) (*Placement, error) {
	q := s.queueFor(r.Service)
	now := s.Now()
	q.mu.Lock()
	if !q.blocks() {
		p, busy := s.tryPlace(r, now)
		if p != nil {
			q.mu.Unlock()
			return p, nil
		}
		if busy != nil {
			q.mu.Unlock()
			return nil, busy
		}
	}
	limit := r.maxWait(now)
	w := &waiter{request: r, late: r.late(now), result: make(chan placementResult, 1)}
	if busy := s.limitsUsedUp(r); busy != nil {
		q.mu.Unlock()
		return nil, busy
	}
	if r.fair.Excess {
		q.mu.Unlock()
		return nil, &BusyError{OverShare: true}
	}
	if limit <= 0 || q.expectedWait(w) > limit || s.acceptsNone(r) {
		q.mu.Unlock()
		return nil, ErrBusy
	}
	q.add(w)
	q.mu.Unlock()
	s.recordWait(r)
	return s.waitForSlot(ctx, q, w, limit)
}

// TryPlace takes a free slot for a request without waiting. It returns nil if there is none, or if
// other requests wait for one.
func (s *Scheduler) TryPlace(r Request) *Placement {
	q := s.queueFor(r.Service)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.blocks() && !r.Ahead {
		return nil
	}
	p, _ := s.tryPlace(r, s.Now()) // why there is none makes no difference
	if p != nil {
		p.request.fair = s.fairPartOf(r)
	}
	return p
}

// recordWork adds a new request to the engine time requested of its service. It returns how the
// request is treated for the sake of fair shares.
func (s *Scheduler) recordWork(r Request) fairPart {
	speeds := s.Speeds.Service(r.Service)
	work := r.engineTime(s.slotsPerEndpoint(r.Service), speeds)
	s.RequestedWork.add(r.Service, work)
	s.workMixFor(r.Service).add(work, r.hasLongPrompt(speeds.Estimate()))
	s.recordPrompt(r, work, speeds.Estimate())
	return s.recordDemand(r, work)
}

// slotsPerEndpoint returns the number of slots of a service's first endpoint, which
// stands for all of them; 0 if unknown.
func (s *Scheduler) slotsPerEndpoint(service string) int {
	list := s.Endpoints.Service(service)
	if len(list) == 0 {
		return 0
	}
	return list[0].Info().Slots
}

// acceptsNone reports whether a restricted request may be placed on no endpoint of its service.
func (s *Scheduler) acceptsNone(r Request) bool {
	return r.restricted() && !slices.ContainsFunc(s.Endpoints.Service(r.Service), r.accepts)
}

func (s *Scheduler) waitForSlot(ctx context.Context, q *queue, w *waiter, limit time.Duration) (*Placement, error) {
	t := time.NewTimer(limit)
	defer t.Stop()
	err := ErrBusy
	select {
	case result := <-w.result:
		return result.placement, result.err
	case <-ctx.Done():
		err = ErrCancelled
	case <-t.C:
	}
	q.mu.Lock()
	q.remove(w)
	q.mu.Unlock()
	select {
	case result := <-w.result:
		if err == ErrBusy {
			return result.placement, result.err
		}
		if result.placement != nil {
			result.placement.End()
		}
	default:
	}
	return nil, err
}

// tryPlace takes a slot for a request. It returns nil and no error if no slot is free,
// and a BusyError if there are free slots but the answer would begin too late. The
// caller holds the queue's lock.
func (s *Scheduler) tryPlace(r Request, now time.Time) (*Placement, error) {
	list := r.permitted(s.Endpoints.Service(r.Service))
	asked := r
	r.Permits = nil // all of the list are permitted
	speeds := s.Speeds.Service(r.Service)
	estimate := speeds.Estimate()
	if preferred := s.preferredEndpoints(list, r, estimate); preferred != nil {
		c, ok := s.choose(preferred, r, estimate, now)
		if ok && r.acceptable(c, estimate, now) {
			if !s.leavesRoom(r, c, estimate, now) {
				return nil, &BusyError{RetryAfter: c.queueWait(estimate), OverShare: true}
			}
			return s.start(r, c, speeds, now), nil
		}
	}
	parts := s.splitEndpoints(list, r, estimate)
	c, ok := s.chooseByPart(list, parts, r, estimate, now)
	if !ok {
		return nil, s.limitsUsedUp(asked)
	}
	if !r.acceptable(c, estimate, now) {
		return nil, &BusyError{RetryAfter: c.queueWait(estimate)}
	}
	if !s.leavesRoom(r, c, estimate, now) {
		return nil, &BusyError{RetryAfter: c.queueWait(estimate), OverShare: true}
	}
	p := s.start(r, c, speeds, now)
	s.recordPart(parts, r, p)
	return p, nil
}

// requestEnded records the end of a request and places waiting requests.
func (s *Scheduler) requestEnded(service string) {
	q := s.queueFor(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := s.Now()
	q.recordEnd(now)
	s.grantWaiting(q, now)
}

// PlaceWaiting places waiting requests. It is called after a change of the endpoints
// or their load.
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

// grantWaiting places waiting requests in order until one can't be placed that may be placed
// on any endpoint. It refuses those that wait in vain, as the limits of all endpoints are used
// up or no endpoint is left that they may be placed on. The caller holds the queue's lock.
func (s *Scheduler) grantWaiting(q *queue, now time.Time) {
	for i := 0; i < len(q.waiting); {
		w := q.waiting[i]
		p, err := s.tryPlace(w.request, now)
		if p == nil && s.acceptsNone(w.request) {
			err = ErrBusy
		} else if p == nil && !isLimited(err) {
			if !w.request.restricted() {
				return
			}
			i++
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		w.result <- placementResult{placement: p, err: err}
	}
}

// Waiting returns the number of requests that wait for a service.
func (s *Scheduler) Waiting(service string) int {
	q := s.queueFor(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}
