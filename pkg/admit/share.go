package admit

import (
	"cmp"
	"slices"
)

// demand is the demand of one flow over all entries, and its allocated share.
type demand struct {
	priority int
	weight   float64
	// want is the number of requests that run or wait, bounded by the flow's own limit.
	want float64
	// share is set by allocate to the number of requests that may run.
	share float64
}

// allocate divides a capacity among flows: higher priorities first, and within a priority
// by weighted max-min fairness, so that a flow with unmet demand never has less per
// weight than another flow. It sorts the demands.
//
// Source: Bertsekas and Gallager, "Data Networks", section 6.5, 1992.
func allocate(capacity float64, demands []*demand) {
	slices.SortFunc(demands, func(a, b *demand) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.want*b.weight, b.want*a.weight))
	})
	for len(demands) > 0 {
		n := samePriority(demands)
		capacity -= allocateTier(capacity, demands[:n])
		demands = demands[n:]
	}
}

// samePriority returns the number of leading demands with the same priority.
func samePriority(demands []*demand) int {
	n := 1
	for n < len(demands) && demands[n].priority == demands[0].priority {
		n++
	}
	return n
}

// allocateTier divides a capacity among flows of one priority, which are sorted by demand
// per weight. It returns the allocated capacity.
func allocateTier(capacity float64, demands []*demand) float64 {
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	left := capacity
	for _, d := range demands {
		d.share = max(0, min(d.want, left*d.weight/weights))
		left -= d.share
		weights -= d.weight
	}
	return capacity - left
}
