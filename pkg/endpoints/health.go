package endpoints

import "time"

// Times and weights of the passive health check.
const (
	// firstPause is how long an endpoint is avoided after it couldn't be reached; it doubles with each failure.
	firstPause = 400 * time.Millisecond
	// maxPause bounds the pause, so that an endpoint that is back is found.
	maxPause = 3 * time.Second
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.08
)

// health is what the outcomes of requests tell of an endpoint.
type health struct {
	// rate is the moving share of failed requests.
	failureRate float64
	// broken counts consecutive transport failures; until is the end of the pause.
	unreachable int
	pausedUntil time.Time
	// last is the time of the newest failure.
	lastFailure time.Time
}

// Failed records an answer that was a failure of the endpoint.
func (e *Endpoint) RecordFailure(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health.failureRate += failureWeight * (1 - e.health.failureRate)
	e.health.lastFailure = now
}

// Broken records that the endpoint couldn't be reached or fell silent.
func (e *Endpoint) RecordUnreachable(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := &e.health
	h.failureRate += failureWeight * (1 - h.failureRate)
	h.lastFailure = now
	h.unreachable++
	h.pausedUntil = now.Add(h.pauseLength())
}

// pause is how long the endpoint is avoided after its newest transport failure.
func (h *health) pauseLength() time.Duration {
	return min(maxPause, firstPause<<min(h.unreachable-1, 4))
}

// tried keeps others away from an endpoint while one request finds out whether it is back.
func (h *health) extendPause(now time.Time) {
	if h.unreachable > 0 {
		h.pausedUntil = now.Add(h.pauseLength())
	}
}

// Succeeded records an answer that wasn't a failure.
func (e *Endpoint) RecordSuccess() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health.failureRate -= failureWeight * e.health.failureRate
	e.health.unreachable = 0
	e.health.pausedUntil = time.Time{}
}

// Paused tells whether the endpoint is avoided after transport failures.
func (e *Endpoint) Paused(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.health.pausedUntil)
}

// FailureRate returns the moving share of failed requests, from 0 to 1.
func (e *Endpoint) FailureRate() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.health.failureRate
}
