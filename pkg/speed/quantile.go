package speed

const (
	// disturbedQuantile is the quantile of the token times during prefills that is
	// estimated. quantileStep scales the steps of the estimate, as a share of its value.
	disturbedQuantile = 0.9
	quantileStep      = 0.05
	// disturbedSamples is the number of samples from which the quantile is used, and
	// disturbedPublishInterval the number of samples after which it is published again.
	disturbedSamples         = 64
	disturbedPublishInterval = 16
)

// quantile estimates a high quantile of a series of values.
type quantile struct {
	value   float64
	samples int
}

// update moves the estimate towards a value.
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

// estimate returns the estimate, or 0 if there were too few samples.
func (q *quantile) estimate() float64 {
	if q.samples < disturbedSamples {
		return 0
	}
	return q.value
}
