package modelserver

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarsill/medlarsill/pkg/engine"
)

// keptCacheEvents is the number of recent cache events that are always kept.
const keptCacheEvents = 4096

// span is the unit of the prefix cache: the tokens of one message, or the
// generated tokens of an attempt.
type span struct {
	// Hash identifies the conversation up to the end of the span, or the attempt.
	Hash uint64 `json:"hash"`
	// Tokens is the length of the span.
	Tokens int `json:"tokens"`
}

// spans returns one span for each message of a conversation. The salt separates
// the cache entries of different workspaces.
func spans(salt, model string, messages []engine.Message) []span {
	h := xxhash.New()
	_, _ = h.WriteString(salt + "\x00" + model)
	out := make([]span, 0, len(messages))
	for i, m := range messages {
		_, _ = h.WriteString("\x00" + m.Role + "\x00" + m.Content)
		out = append(out, span{Hash: h.Sum64(), Tokens: CountTokens(messages[i : i+1])})
	}
	return out
}

func totalTokens(list []span) int {
	n := 0
	for _, s := range list {
		n += s.Tokens
	}
	return n
}

// cacheEntry is a cached span.
type cacheEntry struct {
	span
	// end is the number of tokens from the start of the conversation to the end of the span.
	end int
}

// cache is a prefix cache with a token budget and LRU eviction. A span is never
// evicted before the spans that follow it in a conversation, because each use
// of a conversation touches its spans from last to first.
type cache struct {
	mu     sync.Mutex
	budget int
	tokens int
	spans  map[uint64]*list.Element
	// lru lists the entries, most recently used first.
	lru    *list.List
	events []timedCacheEvent
	seq    uint64
}

// timedCacheEvent is a cache event with its time.
type timedCacheEvent struct {
	engine.CacheEvent
	at time.Time
}

func newCache(budget int) *cache {
	return &cache{budget: budget, spans: make(map[uint64]*list.Element), lru: list.New()}
}

// match returns the number of leading tokens of a conversation that are cached
// and marks their spans as used.
func (c *cache) match(conversation []span) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, tokens := 0, 0
	for _, s := range conversation {
		if _, ok := c.spans[s.Hash]; !ok {
			break
		}
		n++
		tokens += s.Tokens
	}
	c.touchLocked(conversation[:n])
	return tokens
}

// has reports whether a span is cached.
func (c *cache) has(hash uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.spans[hash]
	return ok
}

// put adds the spans of a conversation and evicts others if the budget is
// exceeded. A conversation larger than the budget is not added.
func (c *cache) put(conversation []span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if totalTokens(conversation) > c.budget {
		return
	}
	end := 0
	for _, s := range conversation {
		end += s.Tokens
		if _, ok := c.spans[s.Hash]; ok {
			continue
		}
		c.spans[s.Hash] = c.lru.PushFront(cacheEntry{span: s, end: end})
		c.tokens += s.Tokens
		c.recordEventLocked(engine.CacheEvent{Prefix: s.Hash, Tokens: end})
	}
	c.touchLocked(conversation)
	for c.tokens > c.budget {
		c.removeLocked(c.lru.Back())
	}
}

// drop removes a span from the cache.
func (c *cache) drop(hash uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.spans[hash]; ok {
		c.removeLocked(e)
	}
}

func (c *cache) touchLocked(conversation []span) {
	for i := len(conversation) - 1; i >= 0; i-- {
		if e, ok := c.spans[conversation[i].Hash]; ok {
			c.lru.MoveToFront(e)
		}
	}
}

func (c *cache) removeLocked(e *list.Element) {
	s := c.lru.Remove(e).(cacheEntry)
	delete(c.spans, s.Hash)
	c.tokens -= s.Tokens
	c.recordEventLocked(engine.CacheEvent{Prefix: s.Hash, Tokens: s.end, Evicted: true})
}

func (c *cache) recordEventLocked(e engine.CacheEvent) {
	c.seq++
	e.Seq = c.seq
	c.events = append(c.events, timedCacheEvent{CacheEvent: e, at: time.Now()})
	if len(c.events) > 2*keptCacheEvents {
		c.events = append([]timedCacheEvent(nil), c.events[keptCacheEvents:]...)
	}
}

// size returns the number of cached tokens.
func (c *cache) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens
}

// eventsSince returns the events after a sequence number that are at least lag
// old. It omits every gapEvery-th event; 0 omits none.
func (c *cache) eventsSince(after uint64, lag time.Duration, gapEvery uint64) []engine.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(-lag)
	out := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.Seq <= after || e.at.After(limit) {
			continue
		}
		if gapEvery > 0 && e.Seq%gapEvery == 0 {
			continue
		}
		out = append(out, e.CacheEvent)
	}
	return out
}
