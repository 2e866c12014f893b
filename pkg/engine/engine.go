// Package engine defines the interface to model engines: token streams that can
// be resumed and cancelled, load reports, cache events, KV cache transfer and
// fenced orders. Subpackages implement it for a wire format.
package engine

import (
	"context"

	"github.com/rotisserie/eris"
)

// Errors returned by every Engine, possibly wrapped.
var (
	// ErrNotRun means that the engine did not run any part of the request: the
	// connection failed before anything was sent, or the engine reported it.
	ErrNotRun = eris.New("engine: request was not run")
	// ErrBroken means that the stream ended before its final token, or that a
	// call failed after it may have reached the engine.
	ErrBroken = eris.New("engine: stream broken")
	// ErrRejected means that the engine rejected the request as invalid.
	ErrRejected = eris.New("engine: request rejected")
	// ErrFenced means that the engine rejected an order with a stale fencing token.
	ErrFenced = eris.New("engine: stale fencing token")
)

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a request for a token stream.
type Request struct {
	// ID identifies the attempt; it is unique.
	ID       string    `json:"id"`
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	// MaxTokens limits the completion. The tokens in Generated count towards it.
	MaxTokens int `json:"max_tokens"`
	// Priority is the priority in the engine's scheduler, 0 (lowest) to 9.
	Priority int `json:"priority"`
	// Seed makes sampling deterministic if the engine supports it.
	Seed uint64 `json:"seed"`
	// CacheSalt keeps the prefix caches of workspaces separate. It is the first
	// part of the input to CacheEvent.Prefix.
	CacheSalt string `json:"cache_salt,omitempty"`
	// Generated holds the tokens that earlier attempts delivered. The stream
	// continues after them.
	Generated []string `json:"generated,omitempty"`
	// Resume is the ID of an earlier attempt on the same engine to continue from.
	Resume string `json:"resume,omitempty"`
}

// Finish is the reason why a stream ended.
type Finish string

// The finish reasons. FinishNone means that the stream has not ended.
const (
	FinishNone   Finish = ""
	FinishStop   Finish = "stop"
	FinishLength Finish = "length"
)

// Token is one token of a stream.
type Token struct {
	// Index is the position in the whole completion, from 0.
	Index int    `json:"index"`
	Text  string `json:"text"`
	// Finish is set on the last token only.
	Finish Finish `json:"finish,omitempty"`
	// Usage is set on the last token only.
	Usage *Usage `json:"usage,omitempty"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	// CachedTokens is the number of tokens, of the prompt and of Generated,
	// that were found in the prefix cache.
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// RecomputedTokens is the number of tokens that were computed again after an
	// earlier attempt had computed them.
	RecomputedTokens int `json:"recomputed_tokens"`
}

// Load is an engine's load report. It may be out of date.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// BatchLimit is the maximum number of requests that run concurrently.
	BatchLimit int `json:"batch_limit"`
	// CacheTokens and CacheBudget are the used and total size of the prefix cache, in tokens.
	CacheTokens int `json:"cache_tokens"`
	CacheBudget int `json:"cache_budget"`
	// Leaving is true once the endpoint is draining or about to stop.
	Leaving bool `json:"leaving"`
	// Models lists the loaded models; empty if the endpoint does not report them.
	Models []string `json:"models,omitempty"`
}

// CacheEvent reports that a prefix was added to or evicted from an engine's cache.
type CacheEvent struct {
	// Seq is the sequence number. A gap means that events were lost.
	Seq uint64 `json:"seq"`
	// Prefix is the XXH64 hash of salt, a zero byte and the model, then of a
	// zero byte, the role, a zero byte and the content of each message.
	Prefix uint64 `json:"prefix"`
	// Tokens is the length of the prefix, in tokens.
	Tokens  int  `json:"tokens"`
	Evicted bool `json:"evicted,omitempty"`
}

// OrderKind is the type of an order.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
	OrderDrain       OrderKind = "drain"
)

// Order sets a desired state of an endpoint.
type Order struct {
	Kind OrderKind `json:"kind"`
	Name string    `json:"name"`
	// Fence is the fencing token of the lease under which the order is sent.
	Fence uint64 `json:"fence"`
}

// Stream returns the tokens of one attempt in order.
type Stream interface {
	// Next returns the next token, io.EOF after the final one, or ErrBroken.
	Next() (Token, error)
	// Close cancels the attempt if it is still running.
	Close() error
}

// Engine is a client of model endpoints, which are given by address. All methods
// are safe for concurrent use.
type Engine interface {
	// Generate starts an attempt. ErrNotRun guarantees that none of it ran.
	Generate(ctx context.Context, addr string, r Request) (Stream, error)
	// Probe checks over a new connection that the endpoint responds.
	Probe(ctx context.Context, addr string) error
	// Load returns the endpoint's load report.
	Load(ctx context.Context, addr string) (Load, error)
	// CacheEvents returns the events with a sequence number greater than after.
	CacheEvents(ctx context.Context, addr string, after uint64) ([]CacheEvent, error)
	// ExportKV copies the KV cache of an attempt from one endpoint to another.
	ExportKV(ctx context.Context, from, to, attempt string) error
	// Order sends an order. It returns ErrFenced if the order's fencing token is stale.
	Order(ctx context.Context, addr string, o Order) error
}
