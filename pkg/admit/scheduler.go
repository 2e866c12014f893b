package admit

import (
	"math"
	"slices"
	"time"
)

// Limits and times of one service's scheduler.
const (
	// maxWaiting bounds the waiting requests of one flow at one entry.
	maxWaiting = 1024
	// defaultHold is the expected time of a request before the first has ended, in seconds.
	defaultDuration = 1.0
	// holdWeight is the weight of the newest request in the mean time.
	durationWeight = 0.05
	// exactFlows is the number of flows up to which shares are computed with each request.
	exactFlows = 16
	// planInterval is the age at which the shares of more flows are computed again.
	planInterval = 2 * time.Millisecond
	// minRetryAfter is the shortest time that a caller is told to wait.
	minRetryAfter = 50 * time.Millisecond
	// noCapacityRetryAfter is what callers are told while a service has no endpoint.
	noCapacityRetryAfter = 2 * time.Second
	// roundingSlack hides the error of floating-point sums when rounding up.
	roundingSlack = 1e-6
)

// scheduler decides for one service. Its methods are pure transitions on the
// given time; the caller holds the lock.
type scheduler struct {
	capacity      Capacity
	capacityKnown bool
	flows         map[flowKey]*flow
	// order holds the flows sorted by key, so that every walk is the same.
	order []*flow
	peers peerUsages
	// running holds the requests that run, in the order of their starts.
	running []*ticket
	waiting int
	// limit is the number of requests of this entry that may run.
	limit int
	// hold is the mean time that a request runs, in seconds.
	meanDuration float64
	plannedAt    time.Time
	// scratch is reused by plan.
	demands []*demand
}

func newScheduler() *scheduler {
	return &scheduler{flows: make(map[flowKey]*flow), peers: newPeerUsages(), meanDuration: defaultDuration}
}

// enter starts a request, queues it or refuses it.
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

// flow returns the flow of a request with the limits now in force.
func (s *scheduler) flow(r *Request) *flow {
	key := flowKey{workspace: r.Workspace.Name, priority: r.Priority}
	f := s.flowOf(key)
	f.weight = float64(max(1, r.Workspace.Weight))
	f.limit = s.flowLimit(r)
	return f
}

// flowOf returns the flow with a key; it is made if it is new.
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

// dropIdle forgets the flows of which nothing is left.
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

// leave takes a waiting request back. It reports false if it has left the queue already.
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

// index returns the position of a running request.
func (s *scheduler) index(t *ticket) int {
	i, _ := slices.BinarySearchFunc(s.running, t.started, func(r *ticket, started time.Time) int {
		return r.started.Compare(started)
	})
	for s.running[i] != t {
		i++
	}
	return i
}

// tick computes the shares afresh and refuses the waiting requests that can no
// longer start in time, for instance after a loss of capacity.
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

// plan computes the share of each flow: what is fair over all entries, split
// among the entries by their demand, so that what one leaves unused another has.
func (s *scheduler) plan(now time.Time, force bool) {
	if !force && len(s.flows) > exactFlows && now.Sub(s.plannedAt) < planInterval {
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

// available is the capacity less the part of live entries whose usage is not
// known now; each is taken to use an equal part.
func (s *scheduler) available() float64 {
	if !s.capacityKnown {
		return math.MaxInt32
	}
	return float64(s.capacity.Total()) * s.peers.reportedShare()
}

// roundUp rounds up, but for the error of floating-point sums.
func roundUp(x float64) int {
	return int(math.Ceil(x - roundingSlack))
}

// startReady starts waiting requests while places are free.
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

// start lets a request run. Callers may read the clock before they hold the
// lock, so a start is never set before the one that precedes it in the list.
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

// next returns the flow that a free place belongs to.
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
