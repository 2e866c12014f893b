package schedule

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/speed"
)

// lateShare is the part of its latency objective that a request which can't be on
// time may wait at an endpoint, so that it doesn't keep others from being on time.
const lateWaitShare = 0.5

// admits tells whether a request should go to an endpoint: its answer begins within
// the objective there, or the endpoint hardly makes it later than it is anyway.
func (r Request) acceptable(c candidate, est *speed.Estimate, now time.Time) bool {
	if !est.Known || r.Prompt == 0 || c.prefill.Ahead == 0 {
		return true
	}
	left := r.Target - now.Sub(r.Arrived)
	if est.WithMargin(c.start) <= left {
		return true
	}
	wait := est.QueueWait(c.prefill)
	if est.WithMargin(c.start-wait) <= left {
		return false
	}
	return wait <= time.Duration(lateWaitShare*float64(r.Target))
}
