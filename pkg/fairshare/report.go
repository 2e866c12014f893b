package fairshare

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// ErrReport is the error of a report that can't be decoded.
var ErrReport = eris.New("fairshare: invalid report")

const (
	// units is the number of units of a reported count in a call or a second.
	units = 1000
	// maxCount bounds the counts of a peer that are believed: 3,000 years of engine time.
	maxCount = 1e14
	// maxReported is the largest number of workspaces in one report, over all classes, and inTurn the
	// number of them that are drawn at random if there are more; the others are those with the most
	// demand. 64 workspaces take 700 bytes.
	maxReported = 64
	inTurn      = 16
)

// classReport tells the peers what this instance was asked for since its start, for one class.
type classReport struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Calls   bool
	Waiting uint64
	// Shortages holds what was refused by priority: for lack of capacity, and as excess.
	Shortages map[int][2]uint64
	// Workspaces holds the demand by hash of the workspace's name.
	Workspaces map[uint32]uint64
}

// plausible reports whether the counts can be used.
func (r classReport) plausible() bool {
	for _, n := range r.Workspaces {
		if n > maxCount {
			return false
		}
	}
	for p, n := range r.Shortages {
		if p < 0 || p > lowestPriority || max(n[0], n[1]) > maxCount {
			return false
		}
	}
	return r.Waiting <= maxCount
}

// encoded returns a count in units.
func encoded(amount float64) uint64 { return uint64(math.Round(amount * units)) }

// entry is the count of one workspace.
type entry struct {
	class     Class
	workspace uint32
	own       float64
	recent    float64
}

// Report returns the encoded counts of this instance, for its peers; nil if it has none.
func (s *Shares) Report() []byte {
	now := s.Now()
	reports := make(map[Class]*classReport)
	var entries []entry
	for c, v := range s.all() {
		v.mu.Lock()
		reports[c] = &classReport{
			Service: c.Service, Calls: c.Calls, Waiting: encoded(v.waiting.own), Shortages: v.ownShortages(), Workspaces: make(map[uint32]uint64),
		}
		for _, k := range v.largest(now) {
			// Demand in calls and in seconds is made comparable by the mean work of a request.
			entries = append(entries, entry{class: c, workspace: k, own: v.workspaces[k].own, recent: v.workspaces[k].recent / max(v.mean, 1/units)})
		}
		v.mu.Unlock()
	}
	for _, e := range chosen(entries) {
		reports[e.class].Workspaces[e.workspace] = encoded(e.own)
	}
	return s.encode(reports)
}

// ownShortages returns what this instance has refused since its start, by priority. The caller holds
// the lock.
func (v *class) ownShortages() map[int][2]uint64 {
	out := make(map[int][2]uint64)
	for p := range v.shortages {
		s := &v.shortages[p]
		if lacking, refused := encoded(s.lacking.own), encoded(s.refused.own); lacking > 0 || refused > 0 {
			out[p] = [2]uint64{lacking, refused}
		}
	}
	return out
}

// chosen returns the entries for one message: those with the most demand, and some others at
// random. Peers get one message in several, and would miss the same ones each time if turns kept step.
func chosen(list []entry) []entry {
	if len(list) <= maxReported {
		return list
	}
	slices.SortFunc(list, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.recent, a.recent), cmp.Compare(a.workspace, b.workspace))
	})
	others := list[maxReported-inTurn:]
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return list[:maxReported]
}

// encode encodes the reports of the classes that have counts.
func (s *Shares) encode(reports map[Class]*classReport) []byte {
	var list []classReport
	for _, r := range reports {
		if len(r.Workspaces) > 0 {
			list = append(list, *r)
		}
	}
	if len(list) == 0 {
		return nil
	}
	data, err := cbor.Marshal(list)
	if err != nil {
		s.Log.Error("failed to encode demand of workspaces", "error", err.Error())
		return nil
	}
	return data
}

// decode decodes the report of a peer.
func decode(data []byte) ([]classReport, error) {
	var list []classReport
	if err := cbor.Unmarshal(data, &list); err != nil {
		return nil, eris.Wrap(ErrReport, err.Error())
	}
	for _, r := range list {
		if !r.plausible() {
			return nil, eris.Wrap(ErrReport, "count out of range")
		}
	}
	return list, nil
}

// source holds the newest counts of a peer for one class.
type source struct {
	waiting    counter
	shortages  [levels][2]counter
	workspaces map[uint32]counter
}

// Receive adds what a peer was asked for, which is known by the name of its process. Classes that this
// instance wasn't asked for are ignored, as it places nothing there.
func (s *Shares) Receive(from string, data []byte) {
	if len(data) == 0 {
		return
	}
	list, err := decode(data)
	if err != nil {
		s.ignore(from, err)
		return
	}
	now := s.Now()
	wasSilent := s.hear(from, now)
	for _, r := range list {
		v := s.known(Class{Service: r.Service, Calls: r.Calls})
		if v == nil {
			continue
		}
		v.mu.Lock()
		v.receive(from, r, wasSilent, now)
		v.mu.Unlock()
	}
}

// hear records that a peer was heard of. It reports whether it was silent for so long that what it
// was asked for meanwhile doesn't count.
func (s *Shares) hear(from string, now time.Time) (wasSilent bool) {
	s.sourcesMu.Lock()
	before, known := s.heard[from]
	s.heard[from] = now
	due := now.Sub(s.droppedAt) >= dropInterval
	if due {
		s.droppedAt = now
	}
	s.sourcesMu.Unlock()
	if due {
		s.drop(now)
	}
	return !known || now.Sub(before) > max(minSilence, silentRounds*s.RoundTime())
}

// drop drops counts that are no longer used.
func (s *Shares) drop(now time.Time) {
	s.sourcesMu.Lock()
	heard := make(map[string]time.Time, len(s.heard))
	for name, at := range s.heard {
		if now.Sub(at) > sourceTimeout {
			delete(s.heard, name)
			continue
		}
		heard[name] = at
	}
	s.sourcesMu.Unlock()
	for _, v := range s.all() {
		v.mu.Lock()
		v.drop(heard, now)
		v.mu.Unlock()
	}
}

// receive adds the report of a peer. The first report, the first one after a long silence and one
// with lower counts add nothing: when their work came isn't known. The caller holds the lock.
func (v *class) receive(from string, r classReport, wasSilent bool, now time.Time) {
	before, ok := v.sources[from]
	if !ok || wasSilent {
		before = &source{workspaces: make(map[uint32]counter)}
		v.sources[from] = before
	}
	at := now.Sub(v.since)
	merge := func(from *counter, value uint64, add func(amount float64, spread time.Duration, now time.Time)) {
		after, amount, spread := from.next(value, at)
		*from = after
		if amount > 0 {
			add(amount, spread, now)
		}
	}
	merge(&before.waiting, r.Waiting, v.waiting.add)
	for p, n := range before.shortages {
		// Priorities without a shortage are left out of reports.
		own, reported := v.shortage(p), r.Shortages[p]
		merge(&n[0], reported[0], own.lacking.add)
		merge(&n[1], reported[1], own.refused.add)
		before.shortages[p] = n
	}
	for k, value := range r.Workspaces {
		c := before.workspaces[k]
		merge(&c, value, v.workspace(k, now).add)
		before.workspaces[k] = c
	}
}

// ignore counts a report that can't be decoded, and logs it at most once in ignoredLogInterval.
func (s *Shares) ignore(from string, err error) {
	s.metrics.ignored.Inc()
	s.sourcesMu.Lock()
	defer s.sourcesMu.Unlock()
	if now := s.Now(); now.Sub(s.ignoredAt) >= ignoredLogInterval {
		s.ignoredAt = now
		s.Log.Warn("demand report of peer ignored", "peer", from, "error", err.Error())
	}
}
