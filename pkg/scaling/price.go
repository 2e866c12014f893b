package scaling

import (
	"math"
	"slices"
	"time"
)

const (
	// assumedShortageShare is the share of the time with on-demand instances that is assumed before it
	// is known, and assumedShortageTime the time for which it counts. At prices of 0.8 to 1.25 an even
	// spread is the cheapest above 0.16, so that it is kept for the first 50 s without a shortage: one
	// reclaim of concentrated instances costs as much as some 340 s save.
	assumedShortageShare = 0.3
	assumedShortageTime  = time.Minute
	// shortageMemory bounds the time over which the share is formed, so that it follows changes.
	shortageMemory = 10 * time.Minute
)

// spread is how the reclaimable instances of a service are divided among its data centres.
type spread struct {
	// counts holds the number of instances of each data centre, prices the price of an instance.
	counts []int
	prices []float64
	// onDemandPrice is the price of the on-demand instances that are ordered in a shortage.
	onDemandPrice float64
	// needed is the number of instances that must be left after the next reclaim.
	needed int
	// shortageShare is the share of the time in which on-demand instances replace reclaimable ones.
	shortageShare float64
}

// spreadByPrice moves instances from dear to cheap data centres as long as that lowers the expected cost,
// needed instances are left after the loss of the largest data centre, and secondReclaimShare of them
// after that of the two largest. Each data centre keeps between least and most instances.
func spreadByPrice(s spread, least, most int) []int {
	s.counts = slices.Clone(s.counts)
	for {
		from, to := s.bestMove(least, most)
		if from < 0 {
			return s.counts
		}
		s.move(from, to)
	}
}

// bestMove returns the move of an instance that lowers the cost the most, and among equal ones that
// which leaves the most even counts; -1 if none lowers it.
func (s *spread) bestMove(least, most int) (from, to int) {
	from, to = -1, -1
	lowest, gap := s.cost()-costTolerance, 0
	s.eachMove(least, most, func(a, b int) {
		cost, newGap := s.cost(), s.counts[b]-s.counts[a]
		better := cost < lowest-costTolerance || cost < lowest+costTolerance && newGap < gap
		if (from < 0 && cost < lowest || from >= 0 && better) && s.survivesReclaims() {
			from, to, lowest, gap = a, b, cost, newGap
		}
	})
	return from, to
}

// costTolerance is the smallest difference of two costs that isn't a rounding error.
const costTolerance = 1e-9

// eachMove calls a function with each move of an instance to a cheaper data centre carried out.
func (s *spread) eachMove(least, most int, tried func(from, to int)) {
	for from := range s.counts {
		for to := range s.counts {
			if s.prices[to] < s.prices[from] && s.counts[from] > least && s.counts[to] < most {
				s.move(from, to)
				tried(from, to)
				s.move(to, from)
			}
		}
	}
}

func (s *spread) move(from, to int) {
	s.counts[from]--
	s.counts[to]++
}

// survivesReclaims reports whether enough instances are left after one reclaim, and after two.
func (s *spread) survivesReclaims() bool {
	sorted := slices.Sorted(slices.Values(s.counts))
	total := sumLargest(sorted, len(sorted))
	return total-sumLargest(sorted, 1) >= s.needed &&
		total-sumLargest(sorted, 2) >= int(math.Ceil(secondReclaimShare*float64(s.needed)))
}

// cost returns the expected price of the reclaimable instances and of the on-demand ones that are ordered
// after the loss of a data centre, each of which is equally likely. Concentrated instances are
// cheaper, but more of them are lost at once and replaced by on-demand ones.
func (s *spread) cost() float64 {
	total, onDemand := 0.0, 0
	for lost, n := range s.counts {
		total += float64(n) * s.prices[lost]
		left := slices.Clone(s.counts)
		left[lost] = 0
		onDemand += max(0, onDemandShortfall(s.needed, left))
	}
	return total + s.shortageShare*s.onDemandPrice*float64(onDemand)/float64(len(s.counts))
}

// shortageShare measures the share of the time in which on-demand instances replace reclaimable ones.
type shortageShare struct {
	short, total time.Duration
	at           time.Time
}

// record records whether there is a shortage now.
func (s *shortageShare) record(short bool, now time.Time) {
	if !s.at.IsZero() {
		elapsed := now.Sub(s.at)
		s.total += elapsed
		if short {
			s.short += elapsed
		}
	}
	s.at = now
	if s.total > shortageMemory {
		s.short, s.total = s.short/2, s.total/2
	}
}

// value returns the share.
func (s *shortageShare) value() float64 {
	assumed := assumedShortageShare * assumedShortageTime.Seconds()
	return (assumed + s.short.Seconds()) / (assumedShortageTime + s.total).Seconds()
}

// paused returns the share without the time until the next record.
func (s shortageShare) paused() shortageShare {
	s.at = time.Time{}
	return s
}
