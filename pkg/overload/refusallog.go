package overload

import "time"

// maxRefusals bounds the number of refusals that are kept.
const maxRefusals = 64

// refusalLog holds the times of the newest refusals.
type refusalLog struct {
	times []time.Time
}

// add records a refusal.
func (l *refusalLog) add(now time.Time) {
	if len(l.times) < maxRefusals {
		l.times = append(l.times, now)
	}
}

// count returns the number of refusals in the last refusalWindow, and drops older ones.
func (l *refusalLog) count(now time.Time) int {
	dropped := 0
	for dropped < len(l.times) && now.Sub(l.times[dropped]) >= refusalWindow {
		dropped++
	}
	l.times = l.times[dropped:]
	return len(l.times)
}
