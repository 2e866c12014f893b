package promptsplit

import "time"

const (
	// mixMemory is the time after which work counts 1/e as much as new work. With 64
	// instances and 400 requests a second the pooled share then varies by 1 in 100.
	mixMemory = 5 * time.Second
	// burstMemory is the same for the work that shows bursts. In simulations with ten times as many
	// short prompts for 3 s, 0.22 of the short ones were late without it, 0.14 with 1 s, 0.08 with
	// 0.5 s and 0.05 with 0.25 s.
	burstMemory = 250 * time.Millisecond
	// maxSilence is the time between two summaries of a peer above which what came between
	// them isn't added. With 880 instances a peer is heard every 7 s.
	maxSilence = 15 * time.Second
	// sourceTimeout is the time after which the totals of a silent source are dropped.
	sourceTimeout = time.Minute
)

// Summary holds what one instance has been asked for since its start, for one service.
type Summary struct {
	_ struct{} `cbor:",toarray"`
	// Requests is the number of requests with a prompt.
	Requests uint64
	// Long and All are the engine time in seconds of long prompts and of all.
	Long, All float64
}

// plausible reports whether a summary of a peer can be used.
func (s Summary) plausible() bool { return s.Long >= 0 && s.All >= s.Long && s.All < maxSeconds }

// maxSeconds bounds the totals of a peer that are believed: 1,000 years.
const maxSeconds = 1e11

// since returns the part of the totals that came after earlier ones; false if these are
// of another start.
func (s Summary) since(before Summary) (Summary, bool) {
	if s.Requests < before.Requests || s.All < before.All || s.Long < before.Long {
		return Summary{}, false
	}
	return Summary{Requests: s.Requests - before.Requests, Long: s.Long - before.Long, All: s.All - before.All}, true
}

// mix holds the recent work of all instances. It isn't safe for concurrent use.
type mix struct {
	// recent is the work of the last seconds, and newest that of the last moment.
	recent, newest work
	sources        map[string]sourceTotals
}

// work is a sum of work in which older work counts less.
type work struct {
	requests, long, all float64
	at                  time.Time
}

// sourceTotals holds the newest totals of a peer.
type sourceTotals struct {
	summary    Summary
	receivedAt time.Time
}

// add adds new work.
func (m *mix) add(s Summary, now time.Time) {
	m.recent.add(s, now, mixMemory)
	m.newest.add(s, now, burstMemory)
}

func (w *work) add(s Summary, now time.Time, memory time.Duration) {
	factor := decayFactor(now.Sub(w.at), memory)
	w.at = now
	w.requests = w.requests*factor + float64(s.Requests)
	w.long = w.long*factor + s.Long
	w.all = w.all*factor + s.All
}

// merge adds what a peer was asked for since its last summary. The first summary of a
// peer, and the first one after a long silence, adds nothing: when its work came isn't known.
func (m *mix) merge(source string, s Summary, now time.Time) {
	if !s.plausible() {
		return
	}
	if m.sources == nil {
		m.sources = make(map[string]sourceTotals)
	}
	before, known := m.sources[source]
	m.sources[source] = sourceTotals{summary: s, receivedAt: now}
	if !known || now.Sub(before.receivedAt) > maxSilence {
		return
	}
	if work, ok := s.since(before.summary); ok {
		m.add(work, now)
	}
}

// dropSilent drops the totals of sources that are no longer heard.
func (m *mix) dropSilent(now time.Time) {
	for source, t := range m.sources {
		if now.Sub(t.receivedAt) > sourceTimeout {
			delete(m.sources, source)
		}
	}
}

// longShare returns the share of the work that long prompts need.
func (w work) longShare() float64 {
	if w.all <= 0 {
		return 0
	}
	return min(1, w.long/w.all)
}
