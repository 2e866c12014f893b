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

// minPartCrashesTied is the number of crashes from which on several parts that account for the
// same crashes are all taken for poison.
const minPartCrashesTied = 12

// requestCrashes is the number of crashes under one request that show that it may well be their
// cause.
const requestCrashes = 3

// partThreshold is the evidence from which on a part is taken for poison: the number of crashes
// that it accounts for, and that of the different requests that broke off with them. One that
// is sent again and again may be the cause by itself, or unlucky.
type partThreshold struct {
	crashes, requests int
}

// partThresholds holds the thresholds by the share of all crashes in that time that a part
// accounts for. The more crashes there are beside, the more of them a sound part meets by
// chance.
var partThresholds = []struct {
	share float64
	// rare applies while crashes are rare, frequent while they are frequent.
	rare, frequent partThreshold
}{
	{share: 0.9, rare: partThreshold{crashes: 4, requests: 3}, frequent: partThreshold{crashes: 7, requests: 5}},
	{share: 0.4, rare: partThreshold{crashes: 5, requests: 3}, frequent: partThreshold{crashes: 9, requests: 5}},
	{share: 0.25, rare: partThreshold{crashes: 6, requests: 3}, frequent: partThreshold{crashes: 11, requests: 5}},
}

// requestThresholds holds the same for whole requests. They need fewer crashes, as a sound
// request that is sent again is answered unless it meets another crash by chance.
var requestThresholds = []struct {
	share   float64
	crashes int
}{
	{share: 0.9, crashes: 4},
	{share: 0.6, crashes: 5},
	{share: 0.4, crashes: 6},
	{share: 0.25, crashes: 7},
}

// evidence is what speaks against a trait: the crashes that it may account for, where those
// of one group count once, and the requests that broke off with them.
type evidence struct {
	groups   []group
	requests map[Trait]bool
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

// poisonParts returns the parts that account for enough crashes, and for more than any other
// part of the same crashes.
func (l *crashLog) poisonParts(now time.Time) []Trait {
	f := l.partFindings(now, partGroupTime)
	var out []Trait
	for t, e := range f.evidence {
		if e.sufficientForPart() && !l.partHasRival(t, f) {
			out = append(out, t)
		}
	}
	slices.Sort(out)
	return out
}

// poisonRequests returns the whole requests that account for enough crashes, and for more
// than any other of the same crashes. Of one request, its content goes before its prompt.
func (l *crashLog) poisonRequests(now time.Time) []Trait {
	f, parts := l.requestFindings(now), l.partFindings(now, requestGroupTime)
	var out []Trait
	for t, e := range f.evidence {
		if f.sufficientForRequest(e) && !l.requestHasRival(t, f, parts) {
			out = append(out, t)
		}
	}
	out = slices.DeleteFunc(out, func(t Trait) bool { return t.kind() == kindPrompt && l.contentOfAny(t, out) })
	slices.Sort(out)
	return out
}

// contentOfAny reports whether a request with a prompt trait has one of the given contents.
func (l *crashLog) contentOfAny(prompt Trait, list []Trait) bool {
	for _, c := range l.crashes {
		if r, ok := c.requests[prompt]; ok && slices.Contains(list, r.Content) {
			return true
		}
	}
	return false
}

// countsForParts reports whether a crash is evidence against parts: no other part accounts for
// it.
func (c *crash) countsForParts() bool { return c.cause == 0 || c.cause.kind() != kindPart }

// countsForRequests reports whether a crash is evidence against whole requests.
func (c *crash) countsForRequests() bool { return c.cause == 0 }

// partFindings returns the evidence against all parts. Of crashes under a poison request only
// that request counts.
func (l *crashLog) partFindings(now time.Time, groupTime time.Duration) findings {
	return l.collect(now, groupTime, (*crash).countsForParts, func(c *crash, add func(t, request Trait)) {
		for id, r := range c.requests {
			if c.cause != 0 && !r.has(c.cause) {
				continue
			}
			for _, t := range r.Parts {
				add(t, id)
			}
		}
	})
}

// requestFindings returns the evidence against all whole requests.
func (l *crashLog) requestFindings(now time.Time) findings {
	return l.collect(now, requestGroupTime, (*crash).countsForRequests, func(c *crash, add func(t, request Trait)) {
		for id, r := range c.requests {
			for _, t := range r.whole() {
				add(t, id)
			}
		}
	})
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

// sufficientForPart reports whether evidence is enough to take a part for poison.
func (e *evidence) sufficientForPart() bool {
	all := e.last().index - e.first().index + 1
	frequent := float64(all-1) > frequentCrashes*e.last().at.Sub(e.first().at).Seconds()
	for _, t := range partThresholds {
		if float64(e.crashes()) < t.share*float64(all) {
			continue
		}
		need := t.rare
		if frequent {
			need = t.frequent
		}
		if e.crashes() >= need.crashes && len(e.requests) >= need.requests {
			return true
		}
	}
	return false
}

// sufficientForRequest reports whether evidence is enough to take a whole request for poison:
// a large share of the crashes of its time, or crashes without an answer for longer than a
// sound request that is sent again would meet them by chance.
func (f *findings) sufficientForRequest(e *evidence) bool {
	if e.lateCrashes() > 0 {
		return true
	}
	from := e.first().at.Add(-backgroundTime)
	before := 0
	for _, at := range f.groups[:e.first().index] {
		if !at.Before(from) {
			before++
		}
	}
	all := before + e.last().index - e.first().index + 1
	for _, t := range requestThresholds {
		if float64(e.crashes()) >= t.share*float64(all) {
			return e.crashes() >= t.crashes
		}
	}
	return false
}

// lateCrashes returns the number of crashes that came later than graceTime after there were
// enough to suspect a request.
func (e *evidence) lateCrashes() int {
	if len(e.groups) < requestCrashes {
		return 0
	}
	end := e.groups[requestCrashes-1].at.Add(graceTime)
	late := 0
	for _, g := range e.groups {
		if g.at.After(end) {
			late++
		}
	}
	return late
}

// partHasRival reports whether another part may account for a crash of p just as well.
func (l *crashLog) partHasRival(p Trait, f findings) bool {
	own := f.evidence[p].crashes()
	for rival, other := range f.evidence {
		if rival == p || other.crashes() < own || other.crashes() == own && own >= minPartCrashesTied {
			continue
		}
		if l.together(p, rival, (*crash).countsForParts) {
			return true
		}
	}
	return false
}

// requestHasRival reports whether another request, or a part that several requests share, may
// account for a crash under the request t just as well. After graceTime no other request is
// waited for to be answered.
func (l *crashLog) requestHasRival(t Trait, requests, parts findings) bool {
	own := requests.evidence[t]
	for rival, other := range parts.evidence {
		if own.weakerThanPart(other) && l.together(t, rival, (*crash).countsForRequests) {
			return true
		}
	}
	if own.lateCrashes() > 0 {
		return false
	}
	for rival, other := range requests.evidence {
		if rival != t && rival.kind() == t.kind() && other.crashes() >= own.crashes() && l.together(t, rival, (*crash).countsForRequests) {
			return true
		}
	}
	return false
}

// weakerThanPart reports whether a part is the better explanation than a request with this
// evidence. Content that requests with different prompts share says less than a part.
func (e *evidence) weakerThanPart(part *evidence) bool {
	if len(part.requests) < 2 {
		return false
	}
	if len(e.requests) > 1 {
		return part.crashes() >= e.crashes()
	}
	return part.crashes() > e.crashes() && e.lateCrashes() == 0
}

// together reports whether there is a crash that counts under both of two traits.
func (l *crashLog) together(a, b Trait, counts func(c *crash) bool) bool {
	return slices.ContainsFunc(l.crashes, func(c *crash) bool { return counts(c) && c.has(a) && c.has(b) })
}

// suspectedRequest reports whether enough crashes without known cause came under a whole
// request to suspect it, those of the last moment too.
func (l *crashLog) suspectedRequest(r Request) bool {
	count := 0
	for _, c := range l.crashes {
		if c.countsForRequests() && (c.has(r.Content) || r.Prompt != 0 && c.has(r.Prompt)) {
			count++
		}
	}
	return count >= requestCrashes
}

// lateCrashes returns the number of crashes under a whole request, those of the last moment too,
// that came later than graceTime after there were enough to suspect it; 0 for a part.
func (l *crashLog) lateCrashes(t Trait) int {
	if t.kind() == kindPart {
		return 0
	}
	var times []time.Time
	for _, c := range l.crashes {
		if c.has(t) {
			times = append(times, c.at)
		}
	}
	if len(times) < requestCrashes {
		return 0
	}
	end := times[requestCrashes-1].Add(graceTime)
	return len(slices.DeleteFunc(times, func(at time.Time) bool { return !at.After(end) }))
}
