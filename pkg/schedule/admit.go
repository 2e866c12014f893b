package schedule

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/speed"
)

// lateWaitShare is the share of its latency objective that a request which can't be
// on time may wait at an endpoint, so that it doesn't make other requests late too.
const lateWaitShare = 0.5

// acceptable reports whether a request should be placed on a candidate. It should if
// the endpoint's speed is unknown, no other prompt is pending there, or the answer is
// expected to begin within the objective. It also should if it would be late even
// without waiting and the endpoint adds little to the delay.
func (r Request) acceptable(c candidate, est *speed.Estimate, now time.Time) bool {
	if !est.Known || r.Prompt == 0 || c.prefill.Ahead == 0 {
		return true
	}
	remaining := r.Target - now.Sub(r.Arrived)
	if est.WithMargin(c.start) <= remaining {
		return true
	}
	wait := est.QueueWait(c.prefill)
	if est.WithMargin(c.start-wait) <= remaining {
		return false
	}
	return wait <= time.Duration(lateWaitShare*float64(r.Target))
}
