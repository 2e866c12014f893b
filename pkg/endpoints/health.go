package endpoints

import "time"

// Times and weights of the passive health check.
const (
	// firstPause is how long an endpoint is avoided after a transport failure; it doubles with each further one.
	firstPause = 400 * time.Millisecond
	// maxPause bounds the pause, so that a recovered endpoint is used again soon.
	maxPause = 3 * time.Second
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.08
)

// health is the state of an endpoint derived from the outcomes of requests.
type health struct {
	// failureRate is the moving mean of the share of failed requests.
	failureRate float64
	// transportFailures counts consecutive transport failures; pausedUntil is the end of
	// the pause after the newest one.
	transportFailures int
	pausedUntil       time.Time
}

// RecordFailure records an answer that counts as a failure of the endpoint.
func (e *Endpoint) RecordFailure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health.failureRate += failureWeight * (1 - e.health.failureRate)
}

// RecordUnreachable records a transport failure: the endpoint could not be reached or
// stopped answering.
func (e *Endpoint) RecordUnreachable(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := &e.health
	h.failureRate += failureWeight * (1 - h.failureRate)
	h.transportFailures++
	h.pausedUntil = now.Add(h.pauseLength())
}

// pauseLength returns how long the endpoint is avoided after its newest transport failure.
func (h *health) pauseLength() time.Duration {
	return min(maxPause, firstPause<<min(h.transportFailures-1, 4))
}

// extendPause keeps further requests away from an unreachable endpoint while one request
// tests whether it has recovered.
func (h *health) extendPause(now time.Time) {
	if h.transportFailures > 0 {
		h.pausedUntil = now.Add(h.pauseLength())
	}
}

// RecordSuccess records an answer that doesn't count as a failure.
func (e *Endpoint) RecordSuccess() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health.failureRate -= failureWeight * e.health.failureRate
	e.health.transportFailures = 0
	e.health.pausedUntil = time.Time{}
}

// Paused reports whether the endpoint is avoided after transport failures.
func (e *Endpoint) Paused(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.health.pausedUntil)
}

// FailureRate returns the moving mean of the share of failed requests, from 0 to 1.
func (e *Endpoint) FailureRate() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.health.failureRate
}
