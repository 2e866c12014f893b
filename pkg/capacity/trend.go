package capacity

import (
	"math"
	"time"
)

// trend estimates the level and slope of the demand by double exponential
// smoothing over irregular intervals. Source: C. C. Holt, 1957, in the form for
// irregular intervals by D. J. Wright, 1986.
type trend struct {
	level float64
	// slope is the change of the level per second.
	slope float64
	at    time.Time
}

// slopeSmoothing is the ratio of the smoothing times of slope and level. The slope is
// smoothed more because a forecast multiplies its noise.
const slopeSmoothing = 2

// observe updates the estimate with a value measured at a time.
func (t *trend) observe(value float64, at time.Time, smoothing time.Duration) {
	if t.at.IsZero() {
		t.level, t.at = value, at
		return
	}
	dt := at.Sub(t.at).Seconds()
	if dt <= 0 {
		return
	}
	decay := math.Exp(-dt / smoothing.Seconds())
	old := t.level
	t.level = decay*(t.level+t.slope*dt) + (1-decay)*value
	decay = math.Exp(-dt / (slopeSmoothing * smoothing.Seconds()))
	t.slope = decay*t.slope + (1-decay)*(t.level-old)/dt
	t.at = at
}

// forecast returns the highest level expected within a time from the last value.
func (t *trend) forecast(ahead time.Duration) float64 {
	return max(0, t.level, t.level+t.slope*ahead.Seconds())
}
