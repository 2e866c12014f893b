package sharedwatch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// propagationTime is the time in which a change must reach all instances where watches
// are shared: a relay's longest watch, the time until followers notice a missing relay,
// and a call to the store.
const propagationTime = shortestMaxHold + 500*time.Millisecond

// settleTime is the time after which the first watches, which followers make directly,
// have ended.
const settleTime = 2 * defaultHold

// callRate runs a fleet while an object changes every two seconds, and returns the calls
// to the store per instance and second once the watches of the start have ended.
func callRate(size int) float64 {
	var calls float64
	f := newFleet(size, noLoss)
	time.Sleep(settleTime)
	before := f.calls.Load()
	const seconds = 60
	for n := range seconds / 2 {
		f.put("x", fmt.Sprint(n))
		time.Sleep(2 * time.Second)
	}
	calls = float64(f.calls.Load()-before) / float64(size) / seconds
	f.shutdown()
	return calls
}

// Guards against calls to the store that grow with the fleet: two waiting watches at
// each of 83 instances, all answered at each change, cost up to 0.15 of a day's value.
func TestStore_CallRateDoesNotGrowWithFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		small, large := callRate(20), callRate(83)
		g.Expect(large*83).To(BeNumerically("<", 1.6*small*20), "total call rate; %.2f and %.2f calls per second and instance", small, large)
	})
}

// Guards against a start of all instances in which each watches the store for itself until it
// has heard half of the others: with each registration that changes, all make a call.
func TestStore_WatchesWaitAtStartUntilTheyAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newIsolatedFleet(100)
		defer f.shutdown()
		for n := range 15 {
			f.put("x", fmt.Sprint(n))
			time.Sleep(100 * time.Millisecond)
		}
		f.isolated.Store(false)
		time.Sleep(settleTime)
		g.Expect(f.countWith("x", "14")).To(Equal(100))
		g.Expect(f.calls.Load()).To(BeNumerically("<", 4*100), "calls of 100 instances")
	})
}

func TestStore_PropagatesChangesToAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(83, noLoss)
		defer f.shutdown()
		for n := range 20 {
			value := fmt.Sprint("v", n)
			f.put("x", value)
			time.Sleep(250 * time.Millisecond)
			g.Expect(f.countWith("x", value)).To(Equal(83), value)
			time.Sleep(time.Duration(n) * 137 * time.Millisecond)
		}
		f.put("x", "")
		time.Sleep(250 * time.Millisecond)
		g.Expect(f.countWith("x", "")).To(Equal(83), "deletion")
	})
}

// Guards against stale endpoint lists at instances whose relays are all cut off from the
// store: they would send requests to endpoints that have left.
func TestStore_FollowersWatchDirectlyWhenRelaysFail(t *testing.T) {
	for name, isolate := range map[string]func(i *instance){
		"store unavailable": func(i *instance) { i.storeDown.Store(true) },
		"store hangs":       func(i *instance) { i.storeHung.Store(true) },
		"peers unreachable": func(i *instance) { i.isolated.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(40, noLoss)
				defer f.shutdown()
				time.Sleep(settleTime)
				for _, i := range f.instances[:relayCount] {
					isolate(i)
				}
				f.put("x", "new")
				time.Sleep(propagationTime)
				for _, i := range f.instances[relayCount:] {
					g.Expect(i.value("x")).To(Equal("new"), "rank %d", i.rank)
				}
			})
		})
	}
}

// Guards against relays that call the store more often than the bound of changes asks for, and
// against followers that notice the end of all relays too late for it.
func TestStore_RelaysWatchAsLongAsChangesMayTake(t *testing.T) {
	for _, maxDelay := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleetWithDelay(40, maxDelay)
			defer f.shutdown()
			time.Sleep(settleTime)
			before := f.calls.Load()
			time.Sleep(10 * time.Second)
			hold := min(max(maxDelay/2, time.Second), 2*time.Second)
			g.Expect(f.calls.Load()-before).To(BeNumerically("~", relayCount*10*time.Second/(hold*7/10), 16), "calls of %s", maxDelay)
			for _, i := range f.instances[:relayCount] {
				i.storeHung.Store(true)
				i.isolated.Store(true)
			}
			f.put("x", "new")
			time.Sleep(max(maxDelay, 2*time.Second))
			for _, i := range f.instances[relayCount:] {
				g.Expect(i.value("x")).To(Equal("new"), "rank %d", i.rank)
			}
		})
	}
}

func TestStore_IsolatedInstanceWatchesDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(40, noLoss)
		defer f.shutdown()
		time.Sleep(settleTime)
		f.instances[30].isolated.Store(true)
		f.put("x", "new")
		time.Sleep(propagationTime)
		g.Expect(f.instances[30].value("x")).To(Equal("new"))
	})
}

// Guards against a flood of datagrams after a start of all instances: while no peer is
// reachable, every instance has rank 0 and would act as a relay.
func TestStore_SendsNoBatchesUntilPeersAreReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(100, noLoss)
		defer f.shutdown()
		f.isolated.Store(true)
		time.Sleep(settleTime)
		before := f.batches.Load()
		for n := range 10 {
			f.put("x", fmt.Sprint(n))
			time.Sleep(500 * time.Millisecond)
		}
		g.Expect(f.batches.Load()).To(Equal(before))
		g.Expect(f.countWith("x", "9")).To(Equal(100))
	})
}

func TestStore_ReadsOversizedChangesDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(40, noLoss)
		defer f.shutdown()
		time.Sleep(settleTime)
		large := incompressible(2 * maxBatchBytes)
		f.put("large", large)
		time.Sleep(250 * time.Millisecond)
		g.Expect(f.countWith("large", large)).To(Equal(40))
		f.put("small", "1")
		time.Sleep(250 * time.Millisecond)
		g.Expect(f.countWith("small", "1")).To(Equal(40))
	})
}

// Guards against followers that miss a sound change which comes with odd ones: values of the
// largest size that compress to almost nothing.
func TestStore_FollowersKnowSoundChangeBesideOddOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(40, noLoss)
		defer f.shutdown()
		time.Sleep(settleTime)
		odd := strings.Repeat("[", objectstore.MaxValueBytes)
		for n := range 3 {
			sound := fmt.Sprint(n)
			f.put("odd-1", odd[n:])
			f.put("sound", sound)
			f.put("odd-2", odd[n:])
			time.Sleep(250 * time.Millisecond)
			g.Expect(f.countWith("sound", sound)).To(Equal(40))
			g.Expect(f.countWith("odd-1", odd[n:])).To(Equal(40))
			time.Sleep(time.Second)
		}
	})
}

// Guards against all instances reading a large object from the store at the same moment,
// whenever a small part of it changes.
func TestStore_SendsSmallChangeOfLargeObjectToFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(40, noLoss)
		defer f.shutdown()
		f.put("large", "{0}{"+incompressible(10*maxBatchBytes))
		time.Sleep(settleTime)
		time.Sleep(time.Second)
		reads := f.readBytes.Load()
		for n := range 5 {
			value := fmt.Sprintf("{%d}{", n+1) + incompressible(10*maxBatchBytes)
			f.put("large", value)
			time.Sleep(250 * time.Millisecond)
			g.Expect(f.countWith("large", value)).To(Equal(40))
			time.Sleep(time.Second)
		}
		g.Expect(f.readBytes.Load()-reads).To(BeNumerically("<", 5*(relayCount+1)*12*maxBatchBytes), "only the relays read the object")
	})
}

// Guards against an object that goes back to an older state, since a change that was read
// directly is followed by the batches before it.
func TestResolve_KeepsStateThatWasReadLater(t *testing.T) {
	g := NewWithT(t)
	store := memstore.New()
	s := New(Options{Store: store, Metrics: prometheus.NewRegistry(), Now: time.Now})
	known := newKnownValues()
	first, err := store.Create(t.Context(), "a/1", []byte("{1}{"+incompressible(largeValueBytes)))
	g.Expect(err).NotTo(HaveOccurred())
	second, err := store.Update(t.Context(), "a/1", []byte("{2}{"+incompressible(largeValueBytes)), first.Version)
	g.Expect(err).NotTo(HaveOccurred())
	read, err := s.resolve(t.Context(), known, []change{{Object: objectstore.Object{Key: "a/1", Version: first.Version}, unread: true}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal([]objectstore.Object{second}))
	read, err = s.resolve(t.Context(), known, []change{{Object: first}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(BeEmpty())
}

// incompressible returns text that can't be compressed to half its size.
func incompressible(size int) string {
	random := rand.New(rand.NewPCG(1, 1))
	out := make([]byte, size)
	for i := range out {
		out[i] = 'a' + byte(random.IntN(26))
	}
	return string(out)
}

// All registrations of a data centre, which are similar, may change at the same moment.
func TestEncode_HundredSimilarChangesFitInOneDatagram(t *testing.T) {
	g := NewWithT(t)
	var changes objectstore.Changes
	for i := range 100 {
		changes.Objects = append(changes.Objects, objectstore.Object{
			Key: fmt.Sprintf("servers/i-%08x", i*7919), Version: uint64(i + 1),
			Value: []byte(fmt.Sprintf(`{"service":"medlarsill-pool","address":"10.5.64.%d:8144","zone":"subang","version":"v1","slots":12,"state":"draining","cold":0,"sequence":%d,"born":17648%08d}`, i, i*31, i*7919)),
		})
	}
	changes.Version = 100
	data, err := encode(newBatch("servers/", 1, changes), newKnownValues())
	g.Expect(err).NotTo(HaveOccurred())
	b, err := decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Omitted).To(BeFalse())
	g.Expect(b.Objects).To(HaveLen(100))
}

func TestStore_RereadsAfterRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(40, noLoss)
		defer f.shutdown()
		time.Sleep(settleTime)
		copied := f.store.Snapshot()
		f.put("lost", "1")
		time.Sleep(time.Second)
		f.store.RollBack(copied)
		f.put("later", "1")
		time.Sleep(propagationTime)
		g.Expect(f.countWith("later", "1")).To(Equal(40))
		g.Expect(f.countWith("lost", "")).To(Equal(40))
	})
}

// Property: whatever datagrams are lost and whichever instances are cut off, all
// instances that reach the store have its objects within a bounded time.
func TestStore_AllInstancesConvergeUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		loss := rapid.Float64Range(0, 0.9).Draw(rt, "loss")
		changes := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 12).Draw(rt, "changes")
		// Large values change in a small part, so that they are sent as deltas.
		large := rapid.SampledFrom([][]string{{""}, {incompressible(3 * maxBatchBytes)}, {"", incompressible(3 * maxBatchBytes)}}).Draw(rt, "large")
		cutOff := rapid.SliceOfN(rapid.IntRange(0, 29), 0, 10).Draw(rt, "cuts")
		synctest.Test(t, func(*testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			f := newFleet(30, lossy(seed, loss))
			defer f.shutdown()
			for n, key := range changes {
				f.put(fmt.Sprint("x", key), []string{"", fmt.Sprint(n) + large[n%len(large)]}[min(n%3, 1)])
				if n < len(cutOff) {
					f.instances[cutOff[n]].storeDown.Store(n%2 == 0)
					f.instances[cutOff[n]].isolated.Store(n%4 == 1)
				}
				time.Sleep(time.Duration(random.IntN(900)) * time.Millisecond)
				synctest.Wait()
			}
			for _, i := range f.instances {
				i.storeDown.Store(false)
			}
			time.Sleep(defaultHold + propagationTime)
			synctest.Wait()
			for _, i := range f.instances {
				if i.regressed {
					rt.Errorf("instance of rank %d went back to an older state", i.rank)
				}
			}
			for key := range 4 {
				name := fmt.Sprint("x", key)
				o, err := f.store.Get(t.Context(), prefix+name)
				want := ""
				if err == nil {
					want = string(o.Value)
				}
				if count := f.countWith(name, want); count != 30 {
					rt.Errorf("%d of 30 instances have %s = %q", count, name, want)
				}
			}
		})
	})
}

func TestBatch_EncodeDecodeRoundTrip(t *testing.T) {
	g := NewWithT(t)
	in := newBatch("a/", 3, objectstore.Changes{Version: 9, Objects: []objectstore.Object{
		{Key: "a/1", Version: 4, Value: []byte("old")}, {Key: "a/2", Version: 5, Value: []byte("2")}, {Key: "a/1", Version: 8, Deleted: true},
	}})
	data, err := encode(in, newKnownValues())
	g.Expect(err).NotTo(HaveOccurred())
	out, err := decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.Objects).To(Equal([]object{{Key: "a/2", Version: 5, Value: []byte("2")}, {Key: "a/1", Version: 8, Deleted: true}}), "the newest state of each key")
}

func FuzzDecode(f *testing.F) {
	data, _ := encode(Batch{Prefix: "a/", From: 1, To: 2}, newKnownValues())
	f.Add(data)
	f.Add([]byte{0xff})
	known := newKnownValues()
	known.record([]objectstore.Object{{Key: "a/1", Version: 1, Value: []byte("{1}{" + incompressible(2*maxBatchBytes))}})
	data, _ = encode(Batch{Prefix: "a/", From: 1, To: 2, Objects: []object{{Key: "a/1", Version: 2, Value: []byte("{2}{" + incompressible(2*maxBatchBytes))}}}, known)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := decode(data)
		if err == nil {
			changes, _ := b.changes()
			for _, c := range changes {
				_, _ = applyChange(known, c)
			}
		}
		if err == nil && (b.Prefix == "" || b.From == 0 || b.To < b.From) {
			t.Fatal("decode accepted an invalid batch")
		}
	})
}

// Guards against batches that their receivers can't decode, so that a change of a small object
// that comes with large ones of much the same bytes isn't known without a call to the store.
func TestEncode_ReceiversDecodeWhatIsSent(t *testing.T) {
	for name, c := range map[string]struct{ count, bytes int }{
		"one of the largest size": {1, objectstore.MaxValueBytes}, "two large ones": {2, 600 << 10}, "many small ones": {1000, 2 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sent := Batch{Prefix: "servers/", From: 1, To: 2000}
			for n := range c.count {
				sent.Objects = append(sent.Objects, object{Key: fmt.Sprint("servers/odd-", n), Version: uint64(n + 2), Value: bytes.Repeat([]byte("["), c.bytes)})
			}
			sent.Objects = append(sent.Objects, object{Key: "servers/sound", Version: 2000, Value: []byte(`{}`)})
			data, err := encode(sent, newKnownValues())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(data)).To(BeNumerically("<=", maxBatchBytes+512))
			received, err := decode(data)
			g.Expect(err).NotTo(HaveOccurred())
			changes, known := received.changes()
			if !known {
				return // followers watch the store directly
			}
			g.Expect(changes).To(HaveLen(c.count + 1))
			g.Expect(changes).To(ContainElement(HaveField("Object", objectstore.Object{Key: "servers/sound", Version: 2000, Value: []byte(`{}`)})))
		})
	}
}

// Guards against followers that take what relays confirm for older than it is, and so read from the
// store what they know: they are told several times a second, and never of a time at which
// a change wasn't known.
func TestStore_FollowersAreToldUpToWhenTheyKnowAllChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(40, noLoss)
		defer f.shutdown()
		time.Sleep(settleTime)
		follower := f.instances[30]
		var confirmed []time.Time
		var wrong atomic.Int64
		var putAt atomic.Pointer[time.Time]
		follower.store.options.Confirmed = func(_ string, at time.Time) {
			confirmed = append(confirmed, at)
			if put := putAt.Load(); put != nil && at.After(*put) && follower.value("x") != "new" {
				wrong.Add(1)
			}
		}
		time.Sleep(2 * followTimeout)
		longest := time.Duration(0)
		for n := range len(confirmed) - 1 {
			longest = max(longest, confirmed[n+1].Sub(confirmed[n]))
		}
		g.Expect(len(confirmed)).To(BeNumerically(">", 4))
		g.Expect(longest).To(BeNumerically("<=", shortestMaxHold))
		now := time.Now()
		f.put("x", "new")
		putAt.Store(&now)
		time.Sleep(2 * time.Second)
		g.Expect(wrong.Load()).To(BeZero())
	})
}
