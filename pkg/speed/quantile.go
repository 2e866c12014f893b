package speed

const (
	// disturbedQuantile is the quantile of the disturbed times that is followed, and
	// quantileStep the step in which it is, as a share of it.
	disturbedQuantile = 0.9
	quantileStep      = 0.05
	// disturbedSamples is the number of samples from which it is relied on, and
	// disturbedPublished that after which it is told to decisions.
	disturbedSamples         = 64
	disturbedPublishInterval = 16
)

// quantile follows the upper end of a series of values.
type quantile struct {
	value   float64
	samples int
}

// take moves the quantile towards a value.
func (q *quantile) update(x float64) {
	q.samples++
	if q.samples == 1 {
		q.value = x
		return
	}
	if x > q.value {
		q.value += quantileStep * disturbedQuantile * q.value
	} else {
		q.value -= quantileStep * (1 - disturbedQuantile) * q.value
	}
	q.value = clamp(q.value, minTime, maxTime)
}

// known returns the value once enough was seen, or 0.
func (q *quantile) estimate() float64 {
	if q.samples < disturbedSamples {
		return 0
	}
	return q.value
}
