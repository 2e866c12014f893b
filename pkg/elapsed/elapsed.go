// Package elapsed measures elapsed time such that it is never underestimated, even
// if the process or its machine was suspended.
package elapsed

import "time"

// Between returns the time from then to now, two values of time.Now in this
// process: the larger of the differences by the monotonic clock and by the wall
// clock. The monotonic clock stops while the machine is suspended, and the wall
// clock may be set back. If the wall clock is set forward, the result is too
// large, which makes leases and confirmations expire early but never late.
func Between(then, now time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
