package poison

import (
	"slices"
	"time"
)

const (
	// settleTime is the time after a crash in which other instances may report it.
	settleTime = 200 * time.Millisecond
	// partGroupTime is the time in which crashes count as one against a part: endpoints that
	// end at the same moment probably have a cause in common.
	partGroupTime = 60 * time.Millisecond
	// requestGroupTime is the same for whole requests, of which an instance sends one try
	// after the other.
	requestGroupTime = 20 * time.Millisecond
	// frequentCrashes is the number of crashes a second above which requests often break off
	// several times by chance.
	frequentCrashes = 1.5
	// graceTime is the time in which instances may still send a request that is about to be
	// known as poison.
	graceTime = 3 * time.Second
	// backgroundTime is the time before the first crash under a request whose crashes tell
	// how frequent others are.
	backgroundTime = 3 * time.Second
)

// evidence is what speaks against a trait: the crashes that it may account for, where those
// of one group count once, and the requests that broke off with them.
type evidence struct {
	groups   []group
	requests map[Trait]bool
	// all holds the times of all crashes under a whole request, those too that another one accounts for.
	all []time.Time
}

// crashes returns the number of crashes.
func (e *evidence) crashes() int { return len(e.groups) }

// first and last return the first and the last of the crashes, of which there is one at least.
func (e *evidence) first() group { return e.groups[0] }
func (e *evidence) last() group  { return e.groups[len(e.groups)-1] }

// group is a number of crashes at about the same moment.
type group struct {
	index int
	at    time.Time
}

// add counts a request that broke off with a crash of a group.
func (e *evidence) add(g group, request Trait) {
	if len(e.groups) == 0 || e.last().index != g.index {
		e.groups = append(e.groups, g)
	}
	e.requests[request] = true
}

// findings holds the evidence against all traits of some kinds.
type findings struct {
	evidence map[Trait]*evidence
	// groups holds the times of all groups of crashes.
	groups []time.Time
}

// collect groups the crashes that count, but for the newest ones, which other instances may
// still report. visit adds the traits of a crash.
func (l *crashLog) collect(now time.Time, groupTime time.Duration, counts func(c *crash) bool, visit func(c *crash, add func(t, request Trait))) findings {
	f := findings{evidence: make(map[Trait]*evidence)}
	for _, c := range l.crashes {
		if !counts(c) || now.Sub(c.at) < settleTime {
			continue
		}
		last := len(f.groups) - 1
		if last < 0 || c.at.Sub(f.groups[last]) >= groupTime {
			f.groups = append(f.groups, c.at)
			last++
		}
		current := group{index: last, at: f.groups[last]}
		visit(c, func(t, request Trait) { f.of(t).add(current, request) })
	}
	return f
}

// of returns the evidence against a trait.
func (f *findings) of(t Trait) *evidence {
	e, ok := f.evidence[t]
	if !ok {
		e = &evidence{requests: make(map[Trait]bool)}
		f.evidence[t] = e
	}
	return e
}

// lateCrashes returns the number of crashes that came later than graceTime after there were
// enough to suspect a request. Those that another one accounts for are enough to suspect it: requests
// that crash endpoints at the same time would hide each other.
func (e *evidence) lateCrashes() int {
	if len(e.all) < requestCrashes {
		return 0
	}
	end := e.all[requestCrashes-1].Add(graceTime)
	late := 0
	for _, g := range e.groups {
		if g.at.After(end) {
			late++
		}
	}
	return late
}

// together reports whether there is a crash that counts under both of two traits.
func (l *crashLog) together(a, b Trait, counts func(c *crash) bool) bool {
	return slices.ContainsFunc(l.crashes, func(c *crash) bool { return counts(c) && c.has(a) && c.has(b) })
}

// lateCrashes returns the number of crashes under a whole request, those of the last moment too,
// that came later than graceTime after there were enough to suspect it; 0 for a part.
func (l *crashLog) lateCrashes(t Trait) int {
	if t.kind() == kindPart {
		return 0
	}
	times := l.crashTimes(t)
	if len(times) < requestCrashes {
		return 0
	}
	end := times[requestCrashes-1].Add(graceTime)
	return len(slices.DeleteFunc(times, func(at time.Time) bool { return !at.After(end) }))
}

// crashTimes returns the times of the confirmed crashes under a trait.
func (l *crashLog) crashTimes(t Trait) []time.Time {
	var times []time.Time
	for _, c := range l.crashes {
		if !c.unconfirmed && c.has(t) {
			times = append(times, c.at)
		}
	}
	return times
}
