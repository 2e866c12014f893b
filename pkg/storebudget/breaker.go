// Package storebudget limits one process's calls to the platform's object store to a
// budget, counts them by role and operation, and spreads the calls of many processes
// after an outage.
package storebudget

import (
	"math/rand/v2"
	"time"
)

// Upper bounds of the random pause after failures. The bound doubles with each failure.
const (
	// minBackoff is the bound after the first failure.
	minBackoff = 200 * time.Millisecond
	// maxBackoff is the bound after many failures.
	maxBackoff = 5 * time.Second
)

// Breaker is a circuit breaker that decides whether a call is allowed. After a failure it
// is open for a random time up to maxPause, which doubles with each failure. Then it
// allows one probe to find out whether the store is available again. It isn't safe for
// concurrent use.
type Breaker struct {
	Rand *rand.Rand

	maxPause  time.Duration
	openUntil time.Time
	probing   bool
}

// Closed reports whether calls are allowed because the store answered the last call.
func (b *Breaker) Closed() bool { return b.maxPause == 0 }

// Allow reports whether a call is allowed now, and whether it is the probe. The caller
// must call Done after each allowed call.
func (b *Breaker) Allow(now time.Time) (ok, probe bool) {
	if b.Closed() {
		return true, false
	}
	if b.probing || now.Before(b.openUntil) {
		return false, false
	}
	b.probing = true
	return true, true
}

// Done records the outcome of a call: whether the store answered. When several concurrent
// calls fail, only the first failure counts.
func (b *Breaker) Done(now time.Time, probe, answered bool) {
	if probe {
		b.probing = false
	}
	switch {
	case answered:
		b.maxPause = 0
	case probe || b.Closed():
		b.maxPause = min(maxBackoff, max(minBackoff, 2*b.maxPause))
		b.openUntil = now.Add(time.Duration(b.Rand.Int64N(int64(b.maxPause))))
	}
}
