package loadview

import (
	"math"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/engine"
)

// Limits and decay of the prefix index.
const (
	// maxHolders is the largest number of endpoints recorded for a prefix.
	maxHolders = 4
	// cacheShards is the number of shards of the index, each with its own lock.
	cacheShards = 256
	// maxPrefixesPerShard is the largest number of prefixes in a shard, which bounds
	// the memory of the index.
	maxPrefixesPerShard = 256
	// cacheHalfLife is the time in which the probability that an endpoint still has a
	// prefix cached is halved, unless an event confirms the prefix.
	cacheHalfLife = 5 * time.Minute
	// eventLossSurvival is the probability that a prefix is still cached after one lost
	// event, which may have been the prefix's eviction.
	eventLossSurvival = 0.97
	// minProbability is the probability below which a prefix is considered not cached.
	minProbability = 0.05
	// resyncGenerations is added to an endpoint's generation on Resync. It is large
	// enough to lower all earlier probabilities to below minProbability.
	resyncGenerations = 128
)

// eventLossExponent is the logarithm of eventLossSurvival.
var eventLossExponent = math.Log(eventLossSurvival)

// cacheIndex maps prefixes to the endpoints that probably have them cached.
type cacheIndex struct {
	shards [cacheShards]cacheShard
}

// cacheShard is one shard of a cacheIndex.
type cacheShard struct {
	mu       sync.RWMutex
	prefixes map[uint64]prefixHolders
}

// prefixHolders lists the holders of one prefix.
type prefixHolders struct {
	n    int
	list [maxHolders]holder
}

// holder is an endpoint that had a prefix cached at seenAt.
type holder struct {
	endpoint   *Endpoint
	tokens     int32
	generation uint32
	seenAt     time.Time
}

// Holding is an endpoint that probably has a prefix cached.
type Holding struct {
	Endpoint *Endpoint
	// Tokens is the length of the prefix in tokens.
	Tokens int
	// Probability is the probability that the endpoint still has the prefix cached.
	Probability float64
}

// Holdings is a list of N holdings in a fixed array, which avoids an allocation.
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

// Holders returns the endpoints that probably have a prefix cached.
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

// probability returns the probability that the endpoint still has the prefix cached.
// It decays with time and with each event lost since the prefix was seen.
func (h *holder) probability(now time.Time) float64 {
	lost := h.endpoint.generation.Load() - h.generation
	age := max(0, now.Sub(h.seenAt))
	return math.Exp(float64(lost)*eventLossExponent - math.Ln2*float64(age)/float64(cacheHalfLife))
}

// RecordCached records that an endpoint has a prefix cached now: an event reported
// it, or this entry has just placed a request with the prefix there.
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

// RecordEvicted records that an endpoint no longer has a prefix cached.
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

// evictAny removes an arbitrary prefix to make room for a new one.
func (s *cacheShard) evictAny() {
	for p := range s.prefixes {
		delete(s.prefixes, p)
		return
	}
}

// put replaces the holder with the same endpoint, appends n if there is room, or
// replaces the oldest holder.
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

// ApplyEvents applies cache events of an endpoint. Events may be late, repeated or
// lost. Each lost event lowers the probabilities of all prefixes recorded earlier
// for the endpoint, and NeedsResync returns true until Resync is called.
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

// advanceSeq records the sequence number of an event, counts the events lost before
// it, and reports whether the event is new.
func (e *Endpoint) advanceSeq(seq uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if seq <= e.cacheSeq {
		return false
	}
	if seq > e.cacheSeq+1 && e.cacheSeq > 0 {
		e.generation.Add(uint32(min(seq-e.cacheSeq-1, resyncGenerations)))
		e.needsResync = true
	}
	e.cacheSeq = seq
	return true
}

// CacheSeq returns the sequence number of the last applied event.
func (e *Endpoint) CacheSeq() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cacheSeq
}

// NeedsResync reports whether events were lost since the last Resync.
func (e *Endpoint) NeedsResync() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.needsResync
}

// Resync replaces what was recorded about an endpoint's cache by all events that the
// endpoint still retains, oldest first.
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
	e.needsResync = false
}
