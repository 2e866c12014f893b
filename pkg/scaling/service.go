package scaling

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

const (
	// reorderDelay is added to the boot time; an order whose instances have not
	// appeared by then is repeated.
	reorderDelay = 3 * time.Second
	// registrationTime is the longest usual time from the end of an instance's boot until its
	// registration is known.
	registrationTime = 500 * time.Millisecond
	// takeoverSettleTime is how long a new holder of the duty keeps the on-demand
	// instances that it found.
	takeoverSettleTime = 10 * time.Second
	// refusalRetryInterval is the time between two orders while the platform refuses them.
	refusalRetryInterval = time.Second
	// releaseDelay is how long a surplus of reclaimable instances must last before
	// they are released.
	releaseDelay = 6 * time.Second
	// withdrawPart is the part of an order by which it must be too large for its booting instances to be
	// withdrawn, so that not each small change of the demand is an order.
	withdrawPart = 8
	// shortageReleaseDelay is how long a surplus of on-demand instances must last before they are
	// released while reclaimable ones are refused: others would take their boot time to replace them.
	shortageReleaseDelay = 2 * time.Second
	// longShortage is how long reclaimable instances must have been refused until running ones are released
	// nevertheless. Shortages after reclaims are shorter; a data centre that refuses all the time would
	// otherwise keep the instances of the others at the highest demand so far.
	longShortage = time.Minute
	// riseTime and fallTime are the smoothing times of growing and falling demand.
	riseTime = time.Second
	fallTime = 12 * time.Second
)

// service is the planner's state of a service while it holds the duty.
type service struct {
	// demand is the smoothed demand; demandAt is when it was last updated.
	demand   float64
	demandAt time.Time
	// shortages measures how often on-demand instances replace reclaimable ones.
	shortages shortageShare
	account   account
	// room holds how many further instances each data centre had room for after the last plan.
	room map[string]int
	// loggedAt is when the demand was last logged.
	loggedAt time.Time
	// unused is true on the first start of the system until there is demand.
	unused bool
	// plannedSince is when this process began to plan for the service.
	plannedSince time.Time
	ordered      map[Pool]order
	refused      map[Pool]time.Time
	// scarceSince is when reclaimable instances began to be refused; zero while they aren't.
	scarceSince time.Time
	// lastPresent holds the number of instances present at the last plan.
	lastPresent map[Pool]int
	// surplusSince holds when a pool began to have more instances than wanted.
	surplusSince map[Pool]time.Time
	// roomSince holds when on-demand instances were last released beside a pool of reclaimable
	// ones: an order that the data centre's limit cut down can be filled further.
	roomSince map[Pool]time.Time
}

type order struct {
	count int
	at    time.Time
	// missing is the number of instances that were to boot when it was sent, as far as there was room.
	missing int
}

// booting returns the number of instances of an order that still boot. Those that are missing registrationTime
// after their boot weren't started: the limit of a data centre cuts orders down without a refusal.
func (o order) booting(present int, boot time.Duration, now time.Time) int {
	if now.Sub(o.at) > boot+registrationTime {
		return 0
	}
	return max(0, min(o.missing, o.count-present))
}

func newService(firstStart bool, now time.Time) *service {
	return &service{
		unused: firstStart, plannedSince: now, ordered: make(map[Pool]order),
		refused: make(map[Pool]time.Time), lastPresent: make(map[Pool]int), surplusSince: make(map[Pool]time.Time), roomSince: make(map[Pool]time.Time),
		room: make(map[string]int),
	}
}

// recordOrder records an order that the platform has accepted.
func (s *service) recordOrder(pool Pool, count int, now time.Time) {
	if !pool.Reclaimable && count < s.ordered[pool].count {
		s.roomSince[Pool{DataCentre: pool.DataCentre, Reclaimable: true}] = now
	}
	s.ordered[pool] = order{count: count, at: now, missing: s.expectedBoots(pool, count)}
	s.clearRefusals(pool)
}

// orderedCounts returns the number of instances last ordered, by pool.
func (s *service) orderedCounts() map[Pool]int {
	out := make(map[Pool]int, len(s.ordered))
	for pool, o := range s.ordered {
		out[pool] = o.count
	}
	return out
}

// bootingCounts returns the number of instances that boot, by pool.
func (s *service) bootingCounts(present map[Pool]int, boot time.Duration, now time.Time) map[Pool]int {
	out := make(map[Pool]int, len(s.ordered))
	for pool, o := range s.ordered {
		out[pool] = o.booting(present[pool], boot, now)
	}
	return out
}

// recordRoom records how many further instances each data centre has room for. Leaving ones take room until
// they end.
func (s *service) recordRoom(limits *routing.Scaling, running ...map[Pool]int) {
	for dc := range limits.Prices {
		s.room[dc] = limits.Max
		for _, counts := range running {
			s.room[dc] -= counts[Pool{DataCentre: dc}] + counts[Pool{DataCentre: dc, Reclaimable: true}]
		}
	}
}

// expectedBoots returns the number of instances that the platform starts for an order. The room may be unknown.
func (s *service) expectedBoots(pool Pool, count int) int {
	missing := count - s.lastPresent[pool]
	if room, known := s.room[pool.DataCentre]; known {
		missing = min(missing, room)
	}
	return max(0, missing)
}

// smoothDemand updates the smoothed demand with an observed one.
func (s *service) smoothDemand(demand float64, now time.Time) {
	if s.demandAt.IsZero() {
		s.demand, s.demandAt = demand, now
		return
	}
	s.demand = smooth(s.demand, demand, now.Sub(s.demandAt), riseTime, fallTime)
	s.demandAt = now
}

// smooth moves a smoothed value towards an observed one.
func smooth(value, observed float64, elapsed, rise, fall time.Duration) float64 {
	span := fall
	if observed > value {
		span = rise
	}
	return value + min(1, elapsed.Seconds()/span.Seconds())*(observed-value)
}

// dueOrder returns the number of instances to order for a pool, and whether an
// order is due.
func (s *service) dueOrder(pool Pool, want, present map[Pool]int, limits *routing.Scaling, now time.Time) (int, bool) {
	wanted, have := s.wantedNow(pool, want, present, limits.Max, now), present[pool]
	last, known := s.ordered[pool]
	if !known {
		last.count = have
	}
	lost := have < s.lastPresent[pool]
	s.lastPresent[pool] = have
	missing := have < wanted && (lost || now.Sub(last.at) > limits.Boot+reorderDelay)
	switch {
	case wanted > last.count && have <= wanted || missing:
		delete(s.surplusSince, pool)
		return wanted, !s.recentlyRefused(pool, now)
	case have < wanted && s.roomSince[pool].After(last.at) && now.Sub(s.roomSince[pool]) >= stepInterval:
		return wanted, !s.recentlyRefused(pool, now)
	case wanted != last.count && have > wanted && s.mayRelease(pool, now):
		// More may run than the last known order asked for, if a later one wasn't stored or answered.
		return s.release(pool, wanted, want, present, now)
	case wanted < last.count-last.count/withdrawPart && have == 0 && !pool.Reclaimable && s.mayRelease(pool, now):
		return wanted, true // None runs yet, so the order withdraws only instances that boot.
	case !pool.Reclaimable && have > 0 && s.reclaimableAvailable(now):
		s.startSurplus(pool, now) // They are kept until reclaimable ones have booted, and not longer.
		return 0, false
	}
	delete(s.surplusSince, pool)
	return 0, false
}

// startSurplus returns when a pool began to have more instances than wanted; now if it has just begun.
func (s *service) startSurplus(pool Pool, now time.Time) (since time.Time, running bool) {
	since, running = s.surplusSince[pool]
	if !running {
		since = now
		s.surplusSince[pool] = now
	}
	return since, running
}

// wantedNow returns the wanted number of instances of a pool. On-demand instances that leave no room
// for wanted reclaimable ones are wanted only as far as neededInstances wouldn't remain without them.
func (s *service) wantedNow(pool Pool, want, present map[Pool]int, limit int, now time.Time) int {
	if pool.Reclaimable || !s.reclaimableAvailable(now) || !full(pool.DataCentre, want, present, limit) {
		return want[pool]
	}
	return min(want[pool], s.withoutSurplus(present[pool], present))
}

// withoutSurplus returns what remains of a number of instances if those beyond neededInstances leave.
func (s *service) withoutSurplus(count int, present map[Pool]int) int {
	return max(0, count-max(0, sum(present)-neededInstances(s.demand)))
}

// settled reports whether this process has planned for long enough to release on-demand instances. A
// new holder of the duty doesn't know yet whether reclaimable ones are refused.
func (s *service) settled(now time.Time) bool {
	return s.unused || now.Sub(s.plannedSince) >= takeoverSettleTime
}

// reclaimableAvailable reports whether reclaimable instances are known to be available.
func (s *service) reclaimableAvailable(now time.Time) bool {
	return s.settled(now) && !s.reclaimableScarce(now)
}

func (s *service) reclaimableScarce(now time.Time) bool {
	return Observation{Refused: s.refused, Now: now}.reclaimableScarce()
}

// recordScarcity records since when reclaimable instances have been refused.
func (s *service) recordScarcity(now time.Time) {
	switch {
	case !s.reclaimableScarce(now):
		s.scarceSince = time.Time{}
	case s.scarceSince.IsZero():
		s.scarceSince = now
	}
}

// inLongShortage reports whether reclaimable instances have been refused for longShortage.
func (s *service) inLongShortage(now time.Time) bool {
	return !s.scarceSince.IsZero() && now.Sub(s.scarceSince) >= longShortage
}

// mayRelease reports whether instances of a pool may be released. While reclaimable instances are refused,
// those that run stay for longShortage: they can't be replaced, and on-demand ones would be missed instead. Before the
// first requests the demand is assumed, so on-demand instances stay too.
func (s *service) mayRelease(pool Pool, now time.Time) bool {
	if pool.Reclaimable {
		return !s.reclaimableScarce(now) || s.inLongShortage(now)
	}
	return s.settled(now) && !(s.unused && s.reclaimableScarce(now))
}

// recentlyRefused reports whether the platform refused an order for a pool within
// refusalRetryInterval. Reclaimable instances that are refused in one data centre are
// often refused in all, so for them a refusal in any data centre counts and a single
// order probes whether they are available again.
func (s *service) recentlyRefused(pool Pool, now time.Time) bool {
	if !pool.Reclaimable {
		return now.Sub(s.refused[pool]) < refusalRetryInterval
	}
	for other, at := range s.refused {
		if other.Reclaimable && now.Sub(at) < refusalRetryInterval {
			return true
		}
	}
	return false
}

// release returns the reduced number of instances of a pool whose surplus has lasted, and whether to
// order it. Reclaimable instances are released if at least as many instances as planned remain in
// total, on-demand ones as long as neededInstances remain.
func (s *service) release(pool Pool, wanted int, want, present map[Pool]int, now time.Time) (int, bool) {
	since, running := s.startSurplus(pool, now)
	if !running {
		return 0, false
	}
	if now.Sub(since) < s.releaseWait(pool, now) && !s.unused {
		return 0, false
	}
	count, have := wanted, present[pool]
	switch {
	case s.unused:
	case pool.Reclaimable && sum(present)-sum(want) < have-count:
		return 0, false
	case !pool.Reclaimable:
		count = max(count, s.withoutSurplus(have, present))
	}
	if count == have {
		return 0, false
	}
	delete(s.surplusSince, pool)
	return count, true
}

// releaseWait returns how long a surplus of a pool must last before it is released.
func (s *service) releaseWait(pool Pool, now time.Time) time.Duration {
	switch {
	case pool.Reclaimable:
		return releaseDelay
	case s.reclaimableScarce(now):
		return shortageReleaseDelay
	}
	return stepInterval
}

// full reports whether a data centre has no room for the reclaimable instances
// wanted there.
func full(dc string, want, present map[Pool]int, limit int) bool {
	reclaimable, onDemand := Pool{DataCentre: dc, Reclaimable: true}, Pool{DataCentre: dc}
	return present[reclaimable] < want[reclaimable] && present[reclaimable]+present[onDemand] >= limit
}

func sum(counts map[Pool]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// clearRefusals removes the recorded refusals of all pools of the same kind after an
// order was accepted, as the platform may have capacity for the others again too.
func (s *service) clearRefusals(pool Pool) {
	for other := range s.refused {
		if other.Reclaimable == pool.Reclaimable {
			delete(s.refused, other)
		}
	}
}
