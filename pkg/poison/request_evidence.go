package poison

import (
	"slices"
	"time"
)

// requestCrashes is the number of crashes under one request that show that it may well be their
// cause.
const requestCrashes = 3

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

// countsForRequests reports whether a crash is evidence against whole requests.
func (c *crash) countsForRequests() bool { return !c.unconfirmed && c.cause == 0 }

// requestFindings returns the evidence against all whole requests.
func (l *crashLog) requestFindings(now time.Time) findings {
	f := l.collect(now, requestGroupTime, (*crash).countsForRequests, func(c *crash, add func(t, request Trait)) {
		for id, r := range c.requests {
			for _, t := range r.whole() {
				add(t, id)
			}
		}
	})
	f.addTimes(l)
	return f
}

// addTimes adds the times of all confirmed crashes to the evidence against whole requests.
func (f *findings) addTimes(l *crashLog) {
	for _, c := range l.crashes {
		if c.unconfirmed {
			continue
		}
		for t := range l.repeatedTraits(c) {
			if e, ok := f.evidence[t]; ok {
				e.all = append(e.all, c.at)
			}
		}
	}
}

// repeatedTraits returns the traits of the whole requests that broke off with a crash, but for those that
// can't be suspected: they didn't break off with others.
func (l *crashLog) repeatedTraits(c *crash) map[Trait]bool {
	traits := make(map[Trait]bool)
	for _, r := range c.requests {
		for _, t := range r.whole() {
			if l.mentions[t] >= requestCrashes {
				traits[t] = true
			}
		}
	}
	return traits
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
