package objectstore

import "context"

// noWaitKey is the key of the context value that WithoutWaiting sets.
type noWaitKey struct{}

// WithoutWaiting returns a context for watches that return at once, also if nothing has changed.
func WithoutWaiting(ctx context.Context) context.Context {
	return context.WithValue(ctx, noWaitKey{}, true)
}

// MayWait reports whether a watch may wait for a change.
func MayWait(ctx context.Context) bool {
	noWait, _ := ctx.Value(noWaitKey{}).(bool)
	return !noWait
}
