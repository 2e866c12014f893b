package poison

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// content returns the trait of the n-th content.
func content(n int) Trait { return newTrait(kindContent, uint64(n)) }

// addCrashes adds crashes under the same requests, with a pause after each. It returns the
// time after them.
func addCrashes(l *crashLog, count int, pause time.Duration, now time.Time, requests ...Request) time.Time {
	for range count {
		l.add(process(len(l.crashes)+1), requests, now)
		now = now.Add(pause)
	}
	return now
}

// Guards against a request that ends more endpoints than needed, and against one that is
// refused though it only met the ends of others.
func TestCrashLog_ThresholdsOfRequests(t *testing.T) {
	g := NewWithT(t)
	poisonAfter := func(setUp func(l *crashLog) time.Time) []Trait {
		l := newCrashLog()
		return l.poisonRequests(setUp(&l).Add(settleTime))
	}
	alone := func(count int, pause time.Duration) func(l *crashLog) time.Time {
		return func(l *crashLog) time.Time { return addCrashes(l, count, pause, start, partsOf(1)) }
	}
	// among adds crashes under a request, each after a number of others.
	among := func(count, others int) func(l *crashLog) time.Time {
		return func(l *crashLog) time.Time {
			now := start
			for n := range count {
				for i := range others {
					now = addCrashes(l, 1, 100*time.Millisecond, now, partsOf(1000+n*others+i))
				}
				now = addCrashes(l, 1, 100*time.Millisecond, now, partsOf(1))
			}
			return now
		}
	}
	bad := []Trait{content(1)}
	g.Expect(poisonAfter(alone(3, 80*time.Millisecond))).To(BeEmpty(), "three crashes")
	g.Expect(poisonAfter(alone(4, 80*time.Millisecond))).To(Equal(bad), "four crashes")
	g.Expect(poisonAfter(alone(3, 10*time.Second))).To(BeEmpty(), "three crashes, rare")
	g.Expect(poisonAfter(alone(4, 10*time.Second))).To(Equal(bad), "four crashes, rare")
	g.Expect(poisonAfter(alone(4, time.Millisecond))).To(BeEmpty(), "four crashes at once")
	g.Expect(poisonAfter(among(4, 1))).To(BeEmpty(), "four of eight crashes")
	g.Expect(poisonAfter(among(6, 1))).To(Equal(bad), "six of twelve crashes")
	g.Expect(poisonAfter(among(6, 2))).To(BeEmpty(), "six of 18 crashes")
	g.Expect(poisonAfter(among(7, 2))).To(Equal(bad), "seven of 21 crashes")
	g.Expect(poisonAfter(among(7, 5))).To(BeEmpty(), "seven of 42 crashes within 3 s")
	g.Expect(poisonAfter(among(9, 5))).To(Equal(bad), "nine of 54 crashes, one of them late")
	g.Expect(poisonAfter(among(4, 30))).To(Equal(bad), "four of 124 crashes, one of them late")
	together := func(count int) func(l *crashLog) time.Time {
		return func(l *crashLog) time.Time { return addCrashes(l, count, time.Second, start, partsOf(1), partsOf(2)) }
	}
	g.Expect(poisonAfter(together(6))).To(BeEmpty(), "two requests of the same crashes")
	g.Expect(poisonAfter(together(7))).To(Equal([]Trait{content(1), content(2)}), "two requests of the same crashes, one of them late")
	g.Expect(poisonAfter(func(l *crashLog) time.Time {
		now := addCrashes(l, 3, time.Second, start, partsOf(1), partsOf(2))
		return addCrashes(l, 1, time.Second, now, partsOf(1))
	})).To(Equal(bad), "one of two accounts for more")
}

// Guards against requests that are told apart by their content only: those with another prompt
// are sound.
func TestCrashLog_TellsRequestsWithSameContentApart(t *testing.T) {
	g := NewWithT(t)
	l := newCrashLog()
	with := func(own string) Request { return NewRequest(Content{URI: "/x"}, []string{"shared", own}) }
	bad, sound := with("bad"), with("sound")
	for n := range 4 {
		l.add(process(n), []Request{bad}, start.Add(time.Duration(n)*time.Second))
		for _, t := range sound.traits() {
			l.clear(t)
		}
	}
	now := start.Add(5 * time.Second)
	g.Expect(l.poisonRequests(now)).To(Equal([]Trait{bad.Prompt}))
	g.Expect(bad.Content).To(Equal(sound.Content))
	g.Expect(bad.Prompt).NotTo(Equal(sound.Prompt))

	l = newCrashLog()
	now = addCrashes(&l, 4, time.Second, start, bad)
	g.Expect(l.poisonRequests(now.Add(settleTime))).To(Equal([]Trait{bad.Content}), "no other with the content")
}

// Guards against a part that is blamed since one request with it comes again and again, and
// against one that isn't found since each request with it is known already.
func TestCrashLog_TellsPartsFromRequests(t *testing.T) {
	g := NewWithT(t)
	l := newCrashLog()
	now := addCrashes(&l, 4, time.Second, start, partsOf(1, 7))
	g.Expect(l.poisonRequests(now.Add(settleTime))).To(Equal([]Trait{content(1)}))
	l.explain(content(1))
	now = addCrashes(&l, 20, time.Second, now, partsOf(1, 7), partsOf(2, 7))
	for _, c := range l.crashes {
		c.explain(content(1))
	}
	g.Expect(l.poisonParts(now.Add(settleTime))).To(BeEmpty(), "one request")

	l = newCrashLog()
	now = start
	for n := range 3 {
		now = addCrashes(&l, 2, time.Second, now, partsOf(n, 7))
		l.explain(content(n))
	}
	g.Expect(l.poisonParts(now.Add(settleTime))).To(Equal([]Trait{7}), "three requests")
	g.Expect(l.poisonRequests(now.Add(settleTime))).To(BeEmpty())
}

// Property: whatever crashes are reported, only requests of at least four of them that
// weren't answered since are blamed, and one with a late crash always is.
func TestCrashLog_BlamesRequestsOfSeveralCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newCrashLog()
		now := start
		since := make(map[Trait]int)
		for n := range rapid.IntRange(1, 100).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(30, 3000).Draw(rt, "pause")) * time.Millisecond)
			list := rapid.SliceOfNDistinct(rapid.IntRange(1, 9), 1, 3, rapid.ID[int]).Draw(rt, "requests")
			if rapid.IntRange(0, 3).Draw(rt, "step") == 0 {
				l.clear(content(list[0]))
				delete(since, content(list[0]))
				continue
			}
			var requests []Request
			for _, r := range list {
				requests = append(requests, partsOf(r))
				since[content(r)]++
			}
			l.add(process(n), requests, now)
			f := l.requestFindings(now.Add(settleTime))
			blamed := make(map[Trait]bool)
			for _, t := range l.poisonRequests(now.Add(settleTime)) {
				blamed[t] = true
				if since[t] < 4 {
					rt.Fatalf("%d was blamed for %d crashes", t.hash(), since[t])
				}
			}
			for t, crashes := range since {
				if f.of(t).lateCrashes() > 0 && !blamed[t] {
					rt.Fatalf("%d was not blamed for %d crashes", t.hash(), crashes)
				}
			}
		}
	})
}

// Guards against probes that come on top of the crashes that a request caused while it wasn't
// known yet.
func TestQuarantine_CountsLateCrashesAsProbes(t *testing.T) {
	g := NewWithT(t)
	l := newCrashLog()
	now := addCrashes(&l, 4, 100*time.Millisecond, start, partsOf(1))
	g.Expect(l.lateCrashes(content(1))).To(BeZero())
	addCrashes(&l, 2, 100*time.Millisecond, now.Add(graceTime), partsOf(1))
	g.Expect(l.lateCrashes(content(1))).To(Equal(2))

	q := newQuarantine()
	q.add(content(1), 0, start)
	q.add(content(2), 2, start)
	q.add(content(3), 3, start)
	g.Expect(q.entries[content(1)].probeAt).To(Equal(start.Add(checkDelay)))
	g.Expect(q.entries[content(2)].probeAt).To(Equal(start.Add(requestProbeDelays[1])))
	g.Expect(q.entries[content(3)].probeAt).To(Equal(start.Add(lastProbeDelay)))
}

// Guards against a full quarantine that takes no further request in.
func TestQuarantine_DropsOldestEntry(t *testing.T) {
	g := NewWithT(t)
	q := newQuarantine()
	for n := range maxQuarantined + 1 {
		g.Expect(q.add(content(n+1), 0, start.Add(time.Duration(n)*time.Second))).To(BeTrue())
	}
	g.Expect(q.entries).To(HaveLen(maxQuarantined))
	g.Expect(q.entries).NotTo(HaveKey(content(1)))
	g.Expect(q.entries).To(HaveKey(content(maxQuarantined + 1)))
}
