package capacity

import "time"

// Tuning holds the constants of the planner.
type Tuning struct {
	// ScaleUpUtilisation is the share of used batch slots above which an instance is
	// added, ScaleDownUtilisation the share below which one is removed.
	ScaleUpUtilisation   float64
	ScaleDownUtilisation float64
	// Horizon is how far ahead the demand is forecast. It covers the time from a
	// start until the instance is ready.
	Horizon time.Duration
	// Smoothing is the time constant for smoothing the level of the demand; the slope
	// uses slopeSmoothing times it.
	Smoothing time.Duration
	// ScaleDownDelay is how long a surplus must last before an instance is removed.
	ScaleDownDelay time.Duration
	// RefusalBackoff is the delay before a refused start is retried. It doubles with
	// each refusal, up to RefusalBackoffMax.
	RefusalBackoff    time.Duration
	RefusalBackoffMax time.Duration
	// EmptyListGrace is how long an empty instance list is ignored if no state is stored.
	EmptyListGrace time.Duration
	// ListGrace is how long the instance list may take to show a new instance.
	ListGrace time.Duration
	// MinDrain is the minimum duration of a drain. All entries have stopped sending
	// requests to the instance by then.
	MinDrain time.Duration
	// DrainRetention is how long a drain is kept after its instance was last listed.
	DrainRetention time.Duration
	// MaxModelLoads bounds the concurrent model loads from the weight store.
	MaxModelLoads int
	// OrderRetryInterval is the time after which an order without effect is sent again.
	OrderRetryInterval time.Duration
}

// DefaultTuning returns the constants for a platform at normal speed.
func DefaultTuning() Tuning {
	return Tuning{
		ScaleUpUtilisation: 0.8, ScaleDownUtilisation: 0.72,
		Horizon: 30 * time.Second, Smoothing: 20 * time.Second, ScaleDownDelay: 90 * time.Second,
		RefusalBackoff: 15 * time.Second, RefusalBackoffMax: 10 * time.Minute,
		EmptyListGrace: 5 * time.Second, ListGrace: 30 * time.Second, MinDrain: 4 * time.Second, DrainRetention: 10 * time.Minute,
		MaxModelLoads: 9, OrderRetryInterval: 30 * time.Second,
	}
}

// minScaledDrain bounds MinDrain from below in Faster.
const minScaledDrain = time.Second

// Faster returns the constants for a platform that runs faster by a factor.
// EmptyListGrace and ListGrace stay unchanged, as they depend on this system rather
// than on the platform; so does DrainRetention.
func (t Tuning) Faster(factor float64) Tuning {
	for _, d := range []*time.Duration{
		&t.Horizon, &t.Smoothing, &t.ScaleDownDelay, &t.RefusalBackoff, &t.RefusalBackoffMax, &t.OrderRetryInterval,
	} {
		*d = time.Duration(float64(*d) / factor)
	}
	t.MinDrain = max(time.Duration(float64(t.MinDrain)/factor), min(t.MinDrain, minScaledDrain))
	return t
}
