package poison

import (
	"slices"
	"time"
)

// Bounds on the crashes that are kept as evidence.
const (
	// crashRetention is how long a crash is kept.
	crashRetention = 10 * time.Minute
	// maxCrashes is the largest number of crashes that are kept.
	maxCrashes = 128
	// maxRequests is the largest number of requests that are kept of a crash.
	maxRequests = 96
	// maxParts is the largest number of parts that are kept of a request.
	maxParts = 16
)

// crash is the end of an endpoint's process.
type crash struct {
	process process
	at      time.Time
	// requests holds the requests that broke off by their ids, without the traits of which one
	// has been answered since.
	requests map[Trait]Request
	// cause is the poison trait that accounts for the crash; 0 if none is known.
	cause Trait
}

// has reports whether a request with a trait broke off.
func (c *crash) has(t Trait) bool {
	for _, r := range c.requests {
		if r.has(t) {
			return true
		}
	}
	return false
}

func (r Request) has(t Trait) bool {
	return t == r.Content || t == r.Prompt || slices.Contains(r.Parts, t)
}

// without returns the request without a trait.
func (r Request) without(t Trait) Request {
	if r.Content == t {
		r.Content = 0
	}
	if r.Prompt == t {
		r.Prompt = 0
	}
	r.Parts = slices.DeleteFunc(slices.Clone(r.Parts), func(other Trait) bool { return other == t })
	return r
}

// crashLog holds the newest crashes, oldest first.
type crashLog struct {
	crashes []*crash
	// mentions counts the requests of all crashes that have a trait.
	mentions map[Trait]int
}

func newCrashLog() crashLog { return crashLog{mentions: make(map[Trait]int)} }

// add records a crash, of which several instances may report different requests.
func (l *crashLog) add(p process, requests []Request, now time.Time) *crash {
	i := slices.IndexFunc(l.crashes, func(c *crash) bool { return c.process == p })
	if i < 0 {
		if len(l.crashes) >= maxCrashes {
			l.drop(1)
		}
		l.crashes = append(l.crashes, &crash{process: p, at: now, requests: make(map[Trait]Request)})
		i = len(l.crashes) - 1
	}
	c := l.crashes[i]
	for _, r := range requests {
		l.addRequest(c, r)
	}
	return c
}

// addRequest records that a request broke off with a crash, unless that is known.
func (l *crashLog) addRequest(c *crash, r Request) {
	id := r.id()
	if _, known := c.requests[id]; known || len(c.requests) >= maxRequests {
		return
	}
	r.Parts = r.Parts[:min(len(r.Parts), maxParts)]
	c.requests[id] = r
	for _, t := range r.traits() {
		l.mentions[t]++
	}
}

// drop removes the first n crashes.
func (l *crashLog) drop(n int) {
	for _, c := range l.crashes[:n] {
		for _, r := range c.requests {
			l.forget(r)
		}
	}
	l.crashes = slices.Delete(l.crashes, 0, n)
}

// forget subtracts a request's traits from the mentions.
func (l *crashLog) forget(r Request) {
	for _, t := range r.traits() {
		if l.mentions[t]--; l.mentions[t] <= 0 {
			delete(l.mentions, t)
		}
	}
}

// expire drops the crashes that are too old.
func (l *crashLog) expire(now time.Time) {
	old := 0
	for old < len(l.crashes) && now.Sub(l.crashes[old].at) > crashRetention {
		old++
	}
	l.drop(old)
}

// suspected reports whether there is evidence against a trait.
func (l *crashLog) suspected(t Trait) bool { return l.mentions[t] > 0 }

// clear drops the evidence against a trait.
func (l *crashLog) clear(t Trait) {
	if !l.suspected(t) {
		return
	}
	delete(l.mentions, t)
	for _, c := range l.crashes {
		for id, r := range c.requests {
			if r.has(t) {
				c.requests[id] = r.without(t)
			}
		}
	}
}

// explain records the poison trait that accounts for the crashes under it. A part goes before
// the requests that have it.
func (l *crashLog) explain(t Trait) {
	for _, c := range l.crashes {
		c.explain(t)
	}
}

func (c *crash) explain(t Trait) {
	if (c.cause == 0 || t.kind() == kindPart) && c.has(t) {
		c.cause = t
	}
}
