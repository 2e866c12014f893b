package rollout

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Outcome is how a request at an endpoint ended.
type Outcome int

// The outcomes of a request.
const (
	// Unknown says nothing about the endpoint: the caller left, or the endpoint refused.
	Unknown Outcome = iota
	// Good is a whole answer.
	Good
	// Bad is an endpoint's error, a broken answer, or none before the deadline.
	Bad
)

const (
	// bins is the number of classes of the ratio between the time until an answer begins and
	// the expected time. Each is wider than the one before by a factor of the square root of 2.
	bins = 24
	// unitBin is the class that begins at a ratio of 1.
	unitBin = 8
	// minTime is the shortest time that a ratio is formed with, of the expected and of the actual
	// ones: shorter ones differ by the state of connections and the machine's speed alone.
	minTime = 2 * time.Millisecond
)

// bin returns the class of a time relative to the expected one. delay is for how long this process was
// held up meanwhile, which isn't part of the time. It is known to about its own size, as it is measured
// by samples: shorter times say nothing.
func bin(took, delay, expected time.Duration) int {
	shortest := max(minTime, delay)
	ratio := float64(max(took-delay, shortest)) / float64(max(expected, shortest))
	return min(max(unitBin+int(math.Floor(2*math.Log2(ratio))), 0), bins-1)
}

// Tally counts what one side of an order has got and answered on one route.
type Tally struct {
	_     struct{} `cbor:",toarray"`
	Route string
	// New is true for the ordered version, false for all others together.
	New bool
	// Sent counts requests that were sent, Begun those whose answer has begun or that have ended,
	// Answers those that ended well or badly, Bad those that ended badly, and Left those whose end
	// says nothing.
	Sent, Begun, Answers, Bad, Left uint64
	// Times counts answers that were not failures when they began, by the class of the time until then. Classes above the
	// highest one that was seen are left out.
	Times []uint64
}

func (t *Tally) addTime(class int) {
	for len(t.Times) <= class {
		t.Times = append(t.Times, 0)
	}
	t.Times[class]++
}

// add adds another tally, or takes it away again if sign is -1.
func (t *Tally) add(o Tally, sign int) {
	factor := uint64(sign) // differences wrap around to what they were before
	t.Sent += factor * o.Sent
	t.Begun += factor * o.Begun
	t.Answers += factor * o.Answers
	t.Bad += factor * o.Bad
	t.Left += factor * o.Left
	for class, n := range o.Times[:min(len(o.Times), bins)] {
		for len(t.Times) <= class {
			t.Times = append(t.Times, 0)
		}
		t.Times[class] += factor * n
	}
}

// Report is what one instance has counted since it learned of an order. Counts only grow, so that
// a newer report replaces an older one.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Order   ID
	// Seq counts the reports of the instance.
	Seq uint64
	// Fence and Applied name the newest directive that the instance follows.
	Fence, Applied uint64
	// Drained is true if the instance sends requests only to the new version, and none is in
	// progress at any other.
	Drained bool
	// Quiet is true if the instance knows that the order's version gets nothing any more.
	Quiet bool
	// Stopped is true if the instance has found the new version to be bad.
	Stopped bool
	// LongestMS is the longest time in milliseconds that a request at the other versions took lately.
	LongestMS int64
	Tallies   []Tally
}

// valid reports whether a peer's report can be used.
func (r *Report) valid() bool {
	odd := func(t Tally) bool { return len(t.Route) > maxRouteBytes || len(t.Times) > bins }
	return r.Service != "" && len(r.Service) <= maxNameBytes && len(r.Tallies) <= 2*(maxRoutes+1) && !slices.ContainsFunc(r.Tallies, odd)
}

const (
	// maxRoutes is the largest number of routes that are told apart; others count together.
	maxRoutes = 6
	// otherRoutes is the name under which they count.
	otherRoutes = "(others)"
	// maxRouteBytes is the longest name of a route that is sent as it is; others are sent as a hash.
	maxRouteBytes = 24
	// maxSources is the largest number of instances, in all their starts, that are counted for an order.
	maxSources = 4096
)

// shortRoute returns the name under which a route is sent.
func shortRoute(route string) string {
	if len(route) <= maxRouteBytes {
		return route
	}
	return strconv.FormatUint(xxhash.Sum64String(route), 36)
}

// side names one side of an order on one route.
type side struct {
	route string
	isNew bool
}

// sums holds tallies that are added up.
type sums map[side]*Tally

// add adds tallies, or takes them away again if sign is -1.
func (s sums) add(list []Tally, sign int) {
	for _, t := range list {
		at := side{route: t.Route, isNew: t.New}
		if s[at] == nil {
			s[at] = &Tally{Route: t.Route, New: t.New}
		}
		s[at].add(t, sign)
	}
}

// total returns the sum of one side.
func (s sums) total(isNew bool) Tally {
	var t Tally
	for at, tally := range s {
		if at.isNew == isNew {
			t.add(*tally, 1)
		}
	}
	return t
}
