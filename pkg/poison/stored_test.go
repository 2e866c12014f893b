package poison

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

// runKeeper runs a keeper until the returned function is called, as the only instance does.
func runKeeper(t *testing.T, guard *Guard, store *memstore.Store) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	k := Keeper{Guard: guard, Store: store, StoreHistory: store.History, Writes: func() bool { return true }, Incomplete: func() bool { return false }, Log: guard.Log, TrueTime: time.Now}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = k.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// crashUnder records crashes of different processes under requests, a second apart.
func crashUnder(guard *Guard, first process, requests ...Request) {
	for n, r := range requests {
		guard.mu.Lock()
		guard.addCrash(first+process(n), []Request{r}, guard.Now())
		guard.mu.Unlock()
		time.Sleep(time.Second)
		guard.Tick()
	}
}

// Guards against a request that has crashed three endpoints when all processes are killed, and
// that then crashes as many again before it is known.
func TestKeeper_KeepsCrashesForAStartOfAllInstances(t *testing.T) {
	for _, before := range []int{2, 3} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			store := memstore.New()
			guard := newGuard(time.Now)
			stop := runKeeper(t, guard, store)
			bad := make([]Request, before)
			for n := range bad {
				bad[n] = partsOf(1)
			}
			crashUnder(guard, 1, bad...)
			stop()

			guard = newGuard(time.Now)
			stop = runKeeper(t, guard, store)
			time.Sleep(graceTime)
			crashUnder(guard, 10, bad[:4-before]...)
			g.Expect(guard.Check(partsOf(1)).Refused).To(BeTrue(), "%d crashes before the start, four in all", before)
			g.Expect(guard.Check(partsOf(2)).Refused).To(BeFalse())
			stop()
		})
	}
}

// Guards against a sound request that is held for the cause of crashes from before a start though
// it was answered since.
func TestKeeper_ClearsStoredCrashesOfAnsweredRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := memstore.New()
		guard := newGuard(time.Now)
		stop := runKeeper(t, guard, store)
		crashUnder(guard, 1, partsOf(1), partsOf(1), partsOf(1))
		guard.Survived(partsOf(1))
		time.Sleep(clearedInterval + saveInterval)
		stop()

		guard = newGuard(time.Now)
		stop = runKeeper(t, guard, store)
		time.Sleep(graceTime)
		crashUnder(guard, 10, partsOf(1))
		g.Expect(guard.Check(partsOf(1)).Refused).To(BeFalse())
		stop()
	})
}

// Guards against calls to the store with each crash: sound requests meet single ones by chance.
func TestKeeper_StoresNoCrashesUnderDifferentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := memstore.New()
		guard := newGuard(time.Now)
		stop := runKeeper(t, guard, store)
		var sound []Request
		for n := range 20 {
			sound = append(sound, partsOf(n, Trait(100+n/2)))
		}
		crashUnder(guard, 1, sound...)
		stop()
		calls := store.Calls()
		g.Expect(calls[memstore.OpCreate] + calls[memstore.OpUpdate]).To(BeZero())
	})
}

// Guards against an object that is larger than the store takes.
func TestSuspectedCrashes_AreBounded(t *testing.T) {
	g := NewWithT(t)
	guard := newGuard(func() time.Time { return start })
	parts := make([]Trait, maxParts)
	for n := range parts {
		parts[n] = Trait(1000 + n)
	}
	for n := range maxCrashes {
		var requests []Request
		for r := range maxRequests {
			requests = append(requests, partsOf(r, parts...))
		}
		guard.addCrash(process(n+1), requests, start)
	}
	list := guard.suspectedCrashes(start)
	g.Expect(len(list)).To(BeNumerically(">=", requestCrashes))
	data, err := encodeCrashes(list)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<", objectstore.MaxValueBytes/4))
	back, err := decodeCrashes(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back).To(HaveLen(len(list)))
}

func FuzzDecodeCrashes(f *testing.F) {
	data, _ := encodeCrashes([]storedCrash{{Process: 1, AtMS: 7, Requests: []Request{partsOf(1, 1)}}})
	f.Add(data)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := decodeCrashes(data)
		if err != nil {
			return
		}
		guard := newGuard(func() time.Time { return start })
		guard.mergeCrashes(list, start, true)
		guard.Tick()
		if len(guard.log.crashes) > maxCrashes {
			t.Fatal("more crashes than the limit")
		}
	})
}

// Guards against quarantined traits that are forgotten when the store was rolled back to before they
// were stored and all instances restart later: they were stored again only with the next change.
func TestKeeper_StoresTraitsAgainAfterRollback(t *testing.T) {
	for name, first := range map[string]bool{"the object is gone": true, "the object is older": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := memstore.New()
				guard := newGuard(time.Now)
				stop := runKeeper(t, guard, store)
				if !first {
					guard.Merge([]Entry{{Trait: 4, Epoch: 1, Probes: 1, ProbeInMS: 60_000}})
					time.Sleep(2 * saveInterval)
				}
				before := store.Snapshot()
				guard.Merge([]Entry{{Trait: 5, Epoch: 1, Probes: 1, ProbeInMS: 60_000}})
				time.Sleep(2 * saveInterval)
				store.RollBack(before)
				time.Sleep(3 * saveInterval)
				stop()

				guard = newGuard(time.Now)
				stop = runKeeper(t, guard, store)
				time.Sleep(2 * saveInterval)
				g.Expect(guard.Check(Request{Parts: []Trait{5}}).Refused).To(BeTrue())
				stop()
			})
		})
	}
}
