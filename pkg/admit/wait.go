package admit

import "time"

// expectedWait estimates the time until a request at a position in a flow's queue starts:
// all waiting requests of higher priorities start first, and within the priority the flow
// gets its share of the slots that become free.
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

// timeUntilEnded estimates the time until n requests have ended, if each runs for the mean
// time and its slot is reused at once: the running requests end in the order of their
// starts, then those that reused their slots.
func (s *scheduler) timeUntilEnded(now time.Time, n int) time.Duration {
	duration := time.Duration(s.meanDuration * float64(time.Second))
	slots := min(len(s.running), max(1, s.limit))
	if slots == 0 {
		return duration
	}
	n = max(1, n) + len(s.running) - slots
	rounds := (n - 1) / slots
	first := s.running[(n-1)%slots].started.Add(duration).Sub(now)
	return max(0, first) + time.Duration(rounds)*duration
}

// maxWait returns how long a request may wait: until its deadline less its expected run
// time, but at least half of the time to the deadline.
func (s *scheduler) maxWait(now, deadline time.Time) time.Duration {
	left := deadline.Sub(now)
	duration := time.Duration(s.meanDuration * float64(time.Second))
	return left - min(duration, left/2)
}

// refuseIfLate returns a refusal if a request can't start in time from its position in the
// queue, or nil.
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

// refuse returns a refusal whose RetryAfter is the time in which the queue is expected to
// drain so far that a request with the same time to its deadline is accepted.
func refuse(wait, maxWait time.Duration, reason string) *Refusal {
	return &Refusal{RetryAfter: max(minRetryAfter, wait-maxWait), Reason: reason}
}
