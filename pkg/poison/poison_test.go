package poison

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// start is the time at which these tests begin.
var start = time.Unix(1_000_000, 0)

// partsOf returns the n-th request, with the given shared parts.
func partsOf(n int, parts ...Trait) Request {
	return Request{Content: newTrait(kindContent, uint64(n)), Parts: parts}
}

// logOf returns a log with a crash of another process after each pause, each with another
// request.
func logOf(pause time.Duration, crashes ...[]Trait) (*crashLog, time.Time) {
	log := newCrashLog()
	l := &log
	now := start
	for n, parts := range crashes {
		l.add(process(n+1), []Request{partsOf(n, parts...)}, now)
		now = now.Add(pause)
	}
	return l, now.Add(settleTime)
}

func TestCrashLog_Thresholds(t *testing.T) {
	g := NewWithT(t)
	bad := func(n int, also ...Trait) [][]Trait {
		var out [][]Trait
		for i := range n {
			out = append(out, append([]Trait{1, Trait(100 + i)}, also...))
		}
		return out
	}
	l, now := logOf(2*time.Second, bad(3)...)
	g.Expect(l.poisonParts(now)).To(BeEmpty(), "three crashes")
	l, now = logOf(2*time.Second, bad(4)...)
	g.Expect(l.poisonParts(now)).To(Equal([]Trait{1}), "four crashes, rare")
	l, now = logOf(200*time.Millisecond, bad(6)...)
	g.Expect(l.poisonParts(now)).To(BeEmpty(), "six crashes, frequent")
	l, now = logOf(200*time.Millisecond, bad(7)...)
	g.Expect(l.poisonParts(now)).To(Equal([]Trait{1}), "seven crashes, frequent")
	l, now = logOf(time.Millisecond, bad(20)...)
	g.Expect(l.poisonParts(now)).To(BeEmpty(), "twenty crashes at once")
	among := func(n, every int) [][]Trait {
		var out [][]Trait
		for i := range n * every {
			out = append(out, []Trait{Trait(100 + i)})
			if i%every == 0 {
				out[i] = append(out[i], 1)
			}
		}
		return out[:len(out)-every+1]
	}
	l, now = logOf(200*time.Millisecond, among(10, 4)...)
	g.Expect(l.poisonParts(now)).To(BeEmpty(), "ten of 37 crashes, frequent")
	l, now = logOf(200*time.Millisecond, among(11, 4)...)
	g.Expect(l.poisonParts(now)).To(Equal([]Trait{1}), "eleven of 41 crashes, frequent")
	l, now = logOf(200*time.Millisecond, among(12, 6)...)
	g.Expect(l.poisonParts(now)).To(BeEmpty(), "less than a quarter of the crashes")
	l, now = logOf(2*time.Second, bad(6, 2)...)
	g.Expect(l.poisonParts(now)).To(BeEmpty(), "two parts of the same crashes")
	l, now = logOf(2*time.Second, bad(minPartCrashesTied, 2)...)
	g.Expect(l.poisonParts(now)).To(Equal([]Trait{1, 2}), "two parts of many crashes")
	l, now = logOf(2*time.Second, bad(6, 2)...)
	l.clear(2)
	g.Expect(l.poisonParts(now)).To(Equal([]Trait{1}), "one of them was answered")
	l, now = logOf(2*time.Second, bad(6)...)
	l.explain(1)
	g.Expect(l.poisonParts(now)).To(BeEmpty(), "crashes that are explained")
	l.expire(now.Add(2 * crashRetention))
	g.Expect(l.crashes).To(BeEmpty())
	g.Expect(l.mentions).To(BeEmpty())
}

// Property: whatever crashes are reported, the log is bounded and blames only parts of at
// least four of them that weren't answered since.
func TestCrashLog_BlamesOnlyPartsOfSeveralCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newCrashLog()
		now := start
		since := make(map[Trait]map[process]bool)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
			p := Trait(rapid.IntRange(1, 6).Draw(rt, "part"))
			if rapid.IntRange(0, 3).Draw(rt, "step") == 0 {
				l.clear(p)
				delete(since, p)
				continue
			}
			ended := process(rapid.IntRange(1, 300).Draw(rt, "process"))
			l.add(ended, []Request{partsOf(rapid.IntRange(1, 20).Draw(rt, "request"), p)}, now)
			if since[p] == nil {
				since[p] = make(map[process]bool)
			}
			since[p][ended] = true
			for _, blamed := range l.poisonParts(now) {
				if len(since[blamed]) < 4 {
					rt.Fatalf("part %d was blamed for %d crashes", blamed, len(since[blamed]))
				}
			}
		}
		if len(l.crashes) > maxCrashes {
			rt.Fatalf("%d crashes are kept", len(l.crashes))
		}
	})
}

func TestQuarantine_ProbesLessAndLessOften(t *testing.T) {
	g := NewWithT(t)
	q := newQuarantine()
	g.Expect(q.add(1, 0, start)).To(BeTrue())
	g.Expect(q.add(1, 0, start)).To(BeFalse())
	e := q.entries[1]
	g.Expect(e.probeAt.Sub(start)).To(Equal(checkDelay))
	now := start.Add(checkDelay + checkPeriod)
	q.expire(now)
	g.Expect(e.probeAt.Sub(now)).To(Equal(firstProbeDelay), "no probe was sent within the period")
	for _, want := range []time.Duration{60 * time.Second, 120 * time.Second, 240 * time.Second, 480 * time.Second, maxProbeDelay, maxProbeDelay} {
		e.scheduleProbe(kindPart, now)
		g.Expect(e.probeAt.Sub(now)).To(Equal(want))
	}
	q.expire(e.probeAt.Add(forgetTime + time.Second))
	g.Expect(q.entries).To(BeEmpty())
}

func TestQuarantine_MergeKeepsNewerState(t *testing.T) {
	g := NewWithT(t)
	q := newQuarantine()
	g.Expect(q.merge([]Entry{{Trait: 1, Epoch: 1, Probes: 2, ProbeInMS: 1000}}, start)).To(Equal([]Trait{1}))
	g.Expect(q.merge([]Entry{{Trait: 1, Epoch: 1, Probes: 1, ProbeInMS: 0}}, start)).To(BeEmpty())
	g.Expect(q.entries[1].probeAt).To(Equal(start.Add(time.Second)), "fewer probes are older")
	q.merge([]Entry{{Trait: 1, Epoch: 1, Probes: 3, ProbeInMS: 1 << 62}}, start)
	g.Expect(q.entries[1].probeAt).To(Equal(start.Add(lastProbeDelay)))
	q.release(1, start)
	g.Expect(q.merge([]Entry{{Trait: 1, Epoch: 1, Probes: 3}}, start)).To(BeEmpty(), "a peer that hasn't heard of the release")
	g.Expect(q.merge([]Entry{{Trait: 1, Epoch: 2}}, start)).To(Equal([]Trait{1}), "a later quarantine")
	for p := range Trait(2 * maxQuarantined) {
		q.merge([]Entry{{Trait: p, Epoch: 1}}, start)
	}
	g.Expect(len(q.entries)).To(Equal(maxQuarantined))
}

func TestReport_IsSplitIntoDatagrams(t *testing.T) {
	g := NewWithT(t)
	requests := make([]Request, 700)
	for i := range requests {
		requests[i] = Request{Content: newTrait(kindContent, hashMask-uint64(i)), Prompt: newTrait(kindPrompt, hashMask-uint64(i))}
		for n := range i % (maxParts + 1) {
			requests[i].Parts = append(requests[i].Parts, newTrait(kindPart, hashMask-uint64(n)))
		}
	}
	r := report{Crashes: []crashReport{{Process: 1, Requests: requests}, {Process: 2}}, Sound: []Trait{7}}
	seen, crashes := 0, make(map[process]bool)
	for !r.empty() {
		next := r.take()
		data, err := next.encode()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(data)).To(BeNumerically("<", 4<<10))
		out, err := decodeReport(data)
		g.Expect(err).NotTo(HaveOccurred())
		for _, c := range out.Crashes {
			seen += len(c.Requests)
			crashes[c.Process] = true
		}
	}
	g.Expect(seen).To(Equal(700))
	g.Expect(crashes).To(HaveLen(2))
}

// newGuard returns a guard on a clock, of which each endpoint has ended.
func newGuard(now func() time.Time) *Guard {
	return New(Options{
		Ended: func(string) bool { return true }, Broadcast: func([]byte) {}, MayProbe: func(Trait) bool { return true },
		Metrics: prometheus.NewRegistry(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: now,
	})
}

// endpoint returns the n-th endpoint.
func endpoint(n int) *endpoints.Endpoint {
	t := endpoints.NewTable(func() {})
	t.Put(endpoints.Info{ID: fmt.Sprint("i-", n), Addr: "addr", Born: int64(n + 1)})
	e, _ := t.ByID(fmt.Sprint("i-", n))
	return e
}

// Guards against memory that grows with what callers send: each request may bring parts
// that were never seen before.
func TestGuard_KeepsBoundedState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := newGuard(time.Now)
		next := Trait(0)
		for n := range 200 {
			e := endpoint(n)
			parts := make([]Trait, 1000)
			for i := range parts {
				next++
				parts[i] = next
				guard.BrokeOff(e, partsOf(int(next), next+1<<40))
			}
			guard.BrokeOff(e, partsOf(0, parts...))
			guard.Survived(partsOf(0, parts...))
			time.Sleep(100 * time.Millisecond)
			guard.Tick()
		}
		g.Expect(len(guard.log.crashes)).To(BeNumerically("<=", maxCrashes))
		g.Expect(len(guard.log.mentions)).To(BeNumerically("<=", maxCrashes*maxRequests*maxRequestTraits))
		for _, c := range guard.log.crashes {
			g.Expect(len(c.requests)).To(BeNumerically("<=", maxRequests))
			for _, r := range c.requests {
				g.Expect(len(r.Parts)).To(BeNumerically("<=", maxParts))
			}
		}
		for i := range guard.sound {
			g.Expect(len(guard.sound[i].at)).To(BeNumerically("<=", maxSoundParts))
		}
		g.Expect(guard.checks).To(BeEmpty())
		g.Expect(guard.Entries()).To(BeEmpty())
	})
}

func TestGuard_ProbesOnceAndReleasesAfterAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := newGuard(time.Now)
		bad := Request{Parts: []Trait{1}}
		for n := range 4 {
			guard.BrokeOff(endpoint(n), partsOf(n, 1))
			time.Sleep(2 * time.Second)
			guard.Tick()
		}
		v := guard.Check(Request{Parts: []Trait{7, 1}})
		g.Expect(v.Refused).To(BeTrue())
		g.Expect(v.RetryAfter).To(BeNumerically(">", 0))
		g.Expect(guard.Check(Request{Parts: []Trait{7}})).To(Equal(Verdict{}), "other parts")
		time.Sleep(checkDelay)
		g.Expect(guard.Check(bad)).To(Equal(Verdict{Probe: true}))
		g.Expect(guard.Check(bad).Refused).To(BeTrue(), "one probe only")
		guard.ProbeNotSent(bad)
		time.Sleep(unsentProbeDelay)
		g.Expect(guard.Check(bad)).To(Equal(Verdict{Probe: true}), "the probe was not sent")
		guard.Survived(bad)
		g.Expect(guard.Check(bad)).To(Equal(Verdict{}))
		g.Expect(guard.Blocked(bad).Refused).To(BeFalse())
		g.Expect(testutil.ToFloat64(guard.metrics.probes)).To(Equal(2.0))
		g.Expect(testutil.ToFloat64(guard.metrics.crashes)).To(Equal(4.0))
	})
}

// Guards against a request that is sent again by the gateway, on top of its callers' tries, though
// it has crashed several endpoints.
func TestGuard_DoesNotResendSuspectedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := newGuard(time.Now)
		for n := range requestCrashes {
			g.Expect(guard.MayResend(partsOf(1))).To(BeTrue(), "%d crashes", n)
			guard.BrokeOff(endpoint(n), partsOf(1))
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(guard.MayResend(partsOf(1))).To(BeFalse())
		g.Expect(guard.MayResend(partsOf(2))).To(BeTrue(), "another request")
		guard.Survived(partsOf(1))
		g.Expect(guard.MayResend(partsOf(1))).To(BeTrue(), "it was answered")
	})
}

// Guards against probes that come on top of the late crashes that a request caused while it
// wasn't known yet.
func TestGuard_ProbesRequestWithLateCrashesLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := newGuard(time.Now)
		crash := func(n int) {
			guard.BrokeOff(endpoint(n), partsOf(1))
			time.Sleep(100 * time.Millisecond)
			guard.Tick()
		}
		for n := range requestCrashes {
			crash(n)
		}
		time.Sleep(graceTime)
		crash(10)
		crash(11)
		time.Sleep(settleTime)
		guard.Tick()
		v := guard.Check(partsOf(1))
		g.Expect(v.Refused).To(BeTrue())
		g.Expect(v.Whole).To(BeTrue())
		g.Expect(v.RetryAfter).To(BeNumerically(">", firstProbeDelay))
	})
}

// Guards against crashing parts that are forgotten when all instances restart.
func TestKeeper_KeepsPartsForAStartOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := memstore.New()
		run := func(guard *Guard, held bool) context.CancelFunc {
			ctx, cancel := context.WithCancel(t.Context())
			k := Keeper{Guard: guard, Store: store, StoreHistory: store.History, Writes: func() bool { return held }, Incomplete: func() bool { return false }, Log: guard.Log, TrueTime: time.Now}
			go func() { _ = k.Run(ctx) }()
			return cancel
		}
		first := newGuard(time.Now)
		stop := run(first, true)
		time.Sleep(2 * saveInterval)
		first.Merge([]Entry{{Trait: 5, Epoch: 1, Probes: 1, ProbeInMS: 20_000}})
		time.Sleep(2 * saveInterval)
		stop()

		second := newGuard(time.Now)
		store.SetHook(func(memstore.Op, string) memstore.Fault { return memstore.FaultUnavailable })
		stop = run(second, false)
		time.Sleep(2 * saveInterval)
		g.Expect(second.Entries()).To(BeEmpty(), "while the store is down")
		store.SetHook(nil)
		time.Sleep(2 * saveInterval)
		g.Expect(second.Check(Request{Parts: []Trait{5}}).Refused).To(BeTrue())
		stop()
	})
}

func FuzzReceive(f *testing.F) {
	r := report{Crashes: []crashReport{{Process: 1, Requests: []Request{partsOf(1, 1)}}}, Sound: []Trait{2}, Entries: []Entry{{Trait: 3, Epoch: 1}}}
	data, _ := r.encode()
	f.Add(data)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		guard := newGuard(func() time.Time { return start })
		guard.Receive(data)
		guard.Tick()
		if len(guard.Entries()) > maxQuarantined {
			t.Fatal("more parts than the limit")
		}
	})
}
