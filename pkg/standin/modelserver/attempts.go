package modelserver

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarsill/medlarsill/pkg/engine"
)

// maxStoredAttempts is the number of stored attempts above which those whose KV cache
// was evicted are deleted.
const maxStoredAttempts = 4096

// attempt describes the KV cache of one attempt to answer a request.
type attempt struct {
	// spans is the prompt; generated is the number of generated tokens.
	spans     []span
	generated int
}

// attempts stores attempts by id, for resuming them and for exporting their KV cache.
type attempts struct {
	mu   sync.Mutex
	byID map[string]attempt
	// total is the number of attempts added so far.
	total int
}

// attemptKey returns the cache key of an attempt's generated tokens.
func attemptKey(id string) uint64 { return xxhash.Sum64String("attempt\x00" + id) }

// add stores an attempt and reserves cache for the tokens that it will generate.
func (a *attempts) add(c *cache, id string, at attempt, reserve int) {
	c.put(append(at.spans[:len(at.spans):len(at.spans)], span{Hash: attemptKey(id), Tokens: reserve}))
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID == nil {
		a.byID = make(map[string]attempt)
	}
	a.byID[id] = at
	a.total++
	if len(a.byID) > maxStoredAttempts {
		a.pruneLocked(c)
	}
}

func (a *attempts) pruneLocked(c *cache) {
	for id := range a.byID {
		if !c.has(attemptKey(id)) {
			delete(a.byID, id)
		}
	}
}

// setGenerated records the number of tokens that an attempt has generated.
func (a *attempts) setGenerated(id string, tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok := a.byID[id]; ok {
		at.generated = tokens
		a.byID[id] = at
	}
}

// remove deletes an attempt and its generated tokens from the cache.
func (a *attempts) remove(c *cache, id string) {
	c.drop(attemptKey(id))
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byID, id)
}

// get returns an attempt unless part of its KV cache was evicted.
func (a *attempts) get(c *cache, id string) (attempt, bool) {
	a.mu.Lock()
	at, ok := a.byID[id]
	a.mu.Unlock()
	if !ok || !c.has(attemptKey(id)) || c.match(at.spans) < totalTokens(at.spans) {
		return attempt{}, false
	}
	return at, true
}

// cachedTokens returns the number of leading tokens of the prompt and the
// already generated text that need no prefill.
func (s *Server) cachedTokens(r *engine.Request, conversation []span) int {
	n := s.cache.match(conversation)
	if r.Resume == "" || n < totalTokens(conversation) {
		return n
	}
	at, ok := s.attempts.get(s.cache, r.Resume)
	if !ok || at.spans[len(at.spans)-1].Hash != conversation[len(conversation)-1].Hash {
		return n
	}
	return n + min(at.generated, len(r.Generated))
}
