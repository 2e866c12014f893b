package schedule

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/speed"
)

// lateShare is the part of its latency objective that a request which can't be on
// time may wait at an endpoint, so that it doesn't keep others from being on time.
const lateShare = 0.5

// admits tells whether a request should go to an endpoint: its answer begins within
// the objective there, or the endpoint hardly makes it later than it is anyway.
func (d Request) admits(c candidate, known *speed.Estimate, now time.Time) bool {
	if !known.Known || d.Prompt == 0 || c.reading.Ahead == 0 {
		return true
	}
	left := d.Target - now.Sub(d.Arrived)
	if known.Surely(c.start) <= left {
		return true
	}
	wait := known.Wait(c.reading)
	if known.Surely(c.start-wait) <= left {
		return false
	}
	return wait <= time.Duration(lateShare*float64(d.Target))
}
