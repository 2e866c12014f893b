package poison

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against several requests that crash endpoints and are probed one after the other, so that their probes
// together end as many endpoints in a short time as one request may in all.
func TestQuarantine_ProbesSeveralTraitsAsOftenAsOne(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	q := newQuarantine()
	for n := range 3 {
		q.add(content(n+1), 1, now)
	}
	for _, e := range q.entries {
		g.Expect(q.due(e).Sub(now)).To(Equal(3 * requestProbeDelays[0]))
	}
	q.release(content(1), now)
	g.Expect(q.due(q.entries[content(2)]).Sub(now)).To(Equal(2 * requestProbeDelays[0]))
	q.add(content(4), 0, now)
	g.Expect(q.due(q.entries[content(4)]).Sub(now)).To(Equal(checkDelay), "the first probe")
}

// Guards against a request that is probed although more tries of it than the probes were on their way when it was
// put into quarantine.
func TestGuard_CountsTriesOnTheirWayAsProbes(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	r := Request{Content: content(1)}
	guard := newGuard(func() time.Time { return now })
	crash := func(n int) {
		guard.addCrash(process(n+1), []Request{r}, now)
		now = now.Add(settleTime)
		guard.Tick()
	}
	for n := range requestCrashes {
		crash(n)
	}
	now = now.Add(graceTime)
	crash(3)
	g.Expect(guard.quarantine.entries[content(1)].probes).To(Equal(1))
	crash(4)
	crash(5)
	g.Expect(guard.quarantine.entries[content(1)].probes).To(Equal(3))
	g.Expect(guard.Check(r).RetryAfter).To(BeNumerically(">", time.Hour))
}
