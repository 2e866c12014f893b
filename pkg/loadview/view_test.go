package loadview

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// clock is a settable clock.
type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

func newClock() *clock { return &clock{t: time.Unix(1000, 0)} }

func snapshot(n int) *fleet.Snapshot {
	t := fleet.NewTable(time.Now, nil)
	var list []cloud.Instance
	for i := range n {
		list = append(list, cloud.Instance{ID: fmt.Sprint("e", i), Addr: fmt.Sprint("a", i), Service: "s", State: cloud.StateReady})
	}
	t.ApplyList(list)
	return t.Snapshot()
}

func TestEndpoint_EstimateAddsOwnAttemptsSinceReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := New(newClock().now)
		e := v.Endpoint("e")
		reported, ownAt, own := -1, 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"dispatch": func(*rapid.T) { e.AttemptStarted(); own++ },
			"finish": func(*rapid.T) {
				if own > 0 {
					e.AttemptEnded()
					own--
				}
			},
			"report": func(t *rapid.T) {
				reported, ownAt = rapid.IntRange(0, 100).Draw(t, "load"), own
				v.Report("e", engine.Load{Running: reported, BatchLimit: 8})
			},
			"": func(t *rapid.T) {
				want := float64(own)
				if reported >= 0 {
					want = max(want, float64(reported+own-ownAt))
				}
				if got := e.Estimate(0); got.Load != want || got.BatchLimit != 8 {
					t.Fatalf("Estimate = %+v, want load %v", got, want)
				}
			},
		})
	})
}

// TestDigest_LoadIsWithinOneStep checks that digests reproduce loads to within one
// load step, never lower ages, and omit reports that are too old.
func TestDigest_LoadIsWithinOneStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		s := snapshot(rapid.IntRange(1, 80).Draw(t, "endpoints"))
		from, to := New(c.now), New(c.now)
		from.Sync(s)
		to.Sync(s)
		loads, ages := make(map[string]int), make(map[string]time.Duration)
		start := c.t
		for _, e := range s.Endpoints {
			loads[e.ID] = rapid.IntRange(0, 1200).Draw(t, "load")
			ages[e.ID] = time.Duration(rapid.IntRange(0, 20000).Draw(t, "age")) * time.Millisecond
			c.t = start.Add(-ages[e.ID])
			from.Report(e.ID, engine.Load{Running: loads[e.ID], BatchLimit: 8})
		}
		c.t = start
		for p := range Partitions {
			if err := to.Merge(from.Digest(p)); err != nil {
				t.Fatal(err)
			}
		}
		for _, e := range s.Endpoints {
			age, ok := to.Endpoint(e.ID).Age(c.t)
			if ages[e.ID] > ageSteps[len(ageSteps)-1] {
				if ok {
					t.Fatal("digest contains a report that is too old")
				}
				continue
			}
			got, want := int(to.Endpoint(e.ID).Estimate(0).Load), loads[e.ID]
			if diff := max(got-want, want-got); !ok || age < ages[e.ID] || float64(diff) > 1+0.2*float64(want) {
				t.Fatalf("load %d of age %v decoded as load %d of age %v", want, ages[e.ID], got, age)
			}
		}
	})
}

func TestMerge_KeepsNewerReports(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	s := snapshot(1)
	from, to := New(c.now), New(c.now)
	from.Sync(s)
	to.Sync(s)
	from.Report("e0", engine.Load{Running: 5})
	c.t = c.t.Add(time.Second)
	to.Report("e0", engine.Load{Running: 9})
	for p := range Partitions {
		g.Expect(to.Merge(from.Digest(p))).To(Succeed())
	}
	g.Expect(to.Endpoint("e0").Estimate(0).Load).To(Equal(9.0))
	other := New(c.now)
	other.Sync(snapshot(40))
	g.Expect(to.Merge(other.Digest(0))).To(MatchError(ErrMemberMismatch))
	g.Expect(to.Merge(nil)).To(MatchError(ErrInvalidDigest))
}

// TestMerge_RejectsDigestOfOtherMembers merges a digest of a different endpoint in the
// same partition, which has the same length and differs only in its checksum.
func TestMerge_RejectsDigestOfOtherMembers(t *testing.T) {
	g := NewWithT(t)
	v, replaced := New(newClock().now), New(newClock().now)
	v.Sync(snapshot(1))
	part := partitionOf(v.Endpoint("e0"))
	for i := 1; ; i++ {
		id := fmt.Sprint("new", i)
		if partitionOf(replaced.Endpoint(id)) != part {
			continue
		}
		table := fleet.NewTable(time.Now, nil)
		table.ApplyList([]cloud.Instance{{ID: id, State: cloud.StateReady}})
		replaced.Sync(table.Snapshot())
		break
	}
	g.Expect(v.Merge(replaced.Digest(part))).To(MatchError(ErrMemberMismatch))
}

func FuzzMerge(f *testing.F) {
	c := newClock()
	v := New(c.now)
	v.Sync(snapshot(100))
	f.Add(v.Digest(3))
	f.Fuzz(func(t *testing.T, data []byte) {
		_ = v.Merge(data)
	})
}

// TestView_HolderProbabilityAfterLostEvents compares the view with the engine's
// actual cache: without lost events all probabilities are 1, and each lost event
// lowers the probabilities of all prefixes recorded before it.
func TestView_HolderProbabilityAfterLostEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		v := New(c.now)
		e := v.Endpoint("e")
		cached := make(map[uint64]int)
		lostWhenRecorded := make(map[uint64]int)
		seq, lostEvents := uint64(0), 0
		var allEvents []engine.CacheEvent
		t.Repeat(map[string]func(*rapid.T){
			"event": func(t *rapid.T) {
				prefix := uint64(rapid.IntRange(1, 20).Draw(t, "prefix"))
				seq++
				ev := engine.CacheEvent{Seq: seq, Prefix: prefix, Tokens: int(prefix) * 100, Evicted: rapid.Bool().Draw(t, "evicted")}
				allEvents = append(allEvents, ev)
				if ev.Evicted {
					delete(cached, prefix)
				} else {
					cached[prefix] = ev.Tokens
				}
				if rapid.IntRange(0, 9).Draw(t, "lost") == 0 && seq > 1 {
					return
				}
				if e.CacheSeq() > 0 {
					lostEvents += int(seq - e.CacheSeq() - 1)
				}
				v.ApplyEvents("e", []engine.CacheEvent{ev, allEvents[0]})
				delete(lostWhenRecorded, prefix)
				if !ev.Evicted {
					lostWhenRecorded[prefix] = lostEvents
				}
			},
			"resync": func(t *rapid.T) {
				v.Resync("e", allEvents)
				lostEvents += resyncGenerations
				clear(lostWhenRecorded)
				for p := range cached {
					lostWhenRecorded[p] = lostEvents
				}
			},
			"": func(t *rapid.T) {
				for p := uint64(1); p <= 20; p++ {
					recordedAt, ok := lostWhenRecorded[p]
					want := 1.0
					for range lostEvents - recordedAt {
						want *= eventLossSurvival
					}
					got := v.Holders(p, c.t)
					if !ok || want < minProbability {
						if got.N != 0 {
							t.Fatalf("prefix %d has a holder without a recent event", p)
						}
						continue
					}
					if got.N != 1 || math.Abs(got.List[0].Probability-want) > 1e-9 || got.List[0].Tokens != int(p)*100 {
						t.Fatalf("prefix %d: holders %+v, want probability %v", p, got, want)
					}
				}
			},
		})
	})
}

func TestView_HolderProbabilityDecaysAndHoldersAreBounded(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	v := New(c.now)
	for i := range 6 {
		c.t = c.t.Add(time.Second)
		v.RecordCached(v.Endpoint(fmt.Sprint("e", i)), 7, 100)
	}
	g.Expect(v.Holders(7, c.t).N).To(Equal(maxHolders))
	initial := v.Holders(7, c.t).List[0].Probability
	g.Expect(v.Holders(7, c.t.Add(cacheHalfLife)).List[0].Probability).To(BeNumerically("~", initial/2, 0.01))
	g.Expect(v.Holders(7, c.t.Add(time.Hour)).N).To(BeZero())
	for p := range uint64(cacheShards * maxPrefixesPerShard * 2) {
		v.RecordCached(v.Endpoint("e0"), p, 1)
	}
	for i := range v.cache.shards {
		g.Expect(len(v.cache.shards[i].prefixes)).To(BeNumerically("<=", maxPrefixesPerShard))
	}
}

// TestAssigned_OneEntryPerEndpoint checks the assignment in a fleet of the largest
// intended size, and that every entry polls all endpoints of a small fleet.
func TestAssigned_OneEntryPerEndpoint(t *testing.T) {
	g := NewWithT(t)
	s := snapshot(4500)
	var entries []string
	for i := range 880 {
		entries = append(entries, fmt.Sprint("entry-", i))
	}
	polled, most := make(map[string]int), 0
	for _, self := range entries {
		assigned := Assigned(s.Endpoints, self, entries)
		most = max(most, len(assigned))
		for _, e := range assigned {
			polled[e.ID]++
		}
	}
	g.Expect(polled).To(HaveLen(4500))
	for _, n := range polled {
		g.Expect(n).To(Equal(1))
	}
	g.Expect(most).To(BeNumerically("<", 20))
	g.Expect(Assigned(snapshot(18).Endpoints, "entry-1", entries)).To(HaveLen(18))
}

// fakeSource returns the cache events in next, and counts the requests for all events.
type fakeSource struct {
	mu   sync.Mutex
	all  int
	next []engine.CacheEvent
}

func (f *fakeSource) Load(_ context.Context, addr string) (engine.Load, error) {
	return engine.Load{Running: 3, BatchLimit: 4}, nil
}

func (f *fakeSource) CacheEvents(_ context.Context, addr string, after uint64) ([]engine.CacheEvent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after == 0 {
		f.all++
	}
	return f.next, nil
}

func TestPoller_ResyncsAfterLostEvents(t *testing.T) {
	g := NewWithT(t)
	src := &fakeSource{next: []engine.CacheEvent{{Seq: 1, Prefix: 5, Tokens: 10}}}
	p := &Poller{View: New(newClock().now), Source: src, Self: "x", EntryIDs: func() []string { return []string{"x"} }}
	s := snapshot(1)
	p.Round(t.Context(), s)
	src.next = []engine.CacheEvent{{Seq: 9, Prefix: 6, Tokens: 10}}
	p.Round(t.Context(), s)
	g.Expect(p.View.Endpoint("e0").NeedsResync()).To(BeTrue())
	p.Round(t.Context(), s)
	g.Expect(p.View.Endpoint("e0").NeedsResync()).To(BeFalse())
	g.Expect(src.all).To(Equal(2))
	g.Expect(p.View.Endpoint("e0").Estimate(0)).To(Equal(Estimate{Load: 3, BatchLimit: 4}))
	g.Expect(p.View.Holders(5, newClock().t).N).To(BeZero(), "Resync removes prefixes that are not in the retained events")
	p.Round(t.Context(), snapshot(0))
	g.Expect(p.View.Len()).To(BeZero())
}

// BenchmarkDigest encodes and merges all partitions of 4,500 endpoints.
func BenchmarkDigest(b *testing.B) {
	v := New(time.Now)
	s := snapshot(4500)
	v.Sync(s)
	for _, e := range s.Endpoints {
		v.Report(e.ID, engine.Load{Running: 3, BatchLimit: 8})
	}
	total := 0
	for b.Loop() {
		total = 0
		for p := range Partitions {
			d := v.Digest(p)
			total += len(d)
			if err := v.Merge(d); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(total), "B/table")
}

// BenchmarkSync measures Sync with a snapshot of 4,500 endpoints.
func BenchmarkSync(b *testing.B) {
	v := New(time.Now)
	s := snapshot(4500)
	for b.Loop() {
		v.Sync(s)
	}
}
