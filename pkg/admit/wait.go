package admit

import "time"

// waitAt estimates the time until a request at a position of a flow's queue
// starts: everything of a higher priority that waits goes first, and within the
// priority the flow gets its share of the places that become free.
func (s *scheduler) expectedWait(now time.Time, f *flow, position int) time.Duration {
	higher, tierShare, tierWeight := 0, 0.0, 0.0
	for _, g := range s.order {
		switch {
		case g.key.priority > f.key.priority:
			higher += len(g.waiting)
		case g.key.priority == f.key.priority:
			tierShare += g.share
			tierWeight += g.weight
		}
	}
	ahead := float64(position+1) * tierWeight / f.weight
	if f.share > 0 {
		ahead = float64(position+1) * tierShare / f.share
	}
	return s.timeUntilEnded(now, higher+roundUp(ahead))
}

// untilEnd estimates the time until n requests have ended, if each runs for the
// mean time and its place is taken at once: the running requests end in the
// order of their starts, then those that took their places.
func (s *scheduler) timeUntilEnded(now time.Time, n int) time.Duration {
	duration := time.Duration(s.meanDuration * float64(time.Second))
	places := min(len(s.running), max(1, s.limit))
	if places == 0 {
		return duration
	}
	n = max(1, n) + len(s.running) - places
	rounds := (n - 1) / places
	first := s.running[(n-1)%places].started.Add(duration).Sub(now)
	return max(0, first) + time.Duration(rounds)*duration
}

// slack is how long a request may wait: until its deadline less the time that
// it is expected to run, but at least half of the time that is left.
func (s *scheduler) maxWait(now, deadline time.Time) time.Duration {
	left := deadline.Sub(now)
	duration := time.Duration(s.meanDuration * float64(time.Second))
	return left - min(duration, left/2)
}

// late refuses a request that can't start in time from its position in the queue.
func (s *scheduler) refuseIfLate(now time.Time, t *ticket, position int) *Refusal {
	if !now.Before(t.deadline) {
		return refuse(s.expectedWait(now, t.flow, position), 0, "the deadline has passed")
	}
	wait, maxWait := s.expectedWait(now, t.flow, position), s.maxWait(now, t.deadline)
	if wait <= maxWait {
		return nil
	}
	return refuse(wait, maxWait, "the request can't start before its deadline")
}

// refuse tells a caller to come back when the queue has drained so far that a
// request with the same time to its deadline would be taken.
func refuse(wait, maxWait time.Duration, reason string) *Refusal {
	return &Refusal{RetryAfter: max(minRetryAfter, wait-maxWait), Reason: reason}
}
