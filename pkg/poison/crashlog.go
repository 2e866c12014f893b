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
	// maxParts is the largest number of parts that are kept of a crash.
	maxParts = 256
)

const (
	// groupTime is the time in which crashes count as one: endpoints that end at the same
	// moment probably have a cause in common.
	groupTime = 60 * time.Millisecond
	// settleTime is the time after a crash in which other instances may report it.
	settleTime = 200 * time.Millisecond
	// frequentCrashes is the number of crashes a second above which requests often break off
	// several times by chance.
	frequentCrashes = 1.5
	// minCrashesTied is the number of crashes from which on several parts that account for
	// the same crashes are all taken for poison.
	minCrashesTied = 12
)

// thresholds holds the number of crashes from which on a part is taken for poison, by the
// share of all crashes in that time that it accounts for. The more crashes there are beside,
// the more of them a sound part meets by chance.
var thresholds = []struct {
	share float64
	// crashes applies while crashes are rare, whenFrequent while they are frequent.
	crashes, whenFrequent int
}{
	{share: 0.75, crashes: 4, whenFrequent: 6},
	{share: 0.4, crashes: 5, whenFrequent: 8},
	{share: 0.25, crashes: 6, whenFrequent: 10},
}

// crash is the end of an endpoint's process.
type crash struct {
	process process
	at      time.Time
	// parts holds the parts of the requests that broke off, and of which none has been
	// answered since.
	parts map[Part]bool
	// explained is true if a poison part accounts for the crash.
	explained bool
}

// crashLog holds the newest crashes, oldest first.
type crashLog struct {
	crashes []*crash
}

// add records a crash, of which several instances may report different parts.
func (l *crashLog) add(p process, parts []Part, now time.Time) *crash {
	i := slices.IndexFunc(l.crashes, func(c *crash) bool { return c.process == p })
	if i < 0 {
		if len(l.crashes) >= maxCrashes {
			l.crashes = slices.Delete(l.crashes, 0, 1)
		}
		l.crashes = append(l.crashes, &crash{process: p, at: now, parts: make(map[Part]bool)})
		i = len(l.crashes) - 1
	}
	c := l.crashes[i]
	for _, part := range parts {
		if len(c.parts) < maxParts {
			c.parts[part] = true
		}
	}
	return c
}

// expire drops the crashes that are too old.
func (l *crashLog) expire(now time.Time) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool { return now.Sub(c.at) > crashRetention })
}

// suspected reports whether there is evidence against a part.
func (l *crashLog) suspected(p Part) bool {
	return slices.ContainsFunc(l.crashes, func(c *crash) bool { return !c.explained && c.parts[p] })
}

// clear drops the evidence against a part.
func (l *crashLog) clear(p Part) {
	for _, c := range l.crashes {
		delete(c.parts, p)
	}
}

// explain marks the crashes for which a poison part accounts.
func (l *crashLog) explain(p Part) {
	for _, c := range l.crashes {
		c.explained = c.explained || c.parts[p]
	}
}

// evidence is what speaks against a part: the crashes that it may account for, where those
// of one group count once.
type evidence struct {
	crashes     int
	first, last group
}

// group is a number of crashes at about the same moment.
type group struct {
	index int
	at    time.Time
}

// evidence returns the evidence against all parts, but for the newest crashes, which other
// instances may still report.
func (l *crashLog) evidence(now time.Time) map[Part]evidence {
	out := make(map[Part]evidence)
	current := group{index: -1}
	for _, c := range l.crashes {
		if c.explained || now.Sub(c.at) < settleTime {
			continue
		}
		if current.index < 0 || c.at.Sub(current.at) >= groupTime {
			current = group{index: current.index + 1, at: c.at}
		}
		for p := range c.parts {
			e, ok := out[p]
			if !ok {
				e.first = current
			}
			if !ok || e.last.index != current.index {
				e.crashes++
			}
			e.last = current
			out[p] = e
		}
	}
	return out
}

// sufficient reports whether evidence is enough to take a part for poison.
func (e evidence) sufficient() bool {
	all := e.last.index - e.first.index + 1
	frequent := float64(all-1) > frequentCrashes*e.last.at.Sub(e.first.at).Seconds()
	for _, t := range thresholds {
		if float64(e.crashes) < t.share*float64(all) {
			continue
		}
		if frequent {
			return e.crashes >= t.whenFrequent
		}
		return e.crashes >= t.crashes
	}
	return false
}

// poison returns the parts that account for enough crashes, and for more than any other
// part of the same crashes.
func (l *crashLog) poison(now time.Time) []Part {
	all := l.evidence(now)
	var out []Part
	for p, e := range all {
		if e.sufficient() && !l.hasRival(p, all) {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// hasRival reports whether another part may account for a crash of p just as well.
func (l *crashLog) hasRival(p Part, all map[Part]evidence) bool {
	own := all[p].crashes
	for _, c := range l.crashes {
		if c.explained || !c.parts[p] {
			continue
		}
		for rival := range c.parts {
			other := all[rival].crashes
			if rival != p && (other > own || other == own && own < minCrashesTied) {
				return true
			}
		}
	}
	return false
}
