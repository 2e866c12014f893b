package capacity

import "time"

// Tuning holds the constants of the planner.
type Tuning struct {
	// UpUse is the part of all batch slots in use above which an instance is
	// added, DownUse the part below which one is removed.
	ScaleUpUtilisation   float64
	ScaleDownUtilisation float64
	// Horizon is how far ahead the demand is forecast: the time from a start
	// to a ready instance.
	Horizon time.Duration
	// Smoothing is the time over which the level and slope of the demand are smoothed.
	Smoothing time.Duration
	// DownAfter is how long an instance must have been too many before one is removed.
	ScaleDownDelay time.Duration
	// RefusalBackoff is the pause after a refused start; it doubles up to RefusalBackoffMax.
	RefusalBackoff    time.Duration
	RefusalBackoffMax time.Duration
	// LearnTime is how long an empty instance list is not believed if no state is stored.
	EmptyListGrace time.Duration
	// ListGrace is how long the instance list may take to show an instance.
	ListGrace time.Duration
	// DrainMin is the shortest drain: entries have stopped sending work after it.
	MinDrain time.Duration
	// DrainMemory is how long a drain is remembered after its instance was last listed.
	DrainRetention time.Duration
	// LoadsInFlight bounds the model loads that wait for the weight store.
	MaxModelLoads int
	// OrderRetry is the time after which an order without effect is repeated.
	OrderRetryInterval time.Duration
}

// DefaultTuning returns the constants for a platform at its own speed.
func DefaultTuning() Tuning {
	return Tuning{
		ScaleUpUtilisation: 0.8, ScaleDownUtilisation: 0.72,
		Horizon: 30 * time.Second, Smoothing: 20 * time.Second, ScaleDownDelay: 90 * time.Second,
		RefusalBackoff: 15 * time.Second, RefusalBackoffMax: 10 * time.Minute,
		EmptyListGrace: 5 * time.Second, ListGrace: 30 * time.Second, MinDrain: 4 * time.Second, DrainRetention: 10 * time.Minute,
		MaxModelLoads: 9, OrderRetryInterval: 30 * time.Second,
	}
}

// leastDrain is the shortest drain at any pace.
const minScaledDrain = time.Second

// Faster returns the constants for a platform whose times are divided by a
// factor. LearnTime and ListGrace, which depend on the system itself, stay.
func (t Tuning) Faster(factor float64) Tuning {
	for _, d := range []*time.Duration{
		&t.Horizon, &t.Smoothing, &t.ScaleDownDelay, &t.RefusalBackoff, &t.RefusalBackoffMax, &t.OrderRetryInterval,
	} {
		*d = time.Duration(float64(*d) / factor)
	}
	t.MinDrain = max(time.Duration(float64(t.MinDrain)/factor), min(t.MinDrain, minScaledDrain))
	return t
}
