// Package usage counts the requests that began to run, by workspace and window
// of true time, over all instances and their restarts. The counts of one process
// only grow, so that merging two reports keeps the larger counts.
package usage

import (
	"maps"
	"sync"
	"time"
)

// KeptWindows is the number of windows that are kept, including the current one.
const KeptWindows = 5

// Counts holds the number of requests by workspace.
type Counts map[string]int

// Ledger holds the counts of all known sources. A source is one process: an instance is
// a new source after each restart. It is safe for concurrent use.
type Ledger struct {
	// Source names this process.
	Source string
	// Window is the length of a window.
	Window time.Duration
	// Now returns the true time.
	Now func() time.Time

	mu      sync.Mutex
	windows map[int64]map[string]Counts
}

// NewLedger returns an empty ledger.
func NewLedger(source string, window time.Duration, now func() time.Time) *Ledger {
	return &Ledger{Source: source, Window: window, Now: now, windows: make(map[int64]map[string]Counts)}
}

// Index returns the number of the window that contains t.
func (l *Ledger) Index(t time.Time) int64 { return t.UnixMilli() / l.Window.Milliseconds() }

// End returns the end of a window.
func (l *Ledger) End(index int64) time.Time {
	return time.UnixMilli((index + 1) * l.Window.Milliseconds())
}

// Began counts a request that has just begun to run.
func (l *Ledger) Began(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts(l.Index(l.Now()), l.Source)[workspace]++
}

// counts returns the counts of a source in a window, which the caller may modify.
func (l *Ledger) counts(index int64, source string) Counts {
	sources, ok := l.windows[index]
	if !ok {
		sources = make(map[string]Counts)
		l.windows[index] = sources
		l.dropOld(index)
	}
	c, ok := sources[source]
	if !ok {
		c = make(Counts)
		sources[source] = c
	}
	return c
}

// dropOld removes windows that are too old to be reported.
func (l *Ledger) dropOld(newest int64) {
	for index := range l.windows {
		if index < newest-2*KeptWindows {
			delete(l.windows, index)
		}
	}
}

// Own returns this source's counts in a number of newest windows, KeptWindows at most.
func (l *Ledger) Own(count int) map[int64]map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[int64]map[string]int)
	newest := l.Index(l.Now())
	for index, sources := range l.windows {
		if own, ok := sources[l.Source]; ok && index > newest-int64(min(count, KeptWindows)) {
			out[index] = maps.Clone(own)
		}
	}
	return out
}

// Merge adds the counts of a source. If a count is already known, the larger one is
// kept. Windows far from the current one are ignored; it returns their number.
func (l *Ledger) Merge(source string, windows map[int64]map[string]int) (ignored int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.Index(l.Now())
	for index, from := range windows {
		if index < newest-2*KeptWindows || index > newest+KeptWindows {
			ignored++ // never reported, and it would drop the others
			continue
		}
		c := l.counts(index, source)
		for workspace, n := range from {
			c[workspace] = max(c[workspace], n)
		}
	}
	return ignored
}

// Sources returns the counts of a window by source.
func (l *Ledger) Sources(index int64) map[string]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]Counts, len(l.windows[index]))
	for source, c := range l.windows[index] {
		out[source] = maps.Clone(c)
	}
	return out
}

// Sum returns the counts of a window over all sources.
func (l *Ledger) Sum(index int64) Counts {
	out := make(Counts)
	for _, c := range l.Sources(index) {
		for workspace, n := range c {
			out[workspace] += n
		}
	}
	return out
}
