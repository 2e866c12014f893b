package poison

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// ended returns the number of the process that ends as the n-th.
func ended(n int) process { return process(n + 1) }

// Guards against tries of a request that has crashed three endpoints which are all sent at the same moment:
// when endpoints are back, or when the time that callers were told to wait is over.
func TestGuard_TriesSuspectedRequestOneAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	r := Request{Content: content(1)}
	owner, position := true, 0
	guard := newGuard(func() time.Time { return now })
	guard.MayProbe = func(Trait) bool { return owner }
	guard.Position = func(Trait) int { return position }
	for n := range requestCrashes {
		g.Expect(guard.Check(r).Refused).To(BeFalse(), "%d crashes", n)
		guard.addCrash(ended(n), []Request{r}, now)
	}
	g.Expect(guard.Check(r)).To(Equal(Verdict{Probe: true}))
	g.Expect(guard.Check(r).Refused).To(BeTrue(), "a second try at the same time")
	g.Expect(guard.Blocked(r).Refused).To(BeTrue(), "one that has waited")
	now = now.Add(trialInterval)
	g.Expect(guard.Check(r).Probe).To(BeTrue())

	owner, position = false, 3
	now = now.Add(ownerTime + 2*trialSpacing - trialInterval)
	v := guard.Check(r)
	g.Expect(v.Refused).To(BeTrue(), "before this instance's turn")
	g.Expect(v.RetryAfter).To(Equal(trialSpacing))
	now = now.Add(trialSpacing)
	g.Expect(guard.Check(r).Probe).To(BeTrue(), "its turn")
	guard.Survived(r)
	g.Expect(guard.Check(r)).To(Equal(Verdict{}), "answered")
}

// Guards against evidence that comes too late: while all endpoints are down, no end is certain, and when the
// first one is back, tries are sent before any end is confirmed.
func TestGuard_TellsWhenEvidenceIsAboutToBeDecided(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	r, other := Request{Content: content(1)}, Request{Content: content(2)}
	guard := newGuard(func() time.Time { return now })
	for n := range requestCrashes {
		g.Expect(guard.Unsettled(r)).To(BeFalse())
		data, err := (&report{Unconfirmed: []crashReport{{Process: ended(n), Requests: []Request{r}}}}).encode()
		g.Expect(err).NotTo(HaveOccurred())
		guard.Receive(data)
	}
	g.Expect(guard.Unsettled(r)).To(BeTrue())
	g.Expect(guard.Unsettled(other)).To(BeFalse())
	g.Expect(guard.Check(r)).To(Equal(Verdict{}), "nothing is certain")
	for n := range requestCrashes {
		guard.addCrash(ended(n), []Request{r}, now)
	}
	g.Expect(guard.Unsettled(r)).To(BeFalse())
	g.Expect(guard.Blocked(r).Refused).To(BeTrue())
}

// Guards against requests that are held up for ends that were none.
func TestGuard_ForgetsEndsThatAreNotConfirmed(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	r := Request{Content: content(1)}
	guard := newGuard(func() time.Time { return now })
	for n := range requestCrashes {
		guard.addUnconfirmed(ended(n), []Request{r}, now)
	}
	guard.log.refute(ended(0))
	g.Expect(guard.Unsettled(r)).To(BeFalse())
	guard.addUnconfirmed(ended(0), []Request{r}, now)
	g.Expect(guard.Unsettled(r)).To(BeTrue())
	now = now.Add(unconfirmedRetention + time.Millisecond)
	guard.Tick()
	g.Expect(guard.Unsettled(r)).To(BeFalse())
	g.Expect(guard.active.Load()).To(BeFalse())
}
