package gateway

import (
	"context"
	"time"
)

// arrivalKey is the context key of the time at which a request arrived.
type arrivalKey struct{}

// WithArrival returns a context for a request that arrived before it is passed to the Gateway.
func WithArrival(ctx context.Context, at time.Time) context.Context {
	return context.WithValue(ctx, arrivalKey{}, at)
}

// arrival returns when the request with a context arrived: now, unless the context says otherwise.
func (g *Gateway) arrival(ctx context.Context) time.Time {
	if at, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		return at
	}
	return g.Now()
}
