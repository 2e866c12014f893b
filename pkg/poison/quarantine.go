package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times of the quarantine of a part.
const (
	// checkDelay is the time until the first request that checks whether a part is poison
	// indeed, and checkPeriod the time in which it may be sent.
	checkDelay  = time.Second
	checkPeriod = time.Second
	// firstProbeDelay is the time until the next one. It doubles with each.
	firstProbeDelay = 30 * time.Second
	maxProbeDelay   = 10 * time.Minute
	// unsentProbeDelay is the time until the next one if a probe could not be sent.
	unsentProbeDelay = time.Second
	// forgetTime is the time without a probe after which a part leaves the quarantine.
	forgetTime = 20 * time.Minute
	// releaseMemory is how long entries of peers are ignored after a part was released.
	releaseMemory = 30 * time.Second
	// maxQuarantined is the largest number of parts in quarantine.
	maxQuarantined = 256
)

// Entry is a part in quarantine as instances tell each other.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Part is the part, Epoch the number of times that it was put into quarantine, and Probes
	// the number of probes that were due since.
	Part   Part   `json:"part,string"`
	Epoch  uint64 `json:"epoch"`
	Probes int    `json:"probes"`
	// ProbeInMS is the time until a request with the part may be sent as a probe, in
	// milliseconds.
	ProbeInMS int64 `json:"probe_in_ms"`
}

// entry is the quarantine of one part.
type entry struct {
	since  time.Time
	epoch  uint64
	probes int
	// probeAt is when a request may be sent as a probe.
	probeAt time.Time
}

// quarantine holds the parts that are kept away from the endpoints.
type quarantine struct {
	entries map[Part]*entry
	// released holds the parts that were released lately.
	released map[Part]release
}

// release is the end of a part's quarantine.
type release struct {
	at    time.Time
	epoch uint64
}

func newQuarantine() quarantine {
	return quarantine{entries: make(map[Part]*entry), released: make(map[Part]release)}
}

// add puts a part into quarantine. It reports whether that is news.
func (q *quarantine) add(p Part, now time.Time) bool {
	if _, ok := q.entries[p]; ok || len(q.entries) >= maxQuarantined {
		return false
	}
	q.entries[p] = &entry{since: now, epoch: q.released[p].epoch + 1, probeAt: now.Add(checkDelay)}
	delete(q.released, p)
	return true
}

// release ends the quarantine of a part. It reports whether there was one.
func (q *quarantine) release(p Part, now time.Time) bool {
	e, ok := q.entries[p]
	if !ok {
		return false
	}
	delete(q.entries, p)
	q.released[p] = release{at: now, epoch: e.epoch}
	return true
}

// expire drops what has passed: a first probe that was not sent in its period, parts that
// were not probed for a long time, and old releases.
func (q *quarantine) expire(now time.Time) {
	for _, e := range q.entries {
		if e.probes == 0 && now.Sub(e.since) >= checkDelay+checkPeriod {
			e.scheduleProbe(now)
		}
	}
	maps.DeleteFunc(q.entries, func(_ Part, e *entry) bool { return now.Sub(e.probeAt) > forgetTime })
	maps.DeleteFunc(q.released, func(_ Part, r release) bool { return now.Sub(r.at) > releaseMemory })
}

// scheduleProbe sets the time of the next probe.
func (e *entry) scheduleProbe(now time.Time) {
	e.probeAt = now.Add(min(maxProbeDelay, firstProbeDelay<<min(e.probes, 16)))
	e.probes++
}

// toEntry returns the entry of a part for the peers.
func (e *entry) toEntry(p Part, now time.Time) Entry {
	return Entry{Part: p, Epoch: e.epoch, Probes: e.probes, ProbeInMS: max(0, e.probeAt.Sub(now).Milliseconds())}
}

// merge takes over the entries of a peer. Of two states of a part the one with more probes
// is newer.
func (q *quarantine) merge(list []Entry, now time.Time) (added []Part) {
	for _, in := range list {
		if r, ok := q.released[in.Part]; ok && in.Epoch <= r.epoch {
			continue
		}
		probeAt := now.Add(time.Duration(min(max(in.ProbeInMS, 0), maxProbeDelay.Milliseconds())) * time.Millisecond)
		e, ok := q.entries[in.Part]
		switch {
		case !ok && len(q.entries) < maxQuarantined:
			q.entries[in.Part] = &entry{since: now, epoch: in.Epoch, probes: max(in.Probes, 0), probeAt: probeAt}
			added = append(added, in.Part)
		case ok && (in.Epoch > e.epoch || in.Epoch == e.epoch && in.Probes > e.probes):
			e.epoch, e.probes, e.probeAt = in.Epoch, in.Probes, probeAt
		}
	}
	return added
}

// list returns the entries, sorted.
func (q *quarantine) list(now time.Time) []Entry {
	out := make([]Entry, 0, len(q.entries))
	for p, e := range q.entries {
		out = append(out, e.toEntry(p, now))
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Compare(a.Part, b.Part)
	})
	return out
}
