package promptsplit

import "time"

const (
	// targetMemory is the time after which a request counts 1/e as much as a new one.
	targetMemory = 10 * time.Second
	// enterShare is the share of the requests that must have a target, or a shorter one,
	// before it counts as the shortest; leaveShare is the share below which it no longer
	// does. The gap keeps a rare target from alternating between both.
	enterShare, leaveShare = 0.05, 0.02
	// maxTargets bounds the number of targets that are remembered.
	maxTargets = 64
	// startTargetRatio and endTargetRatio are the shares of the mean target of long prompts that the shortest
	// target must not exceed for a split to start, and to go on. Where the
	// route with the long prompts has the shortest target itself, a split delays requests that are due first: without
	// one, the mean worth of three days of such a deployment rose from 0.470 to 0.490 (one play each).
	startTargetRatio, endTargetRatio = 0.75, 0.9
)

// targets finds the shortest latency target that a sufficient share of the recent
// requests has. It isn't safe for concurrent use.
type targets struct {
	recent  counts[time.Duration]
	current time.Duration
	long    meanTarget
}

// meanTarget is the mean target of requests, in which older ones count less.
type meanTarget struct {
	weight, seconds float64
	at              time.Time
}

func (m *meanTarget) add(target time.Duration, now time.Time) {
	factor := decayFactor(now.Sub(m.at), targetMemory)
	m.at = now
	m.weight = m.weight*factor + 1
	m.seconds = m.seconds*factor + target.Seconds()
}

// shortTargetTighter reports whether the shortest target is shorter than those of long prompts, within a
// bound for their ratio. It is true until this instance has got a long prompt.
func (t *targets) shortTargetTighter(bound float64) bool {
	return t.long.weight == 0 || t.current.Seconds()*t.long.weight <= bound*t.long.seconds
}

func newTargets() targets { return targets{recent: newCounts[time.Duration](targetMemory, maxTargets)} }

// add records a request with a target.
func (t *targets) add(target time.Duration, now time.Time) {
	if target <= 0 {
		return
	}
	t.recent.add(target, now)
	t.current = t.shortest()
}

// shortest returns the shortest target that a sufficient share of the requests has, or a
// shorter one.
func (t *targets) shortest() time.Duration {
	shortest := t.current
	if t.weightUpTo(shortest) < leaveShare*t.recent.total {
		shortest = 0
	}
	for target := range t.recent.weights {
		if (shortest == 0 || target < shortest) && t.weightUpTo(target) >= enterShare*t.recent.total {
			shortest = target
		}
	}
	return shortest
}

// weightUpTo returns the weight of the requests with at most the given target.
func (t *targets) weightUpTo(limit time.Duration) float64 {
	sum := 0.0
	for target, weight := range t.recent.weights {
		if target <= limit {
			sum += weight
		}
	}
	return sum
}
