package sharedwatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// known is the time in which a change has to be known where watches are shared: a
// relay's longest watch, the time until followers miss it, and a call.
const known = maxHold + 500*time.Millisecond

// settled is the time after which the first watches, which followers make themselves,
// have ended.
const settled = 2 * aloneHold

// calm runs a fleet for a time in which an object changes now and then, and returns
// the calls to the store for each instance and second.
func calm(size int) float64 {
	var calls float64
	f := newFleet(size, allHeard)
	before := f.calls.Load()
	const seconds = 60
	for n := range seconds / 2 {
		f.put("x", fmt.Sprint(n))
		time.Sleep(2 * time.Second)
	}
	calls = float64(f.calls.Load()-before) / float64(size) / seconds
	f.end()
	return calls
}

// Guards against calls to the store that grow with the fleet: two waiting watches of
// each of 83 instances, all of them answered at each change, took up to 0.15 of the
// worth of a day.
func TestCallsToTheStoreDoNotGrowWithTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		small, large := calm(20), calm(83)
		g.Expect(large*83).To(BeNumerically("<", 1.6*small*20), "in all, of %.2f a second each and %.2f", small, large)
	})
}

func TestAllInstancesKnowAChangeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(83, allHeard)
		defer f.end()
		for n := range 20 {
			value := fmt.Sprint("v", n)
			f.put("x", value)
			time.Sleep(250 * time.Millisecond)
			g.Expect(f.knowing("x", value)).To(Equal(83), value)
			time.Sleep(time.Duration(n) * 137 * time.Millisecond)
		}
		f.put("x", "")
		time.Sleep(250 * time.Millisecond)
		g.Expect(f.knowing("x", "")).To(Equal(83), "the removal")
	})
}

// Guards against work for endpoints that have left, at instances that rely on relays
// which are cut off from the store.
func TestAChangeIsKnownThoughTheRelaysAreCutOff(t *testing.T) {
	for name, cut := range map[string]func(i *instance){
		"refused": func(i *instance) { i.cut.Store(true) },
		"silent":  func(i *instance) { i.hung.Store(true) },
		"deaf":    func(i *instance) { i.deaf.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(40, allHeard)
				defer f.end()
				time.Sleep(settled)
				for _, i := range f.instances[:relays] {
					cut(i)
				}
				f.put("x", "new")
				time.Sleep(known)
				for _, i := range f.instances[relays:] {
					g.Expect(i.has("x")).To(Equal("new"), "rank %d", i.rank)
				}
			})
		})
	}
}

func TestAnInstanceThatHearsNobodyWatchesTheStoreItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(40, allHeard)
		defer f.end()
		time.Sleep(settled)
		f.instances[30].deaf.Store(true)
		f.put("x", "new")
		time.Sleep(known)
		g.Expect(f.instances[30].has("x")).To(Equal("new"))
	})
}

// Guards against a storm of datagrams after a start of all instances: while nobody was
// heard each was the first of those that it heard, a relay, and told all others.
func TestNothingIsToldBeforeThePeersAreHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(100, allHeard)
		defer f.end()
		f.unheard.Store(true)
		time.Sleep(settled)
		before := f.told.Load()
		for n := range 10 {
			f.put("x", fmt.Sprint(n))
			time.Sleep(500 * time.Millisecond)
		}
		g.Expect(f.told.Load()).To(Equal(before))
		g.Expect(f.knowing("x", "9")).To(Equal(100))
	})
}

func TestAChangeThatIsTooLargeForADatagramIsReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(40, allHeard)
		defer f.end()
		time.Sleep(settled)
		large := noise(2 * maxBatchBytes)
		f.put("large", large)
		time.Sleep(250 * time.Millisecond)
		g.Expect(f.knowing("large", large)).To(Equal(40))
		f.put("small", "1")
		time.Sleep(250 * time.Millisecond)
		g.Expect(f.knowing("small", "1")).To(Equal(40))
	})
}

// noise returns text that can't be compressed to a half.
func noise(size int) string {
	random := rand.New(rand.NewPCG(1, 1))
	out := make([]byte, size)
	for i := range out {
		out[i] = 'a' + byte(random.IntN(26))
	}
	return string(out)
}

// TestManyChangesAtOnceFitIntoADatagram has the registrations of a whole data centre
// change at the same moment, which are alike.
func TestManyChangesAtOnceFitIntoADatagram(t *testing.T) {
	g := NewWithT(t)
	var changes objectstore.Changes
	for i := range 100 {
		changes.Objects = append(changes.Objects, objectstore.Object{
			Key: fmt.Sprintf("servers/i-%08x", i*7919), Version: uint64(i + 1),
			Value: []byte(fmt.Sprintf(`{"service":"medlarsill-pool","address":"10.5.64.%d:8144","zone":"subang","version":"v1","slots":12,"state":"draining","cold":0,"sequence":%d,"born":17648%08d}`, i, i*31, i*7919)),
		})
	}
	changes.Version = 100
	data, err := encode(newBatch("servers/", 1, changes))
	g.Expect(err).NotTo(HaveOccurred())
	b, err := decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Omitted).To(BeFalse())
	g.Expect(b.Objects).To(HaveLen(100))
}

func TestAStoreThatWentBackIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(40, allHeard)
		defer f.end()
		time.Sleep(settled)
		copied := f.store.Snapshot()
		f.put("lost", "1")
		time.Sleep(time.Second)
		f.store.RollBack(copied)
		f.put("later", "1")
		time.Sleep(known)
		g.Expect(f.knowing("later", "1")).To(Equal(40))
		g.Expect(f.knowing("lost", "")).To(Equal(40))
	})
}

// TestEveryInstanceEndsWithWhatTheStoreHolds is a property: whatever datagrams are
// lost and whoever is cut off, all instances that reach the store know its objects
// within a bounded time.
func TestEveryInstanceEndsWithWhatTheStoreHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		loss := rapid.Float64Range(0, 0.9).Draw(rt, "loss")
		changes := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 12).Draw(rt, "changes")
		cuts := rapid.SliceOfN(rapid.IntRange(0, 29), 0, 10).Draw(rt, "cuts")
		synctest.Test(t, func(*testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			f := newFleet(30, lossy(seed, loss))
			defer f.end()
			for n, key := range changes {
				f.put(fmt.Sprint("x", key), []string{"", fmt.Sprint(n)}[min(n%3, 1)])
				if n < len(cuts) {
					f.instances[cuts[n]].cut.Store(n%2 == 0)
					f.instances[cuts[n]].deaf.Store(n%4 == 1)
				}
				time.Sleep(time.Duration(random.IntN(900)) * time.Millisecond)
				synctest.Wait()
			}
			for _, i := range f.instances {
				i.cut.Store(false)
			}
			time.Sleep(aloneHold + known)
			synctest.Wait()
			for key := range 4 {
				name := fmt.Sprint("x", key)
				o, err := f.store.Get(t.Context(), prefix+name)
				want := ""
				if err == nil {
					want = string(o.Value)
				}
				if knowing := f.knowing(name, want); knowing != 30 {
					rt.Errorf("%d of 30 instances know that %s is %q", knowing, name, want)
				}
			}
		})
	})
}

func TestABatchSurvivesTheWire(t *testing.T) {
	g := NewWithT(t)
	in := newBatch("a/", 3, objectstore.Changes{Version: 9, Objects: []objectstore.Object{
		{Key: "a/1", Version: 4, Value: []byte("old")}, {Key: "a/2", Version: 5, Value: []byte("2")}, {Key: "a/1", Version: 8, Deleted: true},
	}})
	data, err := encode(in)
	g.Expect(err).NotTo(HaveOccurred())
	out, err := decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.objects()).To(Equal([]objectstore.Object{{Key: "a/2", Version: 5, Value: []byte("2")}, {Key: "a/1", Version: 8, Deleted: true}}), "the newest state of each key")
}

func FuzzDecode(f *testing.F) {
	data, _ := encode(Batch{Prefix: "a/", From: 1, To: 2})
	f.Add(data)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := decode(data)
		if err == nil && (b.Prefix == "" || b.From == 0 || b.To < b.From) {
			t.Fatal("a batch that says nothing was taken")
		}
	})
}
