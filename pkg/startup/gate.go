package startup

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// holdTime is the time after the start in which requests are held. A process that doesn't
	// know what it needs by then refuses them, so that callers try another one.
	holdTime = 600 * time.Millisecond
	// holdCheckInterval is the time between two checks whether held requests can be passed on.
	holdCheckInterval = 5 * time.Millisecond
)

// Gate holds the requests that arrive just after a process's start until it knows what it
// needs to answer them. After a start of all processes there is no other one that could.
type Gate struct {
	// Known reports whether the process knows what it needs.
	Known func() bool
	// WithArrival returns a context that tells when a held request arrived.
	WithArrival func(ctx context.Context, at time.Time) context.Context
	Now         func() time.Time
	// StartedAt is when the process started.
	StartedAt time.Time

	open atomic.Bool
}

// Handler holds requests and then passes them on, unless their caller has left.
func (g *Gate) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.isOpen() {
			next.ServeHTTP(w, r)
			return
		}
		arrived := g.Now()
		for !g.isOpen() {
			if !sleep.For(r.Context(), holdCheckInterval) {
				panic(http.ErrAbortHandler) // a return would answer with an empty success
			}
		}
		next.ServeHTTP(w, r.WithContext(g.WithArrival(r.Context(), arrived)))
	})
}

// isOpen reports whether requests are passed on. Once they are, none is held any more.
func (g *Gate) isOpen() bool {
	if g.open.Load() {
		return true
	}
	if !g.Known() && g.Now().Sub(g.StartedAt) < holdTime {
		return false
	}
	g.open.Store(true)
	return true
}
