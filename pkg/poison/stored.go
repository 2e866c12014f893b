package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Bounds on the crashes that are stored.
const (
	// minStoredRequest and minStoredPart are the numbers of crashes from which on a whole request
	// and a part are suspected enough to be stored. Sound ones meet single crashes by chance.
	minStoredRequest = 2
	minStoredPart    = 3
	// maxStoredCrashes is the largest number of stored crashes, and maxStoredTraits that of
	// all their traits.
	maxStoredCrashes = 32
	maxStoredTraits  = 8192
)

// errStoredCrashes is the error of stored crashes that can't be decoded.
var errStoredCrashes = eris.New("poison: invalid stored crashes")

// storedCrash is a crash with the suspected traits of the requests that broke off.
type storedCrash struct {
	_       struct{} `cbor:",toarray"`
	Process process
	// AtMS is the true time of the crash in Unix milliseconds.
	AtMS     int64
	Requests []Request
}

func encodeCrashes(list []storedCrash) ([]byte, error) {
	if len(list) == 0 {
		return nil, nil
	}
	data, err := cbor.Marshal(list)
	return data, eris.Wrap(err, "poison: encode crashes")
}

func decodeCrashes(data []byte) ([]storedCrash, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var list []storedCrash
	if err := cbor.Unmarshal(data, &list); err != nil {
		return nil, eris.Wrap(errStoredCrashes, err.Error())
	}
	return list[:min(len(list), maxStoredCrashes)], nil
}

// suspectedCrashes returns the newest crashes that speak against traits which may well be their
// cause, for a start of all instances. trueTime is the true time now.
func (g *Guard) suspectedCrashes(trueTime time.Time) []storedCrash {
	if !g.active.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	counts := g.log.countCrashes()
	var out []storedCrash
	left := maxStoredTraits
	for _, c := range slices.Backward(g.log.crashes) {
		stored := storedCrash{Process: c.process, AtMS: trueTime.Add(c.at.Sub(now)).UnixMilli(), Requests: c.suspectedBy(counts)}
		for _, r := range stored.Requests {
			left -= len(r.traits())
		}
		if len(out) == maxStoredCrashes || left < 0 {
			break
		}
		if len(stored.Requests) > 0 {
			out = append(out, stored)
		}
	}
	slices.Reverse(out)
	return out
}

// countCrashes returns the number of crashes under each trait of which no cause is known.
func (l *crashLog) countCrashes() map[Trait]int {
	counts := make(map[Trait]int)
	for _, c := range l.crashes {
		if c.cause != 0 {
			continue
		}
		seen := make(map[Trait]bool)
		for _, r := range c.requests {
			for _, t := range r.traits() {
				if !seen[t] {
					seen[t] = true
					counts[t]++
				}
			}
		}
	}
	return counts
}

// suspectedBy returns the requests of a crash with those traits that have enough crashes to be
// stored.
func (c *crash) suspectedBy(counts map[Trait]int) []Request {
	if c.cause != 0 {
		return nil
	}
	var out []Request
	for _, r := range c.requests {
		for _, t := range r.traits() {
			if t.kind() == kindPart && counts[t] < minStoredPart || t.kind() != kindPart && counts[t] < minStoredRequest {
				r = r.without(t)
			}
		}
		if len(r.traits()) > 0 {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Request) int { return cmp.Compare(a.id(), b.id()) })
	return out
}

// mergeCrashes takes over crashes from the store, and tells the peers of those that are new if
// report is true.
func (g *Guard) mergeCrashes(list []storedCrash, trueTime time.Time, report bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	for _, s := range list {
		age := min(max(0, trueTime.Sub(time.UnixMilli(s.AtMS))), crashRetention)
		if !g.log.addOlder(s.Process, s.Requests, now.Add(-age)) {
			continue
		}
		g.lastCrash = now
		g.active.Store(true)
		if report && len(g.next.Crashes) < maxReportedCrashes {
			g.next.Crashes = append(g.next.Crashes, crashReport{Process: s.Process, Requests: s.Requests})
		}
	}
	for t := range g.quarantine.entries {
		g.log.explain(t)
	}
}

// addOlder records a crash at its place by time. It reports whether it, or one of its requests,
// wasn't known.
func (l *crashLog) addOlder(p process, requests []Request, at time.Time) bool {
	before := 0
	i := slices.IndexFunc(l.crashes, func(c *crash) bool { return c.process == p })
	if i >= 0 {
		before = len(l.crashes[i].requests)
	}
	c := l.add(p, requests[:min(len(requests), maxRequests)], at)
	slices.SortStableFunc(l.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	return i < 0 || len(c.requests) > before
}
