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

// Amounts of evidence.
const (
	// minCrashes is the number of crashes that a poison part accounts for at least.
	minCrashes = 4
	// minCrashesTied is that number if several parts account for the same crashes.
	minCrashesTied = 6
	// crashInterval separates crashes that count apart: endpoints that end at the same
	// moment probably have a cause in common.
	crashInterval = 150 * time.Millisecond
	// settleTime is the time after a crash in which other instances may report it.
	settleTime = 200 * time.Millisecond
)

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

// evidence is the number of crashes for which a part may account, and the time of the last.
type evidence struct {
	crashes int
	last    time.Time
}

// evidence returns the evidence against all parts. Crashes at the same moment count once.
func (l *crashLog) evidence() map[Part]evidence {
	out := make(map[Part]evidence)
	for _, c := range l.crashes {
		if c.explained {
			continue
		}
		for p := range c.parts {
			e := out[p]
			if e.crashes == 0 || c.at.Sub(e.last) >= crashInterval {
				out[p] = evidence{crashes: e.crashes + 1, last: c.at}
			}
		}
	}
	return out
}

// poison returns the parts that account for enough crashes, and for more than any other
// part of the same crashes. It returns none of which other instances may still report the
// last crash.
func (l *crashLog) poison(now time.Time) []Part {
	all := l.evidence()
	var out []Part
	for p, e := range all {
		if e.crashes >= minCrashes && now.Sub(e.last) >= settleTime && !l.hasRival(p, all) {
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
