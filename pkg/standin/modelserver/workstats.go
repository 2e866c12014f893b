package modelserver

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Totals contains the total work of all engines of a platform.
type Totals struct {
	// Attempts counts the attempts that got a slot.
	Attempts int `json:"attempts"`
	// PrefillTokens counts the tokens computed in prefills.
	PrefillTokens int `json:"prefill_tokens"`
	// CachedTokens counts the prompt tokens found in a prefix cache.
	CachedTokens int `json:"cached_tokens"`
	// DecodedTokens counts the generated tokens.
	DecodedTokens int `json:"decoded_tokens"`
	// RecomputedTokens counts the tokens that an earlier attempt of the same
	// request had already computed.
	RecomputedTokens int `json:"recomputed_tokens"`
	// RepeatedTokens counts the computed prompt tokens that some engine had
	// already computed for any request.
	RepeatedTokens int `json:"repeated_tokens"`
	// TransferredTokens counts the tokens imported from another endpoint's KV cache.
	TransferredTokens int `json:"transferred_tokens"`
	// WorkSeconds is the minimum engine time for the work: the prefill time, and
	// the decoding time in a full batch.
	WorkSeconds float64 `json:"work_seconds"`
	// ServiceSeconds is that time by service.
	ServiceSeconds map[string]float64 `json:"service_seconds"`
	// AfterNotice counts requests that an endpoint received after its reclaim
	// notice; AfterNoticeMaxMS is the longest time after a notice.
	AfterNotice      int   `json:"after_notice"`
	AfterNoticeMaxMS int64 `json:"after_notice_max_ms"`
}

// Sub returns the work done since the earlier totals b. AfterNoticeMaxMS is not
// subtracted.
func (t Totals) Sub(b Totals) Totals {
	t.Attempts -= b.Attempts
	t.PrefillTokens -= b.PrefillTokens
	t.CachedTokens -= b.CachedTokens
	t.DecodedTokens -= b.DecodedTokens
	t.RecomputedTokens -= b.RecomputedTokens
	t.RepeatedTokens -= b.RepeatedTokens
	t.TransferredTokens -= b.TransferredTokens
	t.WorkSeconds -= b.WorkSeconds
	t.ServiceSeconds = maps.Clone(t.ServiceSeconds)
	for service, seconds := range b.ServiceSeconds {
		t.ServiceSeconds[service] -= seconds
	}
	t.AfterNotice -= b.AfterNotice
	return t
}

// WorkStats records the work of all engines of a platform, so that it can count
// tokens that several engines computed.
type WorkStats struct {
	mu sync.Mutex
	// computedTokens is the number of leading tokens that the attempts of a
	// request have computed, by request id.
	computedTokens map[string]int
	// dataCentres lists the data centres of the attempts by request id.
	dataCentres map[string][]string
	// computedPrefixes holds the hashes of all conversation prefixes that any
	// engine has computed.
	computedPrefixes map[uint64]struct{}
	totals           Totals
}

// NewWorkStats returns empty statistics.
func NewWorkStats() *WorkStats {
	return &WorkStats{computedTokens: make(map[string]int), dataCentres: make(map[string][]string), computedPrefixes: make(map[uint64]struct{}), totals: Totals{ServiceSeconds: make(map[string]float64)}}
}

// Totals returns the totals so far.
func (w *WorkStats) Totals() Totals {
	w.mu.Lock()
	defer w.mu.Unlock()
	totals := w.totals
	totals.ServiceSeconds = maps.Clone(w.totals.ServiceSeconds)
	return totals
}

// addWork adds engine time for the work of a service. The caller must hold mu.
func (w *WorkStats) addWork(service string, seconds float64) {
	w.totals.WorkSeconds += seconds
	w.totals.ServiceSeconds[service] += seconds
}

// requestOf returns the request id of an attempt id, which ends in "/" and a number.
func requestOf(attempt string) string {
	if i := strings.LastIndexByte(attempt, '/'); i >= 0 {
		return attempt[:i]
	}
	return attempt
}

// beginAttempt records an attempt in a data centre and returns the number of
// leading tokens that earlier attempts of the request computed.
func (w *WorkStats) beginAttempt(attempt, dataCentre string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := requestOf(attempt)
	w.totals.Attempts++
	w.dataCentres[id] = append(w.dataCentres[id], dataCentre)
	return w.computedTokens[id]
}

// AttemptDataCentres returns the data centres of the attempts by request id.
func (w *WorkStats) AttemptDataCentres() map[string][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string][]string, len(w.dataCentres))
	for id, list := range w.dataCentres {
		out[id] = slices.Clone(list)
	}
	return out
}

// recordProgress records that an attempt has computed the first tokens of a
// conversation, tokens in number.
func (w *WorkStats) recordProgress(attempt string, tokens int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := requestOf(attempt)
	w.computedTokens[id] = max(w.computedTokens[id], tokens)
}

// recordPrefill records a prefill of a service's engine: the spans of the prompt, the number of
// leading prompt tokens that were cached, the number of tokens that were
// computed (prompt and generated text), and the time it took.
func (w *WorkStats) recordPrefill(service string, list []span, cachedTokens, computed int, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.totals.PrefillTokens += computed
	w.totals.CachedTokens += cachedTokens
	w.addWork(service, took.Seconds())
	end := 0
	for _, s := range list {
		end += s.Tokens
		_, known := w.computedPrefixes[s.Hash]
		if known && end > cachedTokens {
			w.totals.RepeatedTokens += min(s.Tokens, end-cachedTokens)
		}
		w.computedPrefixes[s.Hash] = struct{}{}
	}
}

// recordDecoded records tokens that a service's engine generated, each taking the given engine time.
func (w *WorkStats) recordDecoded(service string, tokens int, perToken time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.totals.DecodedTokens += tokens
	w.addWork(service, float64(tokens)*perToken.Seconds())
}

func (w *WorkStats) recordRecomputed(tokens int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.totals.RecomputedTokens += tokens
}

func (w *WorkStats) recordTransferred(tokens int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.totals.TransferredTokens += tokens
}

func (w *WorkStats) recordAfterNotice(age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.totals.AfterNotice++
	w.totals.AfterNoticeMaxMS = max(w.totals.AfterNoticeMaxMS, age.Milliseconds())
}
