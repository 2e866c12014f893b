package objectstore

import "context"

// staleKey is the context key of AllowStale.
type staleKey struct{}

// AllowStale returns a context for reads that may return a state that is seconds old. The
// platform charges less for them.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// StaleAllowed reports whether a read may return a state that is seconds old.
func StaleAllowed(ctx context.Context) bool {
	allowed, _ := ctx.Value(staleKey{}).(bool)
	return allowed
}
