package admit

import (
	"math"
	"slices"
	"time"
)

// Limits and times of one service's scheduler.
const (
	// maxWaiting bounds the number of waiting requests of one flow at one entry.
	maxWaiting = 1024
	// defaultDuration is the initial mean run time of requests, in seconds.
	defaultDuration = 1.0
	// durationWeight is the weight of the newest request in the mean run time.
	durationWeight = 0.05
	// maxExactFlows is the number of flows up to which shares are recomputed for each request.
	maxExactFlows = 16
	// planInterval is the minimum time between computations of the shares of more flows
	// than maxExactFlows.
	planInterval = 2 * time.Millisecond
	// minRetryAfter is the shortest RetryAfter of a refusal.
	minRetryAfter = 50 * time.Millisecond
	// noCapacityRetryAfter is the RetryAfter of refusals while a service has no endpoint.
	noCapacityRetryAfter = 2 * time.Second
	// roundingSlack is the floating-point error of sums that roundUp tolerates.
	roundingSlack = 1e-6
)

// scheduler starts, queues and refuses the requests of one service. Its methods don't read
// the clock: the caller passes the time and holds the lock.
type scheduler struct {
	capacity      Capacity
	capacityKnown bool
	flows         map[flowKey]*flow
	// order holds the flows sorted by key, for a deterministic order of iteration.
	order []*flow
	peers peerUsages
	// running holds the running requests in the order of their starts.
	running []*ticket
	waiting int
	// limit is the number of requests of this entry that may run.
	limit int
	// meanDuration is the mean run time of requests, in seconds.
	meanDuration float64
	plannedAt    time.Time
	// demands is a buffer reused by plan.
	demands []*demand
}

func newScheduler() *scheduler {
	return &scheduler{flows: make(map[flowKey]*flow), peers: newPeerUsages(), meanDuration: defaultDuration}
}

// submit starts a request, queues it or refuses it.
func (s *scheduler) submit(now time.Time, r *Request) (*ticket, *Refusal) {
	if s.capacityKnown && s.capacity.Total() == 0 {
		return nil, &Refusal{RetryAfter: noCapacityRetryAfter, Reason: "the service has no endpoint now"}
	}
	f := s.flow(r)
	if f.limit < 1 {
		return nil, &Refusal{RetryAfter: noCapacityRetryAfter, Reason: "the service has no endpoint in an allowed data centre now"}
	}
	if len(f.waiting) >= maxWaiting {
		return nil, refuse(s.expectedWait(now, f, 0), 0, "the queue of the workspace is full")
	}
	t := &ticket{flow: f, deadline: r.Deadline}
	f.push(t)
	s.waiting++
	s.plan(now, false)
	s.startWaiting(now)
	if !t.started.IsZero() {
		return t, nil
	}
	if refusal := s.refuseIfLate(now, t, f.position(t.deadline)-1); refusal != nil {
		f.remove(t)
		s.waiting--
		return nil, refusal
	}
	t.ready = make(chan struct{})
	return t, nil
}

// flow returns the flow of a request with its current weight and limit.
func (s *scheduler) flow(r *Request) *flow {
	key := flowKey{workspace: r.Workspace.Name, priority: r.Priority}
	f := s.flowOf(key)
	f.weight = float64(max(1, r.Workspace.Weight))
	f.limit = s.flowLimit(r)
	return f
}

// flowOf returns the flow with the given key and creates it if necessary.
func (s *scheduler) flowOf(key flowKey) *flow {
	if f, ok := s.flows[key]; ok {
		return f
	}
	f := &flow{key: key}
	s.flows[key] = f
	i, _ := slices.BinarySearchFunc(s.order, key, func(f *flow, k flowKey) int { return f.key.compare(k) })
	s.order = slices.Insert(s.order, i, f)
	return f
}

// dropIdle removes the idle flows.
func (s *scheduler) dropIdle() {
	s.order = slices.DeleteFunc(s.order, func(f *flow) bool {
		if f.idle() {
			delete(s.flows, f.key)
			return true
		}
		return false
	})
}

func (s *scheduler) flowLimit(r *Request) float64 {
	limit := math.Inf(1)
	if s.capacityKnown {
		limit = float64(s.capacity.In(r.Workspace.DataCentres))
	}
	if r.Workspace.MaxInFlight > 0 {
		limit = min(limit, float64(r.Workspace.MaxInFlight))
	}
	return limit
}

// cancel removes a waiting request from the queue. It returns false if the request is no
// longer queued.
func (s *scheduler) cancel(now time.Time, t *ticket) bool {
	if !t.flow.remove(t) {
		return false
	}
	s.waiting--
	s.plan(now, false)
	s.startWaiting(now)
	return true
}

// finish ends a running request.
func (s *scheduler) finish(now time.Time, t *ticket) {
	t.flow.running--
	i := s.index(t)
	s.running = slices.Delete(s.running, i, i+1)
	s.meanDuration += durationWeight * (now.Sub(t.started).Seconds() - s.meanDuration)
	s.plan(now, false)
	s.startWaiting(now)
}

// index returns the position of a running request in s.running.
func (s *scheduler) index(t *ticket) int {
	i, _ := slices.BinarySearchFunc(s.running, t.started, func(r *ticket, started time.Time) int {
		return r.started.Compare(started)
	})
	for s.running[i] != t {
		i++
	}
	return i
}

// tick recomputes the shares and refuses the waiting requests that can no longer start in
// time, for example after a loss of capacity.
func (s *scheduler) tick(now time.Time) {
	s.plan(now, true)
	s.startWaiting(now)
	for _, f := range s.order {
		s.refuseLate(now, f)
	}
}

func (s *scheduler) refuseLate(now time.Time, f *flow) {
	kept := f.waiting[:0]
	for _, t := range f.waiting {
		if t.refusal = s.refuseIfLate(now, t, len(kept)); t.refusal != nil {
			s.waiting--
			close(t.ready)
			continue
		}
		kept = append(kept, t)
	}
	clear(f.waiting[len(kept):])
	f.waiting = kept
}

// plan computes the share of each flow: its fair share over all entries, split among the
// entries in proportion to their demand, so that no entry holds unused capacity. Unless
// force is true, it may keep recent shares.
func (s *scheduler) plan(now time.Time, force bool) {
	if !force && len(s.flows) > maxExactFlows && now.Sub(s.plannedAt) < planInterval {
		return
	}
	s.plannedAt = now
	s.peers.expire(now)
	s.applyPeers()
	s.dropIdle()
	s.demands = s.demands[:0]
	for _, f := range s.order {
		want := min(float64(f.localCount()+f.peerCount.total()), f.limit)
		f.demand = demand{priority: f.key.priority, weight: f.weight, want: want}
		s.demands = append(s.demands, &f.demand)
	}
	allocate(s.available(), s.demands)
	sum := 0.0
	for _, f := range s.order {
		f.share = f.demand.share * float64(f.localCount()) / float64(f.localCount()+f.peerCount.total())
		sum += f.share
	}
	s.limit = max(int(math.Round(sum)), min(1, roundUp(sum)))
}

// available returns the capacity less an equal share for each live entry whose usage is
// not known.
func (s *scheduler) available() float64 {
	if !s.capacityKnown {
		return math.MaxInt32
	}
	return float64(s.capacity.Total()) * s.peers.reportedShare()
}

// roundUp rounds up, except for an excess within the floating-point error of sums.
func roundUp(x float64) int {
	return int(math.Ceil(x - roundingSlack))
}

// startWaiting starts waiting requests while slots are free.
func (s *scheduler) startWaiting(now time.Time) {
	for s.waiting > 0 && len(s.running) < s.limit {
		f := s.next()
		if f == nil {
			return
		}
		t := f.waiting[0]
		f.remove(t)
		s.waiting--
		s.start(now, t)
	}
}

// start starts a request. Callers may read the clock before they acquire the lock, so the
// start time is raised to that of the previous request if it is earlier.
func (s *scheduler) start(now time.Time, t *ticket) {
	if n := len(s.running); n > 0 && now.Before(s.running[n-1].started) {
		now = s.running[n-1].started
	}
	t.started = now
	t.flow.running++
	s.running = append(s.running, t)
	if t.ready != nil {
		close(t.ready)
	}
}

// next returns the flow that gets the next free slot, or nil.
func (s *scheduler) next() *flow {
	var best *flow
	for _, f := range s.order {
		if len(f.waiting) == 0 || f.running >= roundUp(f.share) {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}
