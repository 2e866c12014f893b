// Package sleep provides a sleep that can be interrupted by a context.
package sleep

import (
	"context"
	"time"
)

// For waits for d or until ctx is done. It reports whether it waited for all of d.
// If d is not positive, it returns at once and reports whether ctx is still active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
