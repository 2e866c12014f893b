// Package routing holds the configuration of the pass-through path and finds
// the route and the workspace of a request in it. A Table is immutable: a new
// configuration makes a new one.
package routing

import (
	"maps"
	"slices"
	"time"
)

// Kind tells what may be repeated on a route.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a series of events with growing ids.
	Stream
)

// String returns the kind's name as logs show it.
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

// Route tells where requests of a host and path prefix go, and within which times.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the whole request; Target is the latency objective.
	Timeout time.Duration
	Target  time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Split holds the services with their shares; a plain route has one.
	Split []Weight
	// MaxAttempts is the number of endpoints that one request may run on.
	MaxAttempts int
	// Open routes need no key.
	NoAuth bool
	// Resumable streams may continue on another endpoint after an event id.
	Resumable bool
	// PauseTarget is the longest pause between events that is still on time.
	GapTarget time.Duration
}

// Repeatable tells whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the size of an engine's KV cache.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// Scaling bounds the capacity of a service in each data centre.
type Scaling struct {
	Min, Max int
	// Boot is the time from an order until a new instance serves.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable instance as a share of an on-demand one's.
	ReclaimablePrice float64
	// Prices holds the price of an on-demand instance in each data centre.
	Prices map[string]float64
}

// DataCentres returns the data centres in which the service may run, in order.
func (s *Scaling) DataCentres() []string { return slices.Sorted(maps.Keys(s.Prices)) }

// Service is a set of endpoints that run the same program.
type Service struct {
	Name string
	// MaxConns is the number of connections that an endpoint accepts from all callers.
	MaxConns int
	// Engine is set for model engines, Scaling for services whose capacity is ordered.
	Engine  *Engine
	Scaling *Scaling
}

// Workspace is a group of callers that shares keys and an allowance.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces the route's priority if set.
	Priority *int
	// Rate is the allowance per second and Burst what may be saved up; 0 means no limit.
	Rate, Burst float64
	// ByTokens counts requests by their tokens; PlainTokens is the cost of one without any.
	ByTokens    bool
	PlainTokens float64
}

// Limits bounds what a caller may send, and how long it may take or stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	// Version grows with each change.
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
