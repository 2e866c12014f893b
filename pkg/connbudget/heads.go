package connbudget

import (
	"cmp"
	"slices"
	"sync"
)

const (
	// freeBytes is the memory of a head up to which it isn't counted: that of an ordinary head,
	// of 1 KiB in 20 lines, and some more. The number of connections bounds these.
	freeBytes = 8 << 10
	// stepBytes is the step in which the memory of a head grows.
	stepBytes = 8 << 10
	// byteFactor and lineBytes give the memory of a parsed head: its bytes are kept as strings,
	// and each line has an entry. 600 heads of 9,500 distinct short lines took 0.9 MB each.
	byteFactor = 2
	lineBytes  = 160
)

// HeadBytes returns the memory that counts for a head, received so far or parsed: 0 for an
// ordinary one.
func HeadBytes(bytes, lines int) int64 {
	size := byteFactor*int64(bytes) + lineBytes*int64(lines)
	if size <= freeBytes {
		return 0
	}
	return (size + stepBytes - 1) / stepBytes * stepBytes
}

// Holder is a connection that holds a head.
type Holder interface {
	// Source returns where the connection comes from.
	Source() Source
	// Evict closes the connection, and returns false if its request has begun to run.
	Evict() bool
}

// Heads shares memory between the heads of callers' requests, until these have ended. It is safe
// for concurrent use. Ordinary heads don't reach it, so that its lock isn't contended.
type Heads struct {
	limit int64

	mu   sync.Mutex
	used int64
	held map[Holder]int64
}

// NewHeads returns a budget in bytes.
func NewHeads(limit int64) *Heads { return &Heads{limit: limit, held: make(map[Holder]int64)} }

// Hold sets the memory that a connection's head takes. If there isn't enough, it evicts others,
// those of the source that holds most first and there the largest. It returns false if the
// connection's own head has to give way; then it holds nothing. It mustn't be called from Evict.
func (h *Heads) Hold(c Holder, size int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set(c, size)
	if h.used <= h.limit {
		return true
	}
	for _, other := range h.largestFirst() {
		if other == c {
			break
		}
		if other.Evict() {
			h.set(other, 0)
		}
		if h.used <= h.limit {
			return true
		}
	}
	h.set(c, 0)
	return false
}

// Release ends the hold of a connection, if it has any.
func (h *Heads) Release(c Holder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set(c, 0)
}

// Used returns the memory that is held, in bytes.
func (h *Heads) Used() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.used
}

func (h *Heads) set(c Holder, size int64) {
	h.used += size - h.held[c]
	if size == 0 {
		delete(h.held, c)
		return
	}
	h.held[c] = size
}

// largestFirst returns the holders in the order in which they are evicted.
func (h *Heads) largestFirst() []Holder {
	totals := make(map[Source]int64)
	holders := make([]Holder, 0, len(h.held))
	for c, size := range h.held {
		totals[c.Source()] += size
		holders = append(holders, c)
	}
	slices.SortFunc(holders, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(totals[b.Source()], totals[a.Source()]), cmp.Compare(h.held[b], h.held[a]))
	})
	return holders
}
