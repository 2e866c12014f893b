package poison

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// ended returns the number of the process that ends as the n-th.
func ended(n int) process { return process(n + 1) }

// suspicionWorld is a guard on a clock, at an instance with a position of its own.
type suspicionWorld struct {
	*Guard
	now      time.Time
	position int
}

func newSuspicionWorld() *suspicionWorld {
	w := &suspicionWorld{now: time.Unix(1000, 0)}
	w.Guard = newGuard(func() time.Time { return w.now })
	w.MayProbe = func(Trait) bool { return w.position == 0 }
	w.Position = func(Trait) int { return w.position }
	return w
}

// crash records crashes under a request.
func (w *suspicionWorld) crash(r Request, count int) {
	for range count {
		w.addCrash(ended(len(w.log.crashes)), []Request{r}, w.now)
	}
}

// Guards against tries of a request that has crashed three endpoints which waited while all endpoints were
// down, and are all sent at the moment at which these are back.
func TestGuard_TriesSuspectedRequestOneAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	w, r := newSuspicionWorld(), Request{Content: content(1)}
	w.crash(r, requestCrashes-1)
	g.Expect(w.MayTry(r, w.now)).To(BeTrue())
	w.crash(r, 1)
	g.Expect(w.MayTry(r, w.now)).To(BeFalse(), "other instances don't know of the crash yet")
	w.now = w.now.Add(trialSpacing)
	g.Expect(w.MayTry(r, w.now)).To(BeTrue(), "the first one")
	g.Expect(w.MayTry(r, w.now)).To(BeFalse(), "another one at the same instance")
	w.now = w.now.Add(trialSpacing)
	g.Expect(w.MayTry(r, w.now)).To(BeTrue())
	w.position = 2
	since := w.now.Add(trialSpacing)
	w.now = since.Add(2*trialSpacing - 1)
	g.Expect(w.MayTry(r, since)).To(BeFalse(), "another instance's turn")
	w.now = w.now.Add(1)
	g.Expect(w.MayTry(r, since)).To(BeTrue())
	w.Survived(r)
	g.Expect(w.MayTry(r, w.now)).To(BeTrue(), "answered")
}

// Guards against callers of a request that crashes endpoints who wait for its turns, and against a sound
// request that is refused for crashes that it met by chance.
func TestGuard_RefusesSuspectedRequestThatNoEndpointAnswers(t *testing.T) {
	g := NewWithT(t)
	w, r := newSuspicionWorld(), Request{Content: content(1)}
	w.crash(r, requestCrashes)
	w.now = w.now.Add(trialDelay - 1)
	g.Expect(w.Check(r)).To(Equal(Verdict{}))
	w.now = w.now.Add(1)
	g.Expect(w.Check(r)).To(Equal(Verdict{Probe: true}))
	g.Expect(w.Check(r)).To(Equal(Verdict{Refused: true, Whole: true, RetryAfter: ownerInterval}))
	w.position = 3
	w.now = w.now.Add(ownerTime + 2*trialSpacing - trialDelay)
	g.Expect(w.Check(r)).To(Equal(Verdict{Refused: true, Whole: true, RetryAfter: trialSpacing}))
	w.now = w.now.Add(trialSpacing)
	g.Expect(w.Check(r)).To(Equal(Verdict{Probe: true}))
	w.Survived(r)
	g.Expect(w.Check(r)).To(Equal(Verdict{}), "answered")
}

// Guards against a sound request that is refused while endpoints end one after the other for another reason.
func TestGuard_ChecksShareOfCrashesUnderSuspectedRequest(t *testing.T) {
	g := NewWithT(t)
	w, r := newSuspicionWorld(), Request{Content: content(1)}
	w.crash(Request{Content: content(2)}, requestCrashes)
	w.crash(Request{Content: content(3)}, requestCrashes)
	w.crash(r, requestCrashes)
	w.now = w.now.Add(trialDelay)
	g.Expect([]Verdict{w.Check(r), w.Check(r)}).To(Equal([]Verdict{{}, {}}))
}

// Guards against requests that crash endpoints at the same time and hide each other: the crashes that one
// accounts for are the reason to suspect the other.
func TestGuard_ConvictsRequestThatAnotherOneHid(t *testing.T) {
	g := NewWithT(t)
	w, hidden, other := newSuspicionWorld(), Request{Content: content(1)}, Request{Content: content(2)}
	for n := range requestCrashes {
		w.addCrash(ended(n), []Request{hidden, other}, w.now)
	}
	w.log.explain(other.Content)
	w.now = w.now.Add(graceTime + time.Second)
	w.addCrash(ended(requestCrashes), []Request{hidden}, w.now)
	w.now = w.now.Add(settleTime)
	w.Tick()
	g.Expect(w.Blocked(hidden).Refused).To(BeTrue())
}

// Guards against evidence that comes too late: while all endpoints are down, no end is certain, and when the
// first one is back, tries are sent before any end is confirmed.
func TestGuard_WaitsForEndsToBeConfirmed(t *testing.T) {
	g := NewWithT(t)
	w, r, other := newSuspicionWorld(), Request{Content: content(1)}, Request{Content: content(2)}
	for n := range requestCrashes {
		g.Expect(w.MayTry(r, w.now)).To(BeTrue())
		data, err := (&report{Unconfirmed: []crashReport{{Process: ended(n), Requests: []Request{r}}}}).encode()
		g.Expect(err).NotTo(HaveOccurred())
		w.Receive(data)
	}
	g.Expect(w.MayTry(r, w.now)).To(BeFalse())
	g.Expect(w.MayTry(other, w.now)).To(BeTrue())
	w.now = w.now.Add(evidenceTime)
	g.Expect(w.MayTry(r, w.now.Add(-evidenceTime))).To(BeTrue(), "nothing was confirmed")
}

// Guards against requests that are held up for ends that were none.
func TestGuard_ForgetsEndsThatAreNotConfirmed(t *testing.T) {
	g := NewWithT(t)
	w, r := newSuspicionWorld(), Request{Content: content(1)}
	for n := range requestCrashes {
		w.addUnconfirmed(ended(n), []Request{r}, w.now)
	}
	w.log.refute(ended(0))
	g.Expect(w.MayTry(r, w.now)).To(BeTrue())
	w.addUnconfirmed(ended(0), []Request{r}, w.now)
	g.Expect(w.MayTry(r, w.now)).To(BeFalse())
	w.now = w.now.Add(unconfirmedRetention + time.Millisecond)
	w.Tick()
	g.Expect(w.MayTry(r, w.now)).To(BeTrue())
	g.Expect(w.active.Load()).To(BeFalse())
}
