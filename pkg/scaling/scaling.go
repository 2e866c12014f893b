// Package scaling decides how many instances of each service run in each data
// centre, on demand or reclaimable. Reclaimable instances cost a fraction of
// the on-demand price, but all those of a data centre may be reclaimed at once.
package scaling

import (
	"math"
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

// Order sets the number of instances of a service in one pool.
type Order struct {
	Service     string
	DataCentre  string
	Reclaimable bool
	Count       int
}

// Pool identifies the on-demand or the reclaimable instances of a data centre.
type Pool struct {
	DataCentre  string
	Reclaimable bool
}

// Observation is the input of a capacity plan for one service.
type Observation struct {
	Service string
	Scaling *routing.Scaling
	// Present holds the number of instances that run and aren't leaving.
	Present map[Pool]int
	// Ordered holds the number of instances last ordered; some may still be booting.
	Ordered map[Pool]int
	// Refused holds when the platform last refused an order.
	Refused map[Pool]time.Time
	// Demand is the number of instances that the load needs.
	Demand float64
	// Unused is true before the first requests: no instances are kept until others have booted.
	Unused bool
	// ByPrice is true if cheaper data centres get more reclaimable instances. ShortageShare is the
	// share of the time in which on-demand instances replace them.
	ByPrice       bool
	ShortageShare float64
	Now           time.Time
}

const (
	// spareShare is the spare capacity of reclaimable instances as a share of the
	// demand. Instances to replace those of a lost data centre are added to it.
	spareShare = 0.3
	// onDemandShare is the share of the demand that is covered when expensive
	// on-demand instances have to be used: a higher utilisation is accepted while
	// reclaimable instances are scarce.
	onDemandShare = 0.85
	// secondReclaimShare is the share of the needed instances that must be left
	// after two further reclaims in quick succession.
	secondReclaimShare = 0.65
	// maxReclaimSeries is the maximum number of data centres hit by a series of reclaims.
	maxReclaimSeries = 3
	// initialShare is the share of the maximum number of instances that a new
	// deployment starts with.
	initialShare = 0.5
	// scarcityPeriod is how long reclaimable instances count as scarce after a refusal.
	scarcityPeriod = 5 * time.Second
	// minInstances is the minimum number of instances of a service.
	minInstances = 4
)

// Plan returns the wanted number of instances in each pool. Reclaimable instances
// are spread over the data centres evenly or by price, with enough of them to cover the
// loss of one data centre. If reclaimable instances are scarce, on-demand instances in
// the cheapest data centres replace the missing ones. Afterwards they are kept as far as
// reclaimable ones are still missing.
func Plan(o Observation) map[Pool]int {
	dataCentres := o.Scaling.DataCentres()
	want := make(map[Pool]int, 2*len(dataCentres))
	if len(dataCentres) == 0 {
		return want
	}
	even := o.evenCount(len(dataCentres))
	planned := o.reclaimableCounts(dataCentres, even)
	running := make([]int, 0, len(dataCentres))
	for i, dc := range dataCentres {
		pool := Pool{DataCentre: dc, Reclaimable: true}
		want[pool] = planned[i]
		want[Pool{DataCentre: dc}] = 0
		running = append(running, min(max(even, planned[i]), o.Present[pool]))
	}
	needed := neededInstances(o.Demand)
	shortfall := onDemandShortfall(needed, running)
	if !o.reclaimableScarce() {
		shortfall = max(needed-sumLargest(planned, len(planned)), min(shortfall, o.keptOnDemand(dataCentres)))
	}
	return o.addOnDemand(want, dataCentres, shortfall)
}

// evenCount returns the number of reclaimable instances in each of a number of data centres.
func (o Observation) evenCount(dataCentres int) int {
	target := max(float64(minInstances), o.Demand*(1+spareShare))
	n := int(math.Ceil(target / float64(max(1, dataCentres-1))))
	return min(max(n, o.Scaling.Min), o.Scaling.Max)
}

// reclaimableCounts returns the wanted number of reclaimable instances of each data centre, by default
// an even one.
func (o Observation) reclaimableCounts(dataCentres []string, even int) []int {
	counts := slices.Repeat([]int{even}, len(dataCentres))
	if !o.ByPrice {
		return counts
	}
	s := spread{counts: counts, needed: neededInstances(o.Demand), shortageShare: o.ShortageShare, onDemandPrice: math.Inf(1)}
	for _, dc := range dataCentres {
		price := o.Scaling.Prices[dc]
		s.prices = append(s.prices, price*o.Scaling.ReclaimablePrice)
		s.onDemandPrice = min(s.onDemandPrice, price)
	}
	return spreadByPrice(s, o.Scaling.Min, o.Scaling.Max)
}

// keptOnDemand returns the number of on-demand instances that may be kept until reclaimable ones
// have booted: those that run or boot.
func (o Observation) keptOnDemand(dataCentres []string) int {
	n := 0
	for _, dc := range dataCentres {
		if !o.Unused {
			n += o.existingOnDemand(dc)
		}
	}
	return n
}

// neededInstances returns the minimum number of instances for a demand.
func neededInstances(demand float64) int {
	return max(minInstances, int(math.Ceil(demand*onDemandShare)))
}

// onDemandShortfall returns the number of on-demand instances needed in addition
// to the running reclaimable ones of each data centre. Reclaims come in series of up to
// maxReclaimSeries, and the next one comes before on-demand instances have booted. So
// all needed instances must be left after the next reclaim of a series, and
// secondReclaimShare of them after the next two.
func onDemandShortfall(needed int, reclaimable []int) int {
	slices.Sort(reclaimable)
	left := sumLargest(reclaimable, len(reclaimable))
	reclaimsLeft := maxReclaimSeries - emptyDataCentres(reclaimable)
	leftAfterOne := left - sumLargest(reclaimable, min(1, reclaimsLeft))
	leftAfterTwo := left - sumLargest(reclaimable, min(2, reclaimsLeft))
	return max(needed-leftAfterOne, int(math.Ceil(secondReclaimShare*float64(needed)))-leftAfterTwo)
}

// emptyDataCentres returns the number of data centres without reclaimable instances.
func emptyDataCentres(reclaimable []int) int {
	n := 0
	for _, count := range reclaimable {
		if count == 0 {
			n++
		}
	}
	return n
}

// sumLargest returns the sum of the n largest of numbers sorted in ascending order.
func sumLargest(sorted []int, n int) int {
	sum := 0
	for _, x := range sorted[max(0, len(sorted)-max(0, n)):] {
		sum += x
	}
	return sum
}

// initialDemand returns the demand assumed before the first requests: the one that
// initialShare of the maximum number of reclaimable instances can serve.
func initialDemand(s *routing.Scaling) float64 {
	dataCentres := len(s.Prices)
	return initialShare * float64(s.Max*max(0, dataCentres-1)) / (1 + spareShare)
}

// reclaimableScarce reports whether the platform recently refused reclaimable
// instances in any data centre. If so, the plan counts only those that run already.
func (o Observation) reclaimableScarce() bool {
	for pool, at := range o.Refused {
		if pool.Reclaimable && o.Now.Sub(at) < scarcityPeriod {
			return true
		}
	}
	return false
}

// addOnDemand adds the missing on-demand instances to a plan: first those that run
// or boot already, then instances in the cheapest data centres with room beside the
// running reclaimable ones, then in the cheapest ones below their maximum.
func (o Observation) addOnDemand(want map[Pool]int, dataCentres []string, missing int) map[Pool]int {
	for ; missing > 0; missing-- {
		best := o.cheapest(want, dataCentres, o.existingOnDemand)
		if best == "" {
			best = o.cheapest(want, dataCentres, o.onDemandRoom)
		}
		if best == "" {
			best = o.cheapest(want, dataCentres, func(string) int { return o.Scaling.Max })
		}
		if best == "" {
			return want
		}
		want[Pool{DataCentre: best}]++
	}
	return want
}

// existingOnDemand returns the number of on-demand instances that run or boot in a
// data centre.
func (o Observation) existingOnDemand(dc string) int {
	pool := Pool{DataCentre: dc}
	return min(o.Scaling.Max, max(o.Present[pool], o.Ordered[pool]))
}

// onDemandRoom returns the number of on-demand instances that may run in a data
// centre beside the present reclaimable ones.
func (o Observation) onDemandRoom(dc string) int {
	return o.Scaling.Max - o.Present[Pool{DataCentre: dc, Reclaimable: true}]
}

// cheapest returns the cheapest data centre whose planned on-demand instances are
// below a limit, or "".
func (o Observation) cheapest(want map[Pool]int, dataCentres []string, limit func(dc string) int) string {
	best := ""
	for _, dc := range dataCentres {
		if want[Pool{DataCentre: dc}] >= limit(dc) {
			continue
		}
		if best == "" || o.Scaling.Prices[dc] < o.Scaling.Prices[best] {
			best = dc
		}
	}
	return best
}
