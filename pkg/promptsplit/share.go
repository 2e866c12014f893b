package promptsplit

import "math"

const (
	// The split starts once long prompts need from startShare to 1-startRest of the work,
	// and ends when they need less than endShare or more than 1-endRest. With 0.05 and 0.03 of the
	// rest the split started and ended all the time in simulations with a rest of 0.04.
	startShare, endShare = 0.1, 0.07
	startRest, endRest   = 0.03, 0.01
	// minRequests is the number of recent requests from which the share is used.
	minRequests = 30
	// slack is the difference between the share in force and the measured one that is
	// tolerated. Instances that measure shares within it keep theirs, so that endpoints
	// don't change sides back and forth.
	slack = 0.03
	// burstSlack is the same for the share of the newest work, which varies more.
	burstSlack = 0.05
	// slackOfPart bounds both as a share of the smaller part. In simulations with parts of 22 and 2
	// endpoints and a slack of 0.03, as many short prompts were late as without a split, and a
	// quarter as many with this bound.
	slackOfPart = 0.2
	// roundUpFrom is the fraction of an endpoint from which the smaller part is rounded up: the
	// fewer endpoints, the more of their time must be free. In simulations with parts of 22 and 2
	// endpoints (seed 3) 0.021 of the short prompts were late with 0.5, and none with 0.35. With
	// 0.25 up to 0.004 of the long prompts were late with 0.96 of the work, and none without a split.
	roundUpFrom = 0.35
	// maxCrowding bounds the work per endpoint of the kind with more work, as a multiple of that
	// without a split. In simulations with 4 endpoints, of which 1 was for short prompts with 0.13
	// of the work (1.16), late long prompts rose from 0.015 to 0.083.
	maxCrowding = 1.08
)

// share is the share of the endpoints for long prompts. It follows the measured share of
// the work with hysteresis.
type share struct {
	active bool
	value  float64
}

// update follows newly measured shares of the work.
func (s *share) update(m *mix) {
	measured := m.recent.longShare()
	if !s.active {
		if m.recent.requests < minRequests || measured < startShare || measured > 1-startRest {
			return
		}
		s.active, s.value = true, measured
		return
	}
	if measured < endShare || measured > 1-endRest {
		*s = share{}
		return
	}
	s.follow(measured, slack)
	if m.newest.requests >= minRequests {
		s.follow(m.newest.longShare(), burstSlack)
	}
}

// follow changes the share as far as it differs from a measured one by more than is tolerated.
func (s *share) follow(measured, tolerated float64) {
	tolerated = min(tolerated, slackOfPart*min(measured, 1-measured))
	s.value = math.Max(measured-tolerated, math.Min(measured+tolerated, s.value))
}

// Count returns the number of endpoints for long prompts among n, of which each kind has at least
// one; n must be at least 2. It returns false if the kind with more work would be crowded.
func Count(share float64, n int) (count int, ok bool) {
	less := min(share, 1-share)
	count, ok = smallerPart(less, n, roundUpFrom)
	if !ok {
		count, ok = smallerPart(less, n, 0.5)
	}
	if share > 0.5 {
		count = n - count
	}
	return count, ok
}

// smallerPart returns the number of endpoints for the kind with less work, rounded up from a
// fraction. It returns false if the other kind would be crowded.
func smallerPart(share float64, n int, from float64) (count int, ok bool) {
	count = max(1, int(share*float64(n)+1-from))
	return count, 1-share <= maxCrowding*(1-float64(count)/float64(n))
}
