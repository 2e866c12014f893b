package loadview

import (
	"math"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/engine"
)

// Limits and decay of the prefix index.
const (
	// maxHolders is the number of endpoints remembered per prefix.
	maxHolders = 4
	// cacheShards is the number of independently locked parts of the index.
	cacheShards = 256
	// maxPrefixesPerShard bounds the memory of the index, in prefixes.
	maxPrefixesPerShard = 256
	// cacheHalfLife is the time after which an unconfirmed prefix is held with half the probability.
	cacheHalfLife = 5 * time.Minute
	// lossFactor is the probability that a prefix survives one lost event, which
	// may have been its eviction.
	eventLossSurvival = 0.97
	// minBelief is the probability below which a prefix counts as not held.
	minProbability = 0.05
	// resetGenerations is added when an endpoint starts its events afresh; no belief survives it.
	resyncGenerations = 128
)

// lossExponent is the logarithm of lossFactor.
var eventLossExponent = math.Log(eventLossSurvival)

// cacheIndex maps prefixes to the endpoints that are believed to hold them.
type cacheIndex struct {
	shards [cacheShards]cacheShard
}

type cacheShard struct {
	mu       sync.RWMutex
	prefixes map[uint64]prefixHolders
}

type prefixHolders struct {
	n    int
	list [maxHolders]holder
}

type holder struct {
	endpoint   *Endpoint
	tokens     int32
	generation uint32
	seenAt     time.Time
}

// Holding is an endpoint that is believed to hold a prefix.
type Holding struct {
	Endpoint *Endpoint
	// Tokens is the length of the prefix.
	Tokens int
	// Belief is the probability that the endpoint still holds it, 0 to 1.
	Probability float64
}

// Holdings is a list of up to four endpoints, kept without an allocation.
type Holdings struct {
	N    int
	List [maxHolders]Holding
}

func (c *cacheIndex) init() {
	for i := range c.shards {
		c.shards[i].prefixes = make(map[uint64]prefixHolders)
	}
}

func (c *cacheIndex) shard(prefix uint64) *cacheShard {
	return &c.shards[prefix%cacheShards]
}

// Holders returns the endpoints that are believed to hold a prefix.
func (v *View) Holders(prefix uint64, now time.Time) Holdings {
	s := v.cache.shard(prefix)
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out Holdings
	known := s.prefixes[prefix]
	for i := range known.n {
		h := &known.list[i]
		if p := h.probability(now); p >= minProbability {
			out.List[out.N] = Holding{Endpoint: h.endpoint, Tokens: int(h.tokens), Probability: p}
			out.N++
		}
	}
	return out
}

// belief decays with time and with each event that was lost since the prefix was seen.
func (h *holder) probability(now time.Time) float64 {
	lost := h.endpoint.generation.Load() - h.generation
	age := max(0, now.Sub(h.seenAt))
	return math.Exp(float64(lost)*eventLossExponent - math.Ln2*float64(age)/float64(cacheHalfLife))
}

// Cached records that an endpoint holds a prefix now: an event says so, or this
// entry has just sent the prompt there.
func (v *View) RecordCached(e *Endpoint, prefix uint64, tokens int) {
	s := v.cache.shard(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.prefixes[prefix]
	if !ok && len(s.prefixes) >= maxPrefixesPerShard {
		s.evictAny()
	}
	known.put(holder{endpoint: e, tokens: int32(tokens), generation: e.generation.Load(), seenAt: v.now()})
	s.prefixes[prefix] = known
}

// Evicted records that an endpoint no longer holds a prefix.
func (v *View) RecordEvicted(e *Endpoint, prefix uint64) {
	s := v.cache.shard(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.prefixes[prefix]
	if !ok {
		return
	}
	known.remove(e)
	if known.n == 0 {
		delete(s.prefixes, prefix)
		return
	}
	s.prefixes[prefix] = known
}

// dropAny makes room for one prefix.
func (s *cacheShard) evictAny() {
	for p := range s.prefixes {
		delete(s.prefixes, p)
		return
	}
}

// put replaces the endpoint's entry, takes a free place, or replaces the oldest.
func (h *prefixHolders) put(n holder) {
	oldest := 0
	for i := range h.n {
		if h.list[i].endpoint == n.endpoint {
			h.list[i] = n
			return
		}
		if h.list[i].seenAt.Before(h.list[oldest].seenAt) {
			oldest = i
		}
	}
	if h.n < maxHolders {
		h.list[h.n] = n
		h.n++
		return
	}
	h.list[oldest] = n
}

func (h *prefixHolders) remove(e *Endpoint) {
	for i := range h.n {
		if h.list[i].endpoint == e {
			h.n--
			h.list[i] = h.list[h.n]
			h.list[h.n] = holder{}
			return
		}
	}
}

// Events takes an endpoint's cache events, which may be late, repeated and
// incomplete. Each lost event lowers every older belief about the endpoint, and
// NeedsResync holds until Resync.
func (v *View) ApplyEvents(id string, events []engine.CacheEvent) {
	e := v.Endpoint(id)
	for _, ev := range events {
		if !e.advanceSeq(ev.Seq) {
			continue
		}
		v.applyEvent(e, ev)
	}
}

func (v *View) applyEvent(e *Endpoint, ev engine.CacheEvent) {
	if ev.Evicted {
		v.RecordEvicted(e, ev.Prefix)
		return
	}
	v.RecordCached(e, ev.Prefix, ev.Tokens)
}

// advance moves the sequence number on. It reports whether the event is new.
func (e *Endpoint) advanceSeq(seq uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if seq <= e.cacheSeq {
		return false
	}
	if seq > e.cacheSeq+1 && e.cacheSeq > 0 {
		e.generation.Add(uint32(min(seq-e.cacheSeq-1, resyncGenerations)))
		e.resync = true
	}
	e.cacheSeq = seq
	return true
}

// CacheSeq returns the sequence number of the last event that was taken.
func (e *Endpoint) CacheSeq() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cacheSeq
}

// NeedsResync tells whether events were lost since the last Resync.
func (e *Endpoint) NeedsResync() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resync
}

// Resync takes all events that the endpoint still has, from its oldest on, in
// place of what was believed before.
func (v *View) Resync(id string, events []engine.CacheEvent) {
	e := v.Endpoint(id)
	e.generation.Add(resyncGenerations)
	last := uint64(0)
	for _, ev := range events {
		v.applyEvent(e, ev)
		last = max(last, ev.Seq)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cacheSeq = last
	e.resync = false
}
