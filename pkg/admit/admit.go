// Package admit decides whether a request may start now, must wait or is refused, so that
// workspaces share the endpoints fairly. An entry is an instance that receives the requests
// of callers.
package admit

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/config"
)

// ErrOverLimit means that the request was refused before any work started.
var ErrOverLimit = eris.New("admit: over the limit")

// Refusal is an ErrOverLimit with the time after which a retry makes sense.
type Refusal struct {
	RetryAfter time.Duration
	Reason     string
	// callerGone is true if the context of the request ended while it was queued.
	callerGone bool
}

// Error implements error.
func (r *Refusal) Error() string { return "admit: " + r.Reason }

// Unwrap returns ErrOverLimit.
func (r *Refusal) Unwrap() error { return ErrOverLimit }

// Request describes a request for admission.
type Request struct {
	Workspace *config.Workspace
	Service   *config.Service
	Deadline  time.Time
	// Priority orders waiting requests, from 0 (lowest) to 9: lower priorities wait behind
	// all higher ones.
	Priority int
	// Bytes is the memory that the request uses until it is released.
	Bytes int
}

// Admitter admits requests. The caller must call release exactly once when the request ends.
type Admitter interface {
	Admit(ctx context.Context, r Request) (release func(), err error)
}
