package fairshare

import (
	"cmp"
	"slices"
)

const (
	// priorRequests is the number of requests that is added to both the recent and the usual demand
	// of a workspace before they are compared, so that chance doesn't put a small one over its share.
	// In trials with 16 workspaces, 10 to 26 calls of ordinary ones were refused with 6, and 2 to 11 with 15.
	priorRequests = 12
	// lackFactor is the multiple of the work refused for lack of capacity that is to be refused
	// as excess instead, and toleratedLack the share of the demand that is subtracted. Together they
	// let the excess settle where some 1 in 100 is refused for lack of capacity, and let it fall once
	// there is room.
	lackFactor    = 3
	toleratedLack = 0.03
	// generalShare is the share of the usual demand whose workspaces ask for the least of theirs, and
	// tolerance the multiple of what they ask for up to which none counts as over its share.
	// Where all ask for as much of their usual demand, as when endpoints are lost, nobody has
	// to give way.
	generalShare = 0.4
	tolerance    = 1.25
	// levels is the number of priorities.
	levels = lowestPriority + 1
)

// share is the demand of one workspace per second.
type share struct {
	workspace     uint32
	recent, usual float64
}

// ratio returns the recent demand as a multiple of the usual one.
func (s share) ratio() float64 { return s.recent / s.usual }

// shortfall is what a class lacks, in work per second.
type shortfall struct {
	asked, waiting float64
	// lacking and refused are what is refused by priority: for lack of capacity, and as excess.
	lacking, refused [levels]float64
}

// none reports whether the class lacks nothing.
func (f *shortfall) none() bool {
	return f.waiting <= 0 && f.lacking == [levels]float64{} && f.refused == [levels]float64{}
}

// excess returns how much of the demand is to be refused as excess so that requests of a priority and
// of more urgent ones get capacity.
func (f *shortfall) excess(priority int) float64 {
	out := -toleratedLack * f.asked
	for p := range priority + 1 {
		out += lackFactor*f.lacking[p] + f.refused[p]
	}
	return max(0, out)
}

// waits returns how much of the demand exceeds what can be placed without a wait.
func (f *shortfall) waits() float64 {
	out := f.waiting
	for p := range levels {
		out += f.lacking[p] + f.refused[p]
	}
	return out
}

// plan holds the fair shares of a class.
type plan struct {
	// ratios holds the recent demand of the workspaces as a multiple of the usual one.
	ratios map[uint32]float64
	// fair holds the multiples up to which a workspace is within its fair share, by priority, and late
	// the one up to which its requests don't wait behind others.
	fair [levels]float64
	late float64
	// least is the multiple up to which no workspace is over its fair share.
	least float64
	// over holds the workspaces over their fair share at any priority, the furthest first.
	over []uint32
}

// standing returns the share of a workspace's requests of a priority that are excess, and whether they
// wait behind others.
func (p *plan) standing(workspace uint32, priority int) (excess float64, behind bool) {
	ratio, ok := p.ratios[workspace]
	if !ok {
		return 0, false
	}
	fair := p.fair[min(max(priority, 0), lowestPriority)]
	if ratio <= p.least {
		return 0, false
	}
	return max(0, 1-fair/ratio), ratio > p.late
}

// newPlan computes the max-min fair shares, weighted by usual demand: the demand of the workspaces that
// ask for the largest multiples of their usual demand is cut to one multiple such that the cuts add up
// to what the class lacks. prior is added to both demands.
func newPlan(list []share, prior float64, f shortfall) plan {
	if len(list) == 0 || prior <= 0 {
		return plan{}
	}
	for i := range list {
		list[i].recent += prior
		list[i].usual += prior
	}
	sortShares(list)
	general := generalLevel(list)
	p := plan{ratios: make(map[uint32]float64, len(list)), late: level(list, f.waits()), least: tolerance * general}
	for priority := range p.fair {
		p.fair[priority] = max(general, level(list, f.excess(priority)))
	}
	for _, s := range list {
		p.ratios[s.workspace] = s.ratio()
		if s.ratio() > max(p.least, p.fair[lowestPriority]) {
			p.over = append(p.over, s.workspace)
		}
	}
	return p
}

// sortShares sorts a list in descending order of the ratio.
func sortShares(list []share) {
	slices.SortFunc(list, func(a, b share) int {
		return cmp.Or(cmp.Compare(b.ratio(), a.ratio()), cmp.Compare(a.workspace, b.workspace))
	})
}

// level returns the multiple of the usual demand to which the largest ones have to be cut so that the
// cuts add up to an amount. The list is sorted.
func level(list []share, amount float64) float64 {
	recent, usual := 0.0, 0.0
	for i, s := range list {
		recent += s.recent
		usual += s.usual
		multiple := (recent - amount) / usual
		if i+1 == len(list) || multiple >= list[i+1].ratio() {
			return max(0, multiple)
		}
	}
	return 0
}

// generalLevel returns the multiple of the usual demand that workspaces with generalShare of the usual
// demand don't exceed. The list is sorted.
func generalLevel(list []share) float64 {
	total := 0.0
	for _, s := range list {
		total += s.usual
	}
	below := 0.0
	for _, s := range slices.Backward(list) {
		below += s.usual
		if below >= generalShare*total {
			return s.ratio()
		}
	}
	return list[0].ratio()
}
