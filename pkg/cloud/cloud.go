// Package cloud defines the interface to the platform's cloud API and its lagging
// instance list. Subpackages implement it for a wire format.
package cloud

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors returned by implementations of Cloud, possibly wrapped.
var (
	// ErrRefused means that the platform currently has no capacity for the start.
	ErrRefused = eris.New("cloud: start refused")
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = eris.New("cloud: unavailable")
	// ErrUnknown means that a start or stop may or may not have taken effect.
	ErrUnknown = eris.New("cloud: outcome unknown")
)

// State is the state of an instance in the instance list.
type State string

// The states of an instance.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateLeaving  State = "leaving"
	StateGone     State = "gone"
)

// Instance is a cloud instance that runs one endpoint of a service.
type Instance struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	Class       string `json:"machine_class"`
	Reclaimable bool   `json:"reclaimable"`
	// Addr is the endpoint's IP address and port.
	Addr  string `json:"addr"`
	State State  `json:"state"`
	// StopAt is when a leaving instance is stopped; zero if unknown.
	StopAt time.Time `json:"stop_at,omitzero"`
	// Token is the idempotency token of the start that created the instance.
	Token string `json:"token,omitempty"`
}

// StartRequest is a request to start one instance.
type StartRequest struct {
	// Token makes the start idempotent: a repeated start with the same token returns the
	// instance of the first.
	Token       string `json:"token"`
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	Class       string `json:"machine_class"`
	Reclaimable bool   `json:"reclaimable"`
	// Models lists the models that the endpoint loads when it starts.
	Models []string `json:"models,omitempty"`
	// BatchLimit is the maximum number of requests that the endpoint runs concurrently.
	BatchLimit int `json:"batch_limit,omitempty"`
}

// Notice is a reclaim notice of an instance.
type Notice struct {
	// Seq is the sequence number. It grows by one with each notice.
	Seq      uint64 `json:"seq"`
	Instance string `json:"instance"`
	// GraceMS is the time in milliseconds from the notice until the instance is stopped.
	GraceMS int64 `json:"grace_ms"`
}

// Cloud is the platform's cloud API. All methods are safe for concurrent use.
type Cloud interface {
	// List returns the instances of the lagging instance list.
	List(ctx context.Context) ([]Instance, error)
	// Start starts an instance. It returns ErrRefused if the platform has no capacity.
	Start(ctx context.Context, r StartRequest) (Instance, error)
	// Stop stops an instance. The caller drains it first.
	Stop(ctx context.Context, id string) error
	// Notices waits for reclaim notices with a sequence number greater than after.
	Notices(ctx context.Context, after uint64) ([]Notice, error)
}
