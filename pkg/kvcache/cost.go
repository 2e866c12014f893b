package kvcache

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/routing"
)

const (
	// setupTime is the time until a transfer begins, and remoteSetupTime that between data
	// centres. Both are assumed: engines don't tell when a transfer begins.
	setupTime       = time.Millisecond
	remoteSetupTime = 5 * time.Millisecond
	// minGain is the least time that a fetch has to save compared with reading.
	minGain = 2 * time.Millisecond
	// LateMargin is how much later than expected without a fetch an answer may begin before its
	// source counts as late.
	LateMargin = 50 * time.Millisecond
)

// ReadSpeed is what is learned of the time in which an endpoint reads a prompt.
type ReadSpeed struct {
	// PerToken is the time to read one token.
	PerToken time.Duration
	// MissRate is the share of the tokens of a prefix that an endpoint lacks which is expected to
	// hold it.
	MissRate float64
}

// Result is how the prefix of a request gets to its endpoint.
type Result int

// The results.
const (
	// None means that fetching wasn't considered.
	None Result = iota
	// Held means that the endpoint probably holds the prefix.
	Held
	// Fetched means that the endpoint fetches it from another one.
	Fetched
	// Read means that the endpoint reads it although there is a source.
	Read
	// NoSource means that the endpoint reads it as no source is known.
	NoSource
)

// Fetch is the transfer of a prefix from one endpoint to another.
type Fetch struct {
	// Source is the endpoint to fetch from; nil if nothing is fetched.
	Source *endpoints.Endpoint
	// Tokens is the number of tokens that are expected to be fetched. It is 0 if the destination
	// probably holds the prefix itself and only fetches what it lacks.
	Tokens int
	// Expected is the expected time until the tokens are at the destination. It doesn't include the
	// time to read those that the source lacks.
	Expected time.Duration
	// Limit is the time after the start of the request after which its answer counts as late.
	Limit time.Duration
	// transfer is the time for which the links are occupied.
	transfer time.Duration
}

// Plan is how the prefix of a request gets to an endpoint.
type Plan struct {
	Result Result
	// Held is the number of tokens that the endpoint probably holds.
	Held  int
	Fetch Fetch
}

// holder is an endpoint that probably holds a part of a prefix.
type holder struct {
	endpoint *endpoints.Endpoint
	// tokens is the number of tokens that it holds.
	tokens int
	// assumed is true if this instance has seen no answer of it to a request with the prefix.
	assumed bool
	// source is true if others may fetch from it, and busy how long its link is occupied.
	source bool
	busy   time.Duration
}

// maxHolders is the number of endpoints that are considered as holders of a prefix.
const maxHolders = 8

// Holders holds the endpoints that probably hold the prefix of a request. The zero value is that
// of a request for which fetching isn't considered.
type Holders struct {
	engine *routing.Engine
	// suspended is true if none of them is used as a source.
	suspended bool
	list      [maxHolders]holder
	count     int
}

// Enabled reports whether fetching is considered.
func (h *Holders) Enabled() bool { return h.engine != nil }

// find returns the entry of an endpoint, or nil.
func (h *Holders) find(e *endpoints.Endpoint) *holder {
	for i := range h.list[:h.count] {
		if h.list[i].endpoint == e {
			return &h.list[i]
		}
	}
	return nil
}

// add adds an endpoint, unless it is listed already or the list is full.
func (h *Holders) add(o holder) {
	if h.count < maxHolders && h.find(o.endpoint) == nil {
		o.source = o.source && !h.suspended
		h.list[h.count] = o
		h.count++
	}
}

// Plan decides how the prefix gets to an endpoint: the faster of fetching and reading.
func (h *Holders) Plan(e *endpoints.Endpoint, speed ReadSpeed) Plan {
	p := Plan{Result: NoSource}
	if own := h.find(e); own != nil {
		p.Result, p.Held = Held, own.tokens
		if own.assumed {
			p.Fetch.Source = h.spareSource(e, speed)
			return p
		}
	}
	gain := minGain
	for i := range h.list[:h.count] {
		o := &h.list[i]
		if !o.serves(e) || o.tokens <= p.Held {
			continue
		}
		if p.Result == NoSource {
			p.Result = Read
		}
		f, saved := h.fetch(o, e, o.tokens-p.Held, speed)
		if saved >= gain {
			p.Result, p.Fetch, gain = Fetched, f, saved
		}
	}
	return p
}

// serves reports whether an endpoint may fetch from the holder. An endpoint of another build may
// have another format of the cache.
func (o *holder) serves(e *endpoints.Endpoint) bool {
	return o.source && o.endpoint != e && o.endpoint.Build() == e.Build()
}

// spareSource returns the source from which an endpoint that is only assumed to hold the prefix
// fetches what it lacks; nil if there is none that would save time. It costs no time if the
// endpoint holds the prefix.
func (h *Holders) spareSource(e *endpoints.Endpoint, speed ReadSpeed) *endpoints.Endpoint {
	var best *endpoints.Endpoint
	gain := minGain
	for i := range h.list[:h.count] {
		o := &h.list[i]
		if !o.serves(e) {
			continue
		}
		if _, saved := h.fetch(o, e, o.tokens, speed); saved >= gain {
			best, gain = o.endpoint, saved
		}
	}
	return best
}

// fetch returns the fetch of a number of tokens from a holder, and the time that it saves compared
// with reading them.
func (h *Holders) fetch(o *holder, e *endpoints.Endpoint, tokens int, speed ReadSpeed) (Fetch, time.Duration) {
	read := time.Duration(tokens) * speed.PerToken
	missRate := min(max(speed.MissRate, 0), 1)
	held := time.Duration((1 - missRate) * float64(read))
	transfer := time.Duration((1 - missRate) * float64(h.engine.TransferTime(tokens)))
	setup := setupTime
	if o.endpoint.DataCentre != e.DataCentre {
		setup = remoteSetupTime
	}
	expected := o.busy + setup + transfer
	return Fetch{Source: o.endpoint, Tokens: tokens, Expected: expected, transfer: transfer}, held - expected
}
