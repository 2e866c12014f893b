package rollout

import "math"

// Parameters of the tests of a new version against the others.
const (
	// minFailureShare is the lowest share of failures that the other versions are taken to
	// have, and failureShift the difference that the test looks for. Lower shares are found too, later.
	minFailureShare = 0.005
	failureShift    = 0.1
	// failureWeight is the number of answers without a failure that the other versions' share of
	// failures begins with, as few answers tell little.
	failureWeight = 100
	// failureLimit is the evidence at which a version is bad. Four failures in a row reach it,
	// three among twenty answers don't, which a version with one failure in 200 has now and then.
	failureLimit = 10
	// slowClasses is the distance of a slow answer from the other versions' median, in classes:
	// a factor of 2.8. Endpoints that differ in speed by less don't count.
	slowClasses = 3
	// minSlowShare and slowShift are the same as minFailureShare and failureShift for slow answers.
	minSlowShare = 0.05
	slowShift    = 0.4
	// slowLimit is the evidence at which a version is slow. It is higher than that of failures,
	// as answers of one endpoint are slow together. Seven in a row reach it.
	slowLimit = 14
	// minCompared is the number of answers of other versions that times are compared with.
	minCompared = 20
	// maxShare bounds the shares that the tests work with.
	maxShare = 0.95
)

// sequence is a sequential test (a cumulative sum of log-likelihood ratios, bounded below by 0, so
// that a version that turns bad late is found as soon as one that is bad from the start).
//
// Source: Page, "Continuous inspection schemes", Biometrika 1954.
type sequence struct {
	// evidence is the sum. seen and hits are the answers that are part of it.
	evidence   float64
	seen, hits uint64
}

// update adds the answers that came since the last call, of which so many are hits now. normal is
// the usual share of hits, and shift the difference that is looked for.
func (s *sequence) update(seen, hits uint64, normal, shift float64) float64 {
	if seen < s.seen || hits < s.hits || seen-s.seen < hits-s.hits {
		s.seen, s.hits = seen, hits // a source was forgotten
		return s.evidence
	}
	abnormal := min(normal+shift, maxShare)
	hit := math.Log(abnormal / normal)
	miss := math.Log((1 - abnormal) / (1 - normal))
	newHits := float64(hits - s.hits)
	newMisses := float64(seen-s.seen) - newHits
	s.evidence = max(0, s.evidence+newHits*hit+newMisses*miss)
	s.seen, s.hits = seen, hits
	return s.evidence
}

// evaluation compares the answers of a new version with those of the others, by route.
type evaluation struct {
	failures map[string]*sequence
	times    map[string]*sequence
	// reason says why the version is bad; "" if it isn't.
	reason string
}

func newEvaluation() *evaluation {
	return &evaluation{failures: make(map[string]*sequence), times: make(map[string]*sequence)}
}

// update takes the newest sums in, and returns why the new version is bad, or "".
func (e *evaluation) update(all sums) string {
	if e.reason != "" {
		return e.reason
	}
	for at, t := range all {
		if !at.isNew {
			continue
		}
		old := all[side{route: at.route}]
		if old == nil {
			old = &Tally{}
		}
		e.compareFailures(at.route, *t, *old)
		e.compareTimes(at.route, *t, *old)
	}
	// Failures that are few on each route count together.
	e.compareFailures("", all.total(true), all.total(false))
	return e.reason
}

func (e *evaluation) compareFailures(route string, t, old Tally) {
	normal := float64(old.Bad) / float64(old.Answers+failureWeight)
	normal = min(max(normal, minFailureShare), maxShare-failureShift)
	if sequenceOf(e.failures, route).update(t.Answers, t.Bad, normal, failureShift) >= failureLimit {
		e.reason = "failures"
	}
}

func (e *evaluation) compareTimes(route string, t, old Tally) {
	all := count(old.Times, 0)
	if all < minCompared {
		return
	}
	slow := median(old.Times) + slowClasses
	normal := float64(count(old.Times, slow)) / float64(all)
	normal = min(max(normal, minSlowShare), maxShare-slowShift)
	if sequenceOf(e.times, route).update(count(t.Times, 0), count(t.Times, slow), normal, slowShift) >= slowLimit {
		e.reason = "slow answers"
	}
}

// doubt returns how near the evidence is to that at which a version is bad, from 0 to 1.
func (e *evaluation) doubt() float64 {
	doubt := 0.0
	for _, s := range e.failures {
		doubt = max(doubt, s.evidence/failureLimit)
	}
	for _, s := range e.times {
		doubt = max(doubt, s.evidence/slowLimit)
	}
	return min(doubt, 1)
}

func sequenceOf(list map[string]*sequence, route string) *sequence {
	if list[route] == nil {
		list[route] = &sequence{}
	}
	return list[route]
}

// count returns the number of answers in the classes from one on.
func count(times []uint64, from int) uint64 {
	var n uint64
	for _, c := range times[min(from, len(times)):] {
		n += c
	}
	return n
}

// median returns the class of the median.
func median(times []uint64) int {
	half := (count(times, 0) + 1) / 2
	for class, n := range times {
		if n >= half {
			return class
		}
		half -= n
	}
	return 0
}
