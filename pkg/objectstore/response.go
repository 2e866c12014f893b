package objectstore

import "context"

// responseKey is the context key of the function that WithOnResponse sets.
type responseKey struct{}

// WithOnResponse returns a context for one call. The store calls f when the response has
// begun, which may be long before all of it has been received.
func WithOnResponse(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, responseKey{}, f)
}

// ResponseBegan calls the function that WithOnResponse has set, if any.
func ResponseBegan(ctx context.Context) {
	if f, ok := ctx.Value(responseKey{}).(func()); ok {
		f()
	}
}
