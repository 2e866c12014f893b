package scaling

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

const (
	// repeatAfter is the time beyond the boot after which an order that shows no
	// instances is given again.
	repeatAfter = 3 * time.Second
	// settleTime is how long a new holder keeps the on-demand instances that it found.
	settleTime = 10 * time.Second
	// probeInterval is the time between two orders while the platform refuses them.
	probeInterval = time.Second
	// releaseAfter is how long fewer instances must be wanted before some are given up.
	releaseAfter = 6 * time.Second
	// riseTime and fallTime smooth the demand: it is followed fast when it grows.
	riseTime = time.Second
	fallTime = 12 * time.Second
)

// service is what the planner remembers of a service while it holds the duty.
type service struct {
	demand float64
	at     time.Time
	// shown is when the demand was logged last.
	shown time.Time
	// unused is true until the first request ever.
	unused bool
	// since is when this process began to plan for the service.
	since   time.Time
	ordered map[Place]order
	refused map[Place]time.Time
	// seen holds how many instances were last present.
	seen map[Place]int
	// surplus holds since when a place has had more than is wanted.
	surplus map[Place]time.Time
}

type order struct {
	count int
	at    time.Time
}

func newService(firstStart bool, now time.Time) *service {
	return &service{
		unused: firstStart, since: now, ordered: make(map[Place]order),
		refused: make(map[Place]time.Time), seen: make(map[Place]int), surplus: make(map[Place]time.Time),
	}
}

// counts returns the instances of the last orders.
func (s *service) counts() map[Place]int {
	out := make(map[Place]int, len(s.ordered))
	for place, o := range s.ordered {
		out[place] = o.count
	}
	return out
}

// follow smooths the demand.
func (s *service) follow(demand float64, now time.Time) {
	if s.at.IsZero() {
		s.demand, s.at = demand, now
		return
	}
	span := fallTime
	if demand > s.demand {
		span = riseTime
	}
	share := min(1, now.Sub(s.at).Seconds()/span.Seconds())
	s.demand += share * (demand - s.demand)
	s.at = now
}

// due tells whether an order for a place is to be given, and for how many.
func (s *service) due(place Place, want, present map[Place]int, limits *routing.Scaling, now time.Time) (int, bool) {
	wanted, have := want[place], present[place]
	last, known := s.ordered[place]
	if !known {
		last.count = have
	}
	lost := have < s.seen[place]
	s.seen[place] = have
	missing := have < wanted && (lost || now.Sub(last.at) > limits.Boot+repeatAfter)
	switch {
	case wanted > last.count || missing:
		delete(s.surplus, place)
		return wanted, !s.recently(place, now)
	case wanted < last.count && have > wanted && (place.Reclaimable || s.plenty(now)):
		return s.release(place, want, present, limits.Max, now)
	}
	delete(s.surplus, place)
	return 0, false
}

// plenty tells whether reclaimable instances are surely to be had: a new holder
// of the duty doesn't know yet whether they were refused.
func (s *service) plenty(now time.Time) bool {
	settled := s.unused || now.Sub(s.since) >= settleTime
	return settled && !Observation{Refused: s.refused, Now: now}.scarce()
}

// recently tells whether the platform has just refused an order for reclaimable
// instances. What it lacks in one data centre it often lacks in all, so one
// order at a time finds out whether there are some again.
func (s *service) recently(place Place, now time.Time) bool {
	if !place.Reclaimable {
		return now.Sub(s.refused[place]) < probeInterval
	}
	for at, when := range s.refused {
		if at.Reclaimable && now.Sub(when) < probeInterval {
			return true
		}
	}
	return false
}

// release gives up a surplus that has lasted, if what stays is enough without it.
// most is the most instances of both kinds in a data centre. On-demand ones that
// leave no room there for wanted reclaimable ones are given up as far as the others
// do without them.
func (s *service) release(place Place, want, present map[Place]int, most int, now time.Time) (int, bool) {
	since, ok := s.surplus[place]
	if !ok {
		s.surplus[place] = now
		return 0, false
	}
	wait := releaseAfter
	if !place.Reclaimable {
		wait = stepInterval
	}
	if now.Sub(since) < wait && !s.unused {
		return 0, false
	}
	count := want[place]
	if spared := sum(present) - sum(want); spared < present[place]-count && !s.unused {
		if place.Reclaimable || !full(place.DataCentre, want, present, most) {
			return 0, false
		}
		count = max(count, present[place]-max(0, sum(present)-needed(s.demand)))
		if count == present[place] {
			return 0, false
		}
	}
	delete(s.surplus, place)
	return count, true
}

// full tells whether a data centre has no room for the reclaimable instances that
// are wanted there.
func full(dc string, want, present map[Place]int, most int) bool {
	reclaimable, onDemand := Place{DataCentre: dc, Reclaimable: true}, Place{DataCentre: dc}
	return present[reclaimable] < want[reclaimable] && present[reclaimable]+present[onDemand] >= most
}

func sum(counts map[Place]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// granted takes the news that a place has instances to give: the others may have too.
func (s *service) granted(place Place) {
	for at := range s.refused {
		if at.Reclaimable == place.Reclaimable {
			delete(s.refused, at)
		}
	}
}
