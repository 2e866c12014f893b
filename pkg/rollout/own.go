package rollout

import "time"

// maxRead is the largest number of shared parts that are remembered for all endpoints.
const maxRead = 4096

// lengthWindow is the time for which the longest request at the other versions is remembered.
const lengthWindow = 20 * time.Second

// counts is what one instance has counted of one service, and what the others have told it.
type counts struct {
	// order is the order that is counted for, and to its version.
	order ID
	to    string
	// credit holds, by route, how many requests the new version may get: it grows by the share with
	// each request, so that the instance stays within the share by itself, whatever it knows of
	// the others. It begins with a random part of one, so that the sum over many instances with
	// few requests each isn't rounded down or up.
	credit map[string]float64
	// own holds the instance's own tallies, reports those of the others, by source.
	own     map[side]*Tally
	reports map[string]Report
	// peers is the sum of the reports.
	peers sums
	// newest holds the source of the newest report of each instance.
	newest map[string]string
	seq    uint64
	// read holds which shared parts the new version's endpoints were asked to read, by endpoint and part.
	read map[string]bool
	// inProgress is the number of requests in progress by version, whatever the order.
	inProgress map[string]int
	// longest is the longest time of a request at the other versions, and longestAt when it ended.
	longest   time.Duration
	longestAt time.Time
	eval      *evaluation
	// evaluatedAt is when the versions were last compared.
	evaluatedAt time.Time
	// bad is why this instance takes the new version for bad; "" if it doesn't.
	bad string
}

func newCounts() counts { return counts{inProgress: make(map[string]int)} }

// begin begins to count for an order.
func (c *counts) begin(order ID, to string) {
	c.order, c.to, c.bad = order, to, ""
	c.credit = make(map[string]float64)
	c.own = make(map[side]*Tally)
	c.reports = make(map[string]Report)
	c.peers = make(sums)
	c.newest = make(map[string]string)
	c.read = make(map[string]bool)
	c.eval = newEvaluation()
}

// routeName returns the name under which a route is counted.
func (c *counts) routeName(route string) string {
	if _, known := c.credit[route]; known || len(c.credit) < maxRoutes {
		return route
	}
	return otherRoutes
}

// take takes one request of the small share. It returns false if there is none left.
func (c *counts) take(route string, random float64) bool {
	route = c.routeName(route)
	if _, known := c.credit[route]; !known {
		c.credit[route] = random
	}
	if c.credit[route] < 1 {
		return false
	}
	c.credit[route]--
	return true
}

// account adds a request to the credit of its route, or takes one that the new version gets beside
// the small share, as a stream goes on there.
func (c *counts) account(choice Choice, version string, first bool, current *rule, now time.Time) {
	if !current.offers(now) {
		return
	}
	route := c.routeName(choice.route)
	if _, known := c.credit[route]; !known {
		return
	}
	if first {
		c.credit[route] += current.share
	}
	if version == c.to && choice.kind != candidate {
		c.credit[route]--
	}
}

// expected returns the expected time until an answer begins. An endpoint of the new version has read
// nothing before its first request with a shared part, of all that this instance knows; the others
// have.
func (c *counts) expected(r *Run, x Expectation) time.Duration {
	if r.version != c.to || x.Shared == "" {
		return x.Usual
	}
	key := r.endpoint + "/" + x.Shared
	if c.read[key] || len(c.read) >= maxRead {
		return x.Usual
	}
	c.read[key] = true
	return max(x.Usual, x.Cold)
}

// tally returns the tally of a route and side.
func (c *counts) tally(route string, isNew bool) *Tally {
	at := side{route: route, isNew: isNew}
	if c.own[at] == nil && c.own[side{route: route, isNew: !isNew}] == nil && len(c.own) >= 2*maxRoutes {
		at.route = otherRoutes
	}
	if c.own[at] == nil {
		c.own[at] = &Tally{Route: at.route, New: isNew}
	}
	return c.own[at]
}

func (c *counts) sent(route string, isNew bool) { c.tally(route, isNew).Sent++ }

// answered counts the end of a request.
func (t *Tally) answered(outcome Outcome) {
	switch outcome {
	case Bad:
		t.Answers++
		t.Bad++
	case Good:
		t.Answers++
	case Unknown:
		t.Left++
	}
}

// ended takes a request out of those in progress.
func (c *counts) ended(version string) {
	c.inProgress[version]--
	if c.inProgress[version] <= 0 {
		delete(c.inProgress, version)
	}
}

// recordLength records how long a request at the other versions took.
func (c *counts) recordLength(took time.Duration, now time.Time) {
	if took >= c.longest || now.Sub(c.longestAt) > lengthWindow {
		c.longest, c.longestAt = took, now
	}
}

// inProgressElsewhere returns the number of requests in progress at other versions than the
// ordered one.
func (c *counts) inProgressElsewhere() int {
	n := 0
	for version, count := range c.inProgress {
		if version != c.to {
			n += count
		}
	}
	return n
}

// sums adds up the tallies of this instance and of the others.
func (c *counts) sums() sums {
	out := make(sums, len(c.peers)+len(c.own))
	for _, t := range c.peers {
		out.add([]Tally{*t}, 1)
	}
	for _, t := range c.own {
		out.add([]Tally{*t}, 1)
	}
	return out
}

func (c *counts) ownTallies() []Tally {
	list := make([]Tally, 0, len(c.own))
	for _, t := range c.own {
		copied := *t
		copied.Times = append([]uint64(nil), t.Times...)
		list = append(list, copied)
	}
	return list
}
