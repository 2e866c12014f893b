package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times of the quarantine of a trait.
const (
	// checkDelay is the time until the first request that checks whether a trait is poison
	// indeed, and checkPeriod the time in which it may be sent.
	checkDelay  = time.Second
	checkPeriod = time.Second
	// firstProbeDelay is the time until the next one. For a part it doubles with each.
	firstProbeDelay = 30 * time.Second
	maxProbeDelay   = 10 * time.Minute
	// lastProbeDelay is the time between the probes of a whole request after the others, so
	// that one that keeps coming ends few endpoints a day.
	lastProbeDelay = 24 * time.Hour
	// maxOthersDelay is the longest time by which a probe is delayed for those of other traits.
	maxOthersDelay = 10 * time.Minute
	// unsentProbeDelay is the time until the next one if a probe could not be sent.
	unsentProbeDelay = time.Second
	// forgetTime is the time without a probe after which a trait leaves the quarantine.
	forgetTime = 20 * time.Minute
	// releaseMemory is how long entries of peers are ignored after a trait was released.
	releaseMemory = 30 * time.Second
	// maxQuarantined is the largest number of traits in quarantine.
	maxQuarantined = 256
)

// requestProbeDelays holds the times between the probes of a whole request; after them,
// lastProbeDelay applies.
var requestProbeDelays = []time.Duration{firstProbeDelay, 5 * time.Minute}

// Entry is a trait in quarantine as instances tell each other.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Trait is the trait, Epoch the number of times that it was put into quarantine, and Probes
	// the number of probes that were due since.
	Trait  Trait  `json:"part,string"`
	Epoch  uint64 `json:"epoch"`
	Probes int    `json:"probes"`
	// ProbeInMS is the time until a request with the trait may be sent as a probe, in
	// milliseconds.
	ProbeInMS int64 `json:"probe_in_ms"`
}

// entry is the quarantine of one trait.
type entry struct {
	since  time.Time
	epoch  uint64
	probes int
	// probeAt is when a request may be sent as a probe, if no other trait is in quarantine.
	// scheduledAt is when that was decided.
	probeAt, scheduledAt time.Time
}

// quarantine holds the traits that are kept away from the endpoints.
type quarantine struct {
	entries map[Trait]*entry
	// released holds the traits that were released lately.
	released map[Trait]release
}

// release is the end of a trait's quarantine.
type release struct {
	at    time.Time
	epoch uint64
}

func newQuarantine() quarantine {
	return quarantine{entries: make(map[Trait]*entry), released: make(map[Trait]release)}
}

// add puts a trait into quarantine that has crashed a number of endpoints more than needed,
// as probes would have. It reports whether that is news.
func (q *quarantine) add(t Trait, probes int, now time.Time) bool {
	if _, ok := q.entries[t]; ok {
		return false
	}
	q.makeRoom()
	e := &entry{since: now, epoch: q.released[t].epoch + 1, probeAt: now.Add(checkDelay), scheduledAt: now}
	for range probes {
		e.scheduleProbe(t.kind(), now)
	}
	q.entries[t] = e
	delete(q.released, t)
	return true
}

// makeRoom drops the oldest entry if there are too many.
func (q *quarantine) makeRoom() {
	if len(q.entries) < maxQuarantined {
		return
	}
	var oldest Trait
	var since time.Time
	for t, e := range q.entries {
		if since.IsZero() || e.since.Before(since) || e.since.Equal(since) && t < oldest {
			oldest, since = t, e.since
		}
	}
	delete(q.entries, oldest)
}

// release ends the quarantine of a trait. It reports whether there was one.
func (q *quarantine) release(t Trait, now time.Time) bool {
	e, ok := q.entries[t]
	if !ok {
		return false
	}
	delete(q.entries, t)
	q.released[t] = release{at: now, epoch: e.epoch}
	return true
}

// expire drops what has passed: a first probe that was not sent in its period, traits that
// were not probed for a long time, and old releases.
func (q *quarantine) expire(now time.Time) {
	for t, e := range q.entries {
		if e.probes == 0 && now.Sub(e.since) >= checkDelay+checkPeriod {
			e.scheduleProbe(t.kind(), now)
		}
	}
	maps.DeleteFunc(q.entries, func(_ Trait, e *entry) bool { return now.Sub(q.due(e)) > forgetTime })
	maps.DeleteFunc(q.released, func(_ Trait, r release) bool { return now.Sub(r.at) > releaseMemory })
}

// scheduleProbe sets the time of the next probe of a trait of a kind.
func (e *entry) scheduleProbe(k kind, now time.Time) {
	e.probeAt, e.scheduledAt = now.Add(probeDelay(k, e.probes)), now
	e.probes++
}

// due returns when a request with a trait may be sent as a probe. Each probe may crash an
// endpoint, so that several traits together are probed as often as one alone; but for the
// first probes, which release sound ones.
func (q *quarantine) due(e *entry) time.Time {
	if e.probes == 0 {
		return e.probeAt
	}
	others := time.Duration(len(q.entries) - 1)
	return e.probeAt.Add(min(others*e.probeAt.Sub(e.scheduledAt), maxOthersDelay))
}

// probeDelay returns the time until the next probe after a number of probes.
func probeDelay(k kind, probes int) time.Duration {
	if k == kindPart {
		return min(maxProbeDelay, firstProbeDelay<<min(probes, 16))
	}
	if probes < len(requestProbeDelays) {
		return requestProbeDelays[probes]
	}
	return lastProbeDelay
}

// toEntry returns the entry of a trait for the peers.
func (e *entry) toEntry(t Trait, now time.Time) Entry {
	return Entry{Trait: t, Epoch: e.epoch, Probes: e.probes, ProbeInMS: max(0, e.probeAt.Sub(now).Milliseconds())}
}

// merge takes over the entries of a peer. Of two states of a trait the one with more probes
// is newer.
func (q *quarantine) merge(list []Entry, now time.Time) (added []Trait) {
	for _, in := range list {
		if r, ok := q.released[in.Trait]; ok && in.Epoch <= r.epoch {
			continue
		}
		probeAt := now.Add(time.Duration(min(max(in.ProbeInMS, 0), lastProbeDelay.Milliseconds())) * time.Millisecond)
		e, ok := q.entries[in.Trait]
		switch {
		case !ok && len(q.entries) < maxQuarantined:
			q.entries[in.Trait] = &entry{since: now, epoch: in.Epoch, probes: max(in.Probes, 0), probeAt: probeAt, scheduledAt: now}
			added = append(added, in.Trait)
		case ok && (in.Epoch > e.epoch || in.Epoch == e.epoch && in.Probes > e.probes):
			e.epoch, e.probes, e.probeAt, e.scheduledAt = in.Epoch, in.Probes, probeAt, now
		}
	}
	return added
}

// list returns the entries, sorted.
func (q *quarantine) list(now time.Time) []Entry {
	out := make([]Entry, 0, len(q.entries))
	for t, e := range q.entries {
		out = append(out, e.toEntry(t, now))
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Compare(a.Trait, b.Trait)
	})
	return out
}
