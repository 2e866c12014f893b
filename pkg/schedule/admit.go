package schedule

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/speed"
)

// lateWaitShare bounds the wait at an endpoint of a request that can't be on time, as a
// share of its latency objective, so that it doesn't make other requests late too.
const lateWaitShare = 0.5

// acceptable reports whether a request should be placed on a candidate. It should if
// the service's speed is unknown, the request has no prompt to read, no other prompt is
// pending on the endpoint, or the answer is expected to begin within the objective. It also
// should if the answer would be late even without waiting and the wait is short.
func (r Request) acceptable(c candidate, est *speed.Estimate, now time.Time) bool {
	if !est.Known || r.Prompt == 0 || r.Moved || c.prefill.Ahead == 0 {
		return true
	}
	remaining := r.Target - now.Sub(r.Arrived)
	if est.WithMargin(c.timeToStart) <= remaining {
		return true
	}
	wait := c.queueWait(est)
	if est.WithMargin(c.timeToStart-wait) <= remaining {
		return false
	}
	return wait <= time.Duration(lateWaitShare*float64(r.Target))
}
