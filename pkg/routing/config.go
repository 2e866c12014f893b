// Package routing holds the configuration of the gateway, which passes requests
// through to endpoints, and looks up the route and the workspace of a request.
// A Table is immutable; each new configuration is indexed in a new Table.
package routing

import (
	"maps"
	"slices"
	"time"
)

// Kind states whether requests of a route may run more than once.
type Kind int

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a stream of events with increasing ids.
	Stream
)

// String returns the kind's name for log lines.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Weight is one service's share of a route's requests.
type Weight struct {
	Service string
	Weight  int
}

// Route describes how requests to a host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the whole request; Target is its latency objective.
	Timeout time.Duration
	Target  time.Duration
	// Priority is that of the route's requests; 0 is the highest.
	Priority int
	// Split holds the services that share the route's requests, usually one.
	Split []Weight
	// MaxAttempts is the largest number of endpoints that a request is tried on.
	MaxAttempts int
	// NoAuth means that requests need no workspace key.
	NoAuth bool
	// Resumable means that another endpoint can continue a stream from an event id.
	Resumable bool
	// GapTarget is the longest time between two events that meets the latency objective.
	GapTarget time.Duration
}

// Repeatable reports whether a request that may already have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the inference engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the size of an engine's KV cache, in tokens.
	CacheTokens int
	// EventTokens is the number of tokens in each event of a stream.
	EventTokens int
	// TokenBytes is the size of a token in the KV cache, and LinkRate the rate in bytes a second
	// at which an engine sends its KV cache to others; 0 if unknown.
	TokenBytes, LinkRate float64
	// Moves and Backups report whether engines hand over running requests, and whether they keep
	// copies of their KV caches elsewhere.
	Moves, Backups bool
	// PinTime is how long engines keep a KV cache that is pinned, and HandleTime how long one that
	// is to be handed over; 0 if unknown.
	PinTime, HandleTime time.Duration
}

// CanFetch reports whether engines fetch KV caches from each other at a known speed.
func (e *Engine) CanFetch() bool { return e.TokenBytes > 0 && e.LinkRate > 0 }

// TransferTime returns the time in which a number of tokens is transferred. CanFetch must be true.
func (e *Engine) TransferTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * e.TokenBytes / e.LinkRate * float64(time.Second))
}

// Scaling bounds the capacity of a service in each data centre.
type Scaling struct {
	Min, Max int
	// Boot is the time from ordering an instance until it serves requests.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable instance as a fraction of the on-demand price.
	ReclaimablePrice float64
	// Prices holds the price of an on-demand instance in each data centre.
	Prices map[string]float64
}

// DataCentres returns the names of the data centres in which the service may run, sorted.
func (s *Scaling) DataCentres() []string { return slices.Sorted(maps.Keys(s.Prices)) }

// Service is a set of endpoints that run the same program.
type Service struct {
	Name string
	// MaxConns is the number of connections that an endpoint accepts in total.
	MaxConns int
	// Engine is set for services that run models, Scaling for autoscaled services.
	Engine  *Engine
	Scaling *Scaling
}

// Workspace is a group of callers that share API keys and a rate limit.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces the route's priority if set.
	Priority *int
	// Rate and Burst configure the token bucket of the rate limit, Rate being
	// per second; 0 means no limit.
	Rate, Burst float64
	// ByTokens means that a request costs its number of model tokens, or
	// PlainTokens if it has none.
	ByTokens    bool
	PlainTokens float64
}

// Limits bounds the size of requests, the time to read a header and the idle
// time of connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration that operators write.
type Config struct {
	// Version increases with each change.
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
