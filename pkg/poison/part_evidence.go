package poison

import (
	"slices"
	"time"
)

// minPartCrashesTied is the number of crashes from which on several parts that account for the
// same crashes are all taken for poison.
const minPartCrashesTied = 12

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

// countsForParts reports whether a crash is evidence against parts: no other part accounts for
// it.
func (c *crash) countsForParts() bool {
	return !c.unconfirmed && (c.cause == 0 || c.cause.kind() != kindPart)
}

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
