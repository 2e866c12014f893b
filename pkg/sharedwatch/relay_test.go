package sharedwatch

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// relayFaults are the ways in which a relay may be without the store.
var relayFaults = map[string]func(i *instance, failing bool){
	"store unavailable": func(i *instance, failing bool) { i.storeDown.Store(failing) },
	"store hangs":       func(i *instance, failing bool) { i.storeHung.Store(failing) },
}

// Guards against a relay that serves an older configuration than all others for as long as its
// own calls to the store fail, though the other relays tell it of each change.
func TestStore_RelayFollowsOtherRelaysWhileItsCallsFail(t *testing.T) {
	for name, setFault := range relayFaults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(40, noLoss)
				defer f.shutdown()
				time.Sleep(settleTime)
				relay := f.instances[1]
				setFault(relay, true)
				for n := range 8 {
					value := fmt.Sprint("v", n)
					f.put("x", value)
					time.Sleep(propagationTime)
					g.Expect(relay.value("x")).To(Equal(value), "%s after the change", propagationTime)
					time.Sleep(time.Duration(n) * 331 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against a relay that, once its calls to the store succeed again, goes on as a follower:
// if the other relays fail then, no change is broadcast.
func TestStore_RelayBroadcastsAgainAfterItsCallsFailed(t *testing.T) {
	for name, setFault := range relayFaults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(40, noLoss)
				defer f.shutdown()
				time.Sleep(settleTime)
				setFault(f.instances[1], true)
				time.Sleep(5 * time.Second)
				setFault(f.instances[1], false)
				time.Sleep(settleTime)
				for _, rank := range []int{0, 2, 3} {
					setFault(f.instances[rank], true)
				}
				f.put("x", "new")
				time.Sleep(propagationTime)
				g.Expect(f.countWith("x", "new")).To(Equal(40))
			})
		})
	}
}

// Guards against a relay that was without the store and its peers for a moment, missed a call,
// and from then on asks only for the whole list, which it can't get, while the other relays
// broadcast each change.
func TestStore_RelayFollowsAgainAfterItWasCutOffFromAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(40, noLoss)
		defer f.shutdown()
		time.Sleep(settleTime)
		relay := f.instances[1]
		relay.storeDown.Store(true)
		relay.isolated.Store(true)
		time.Sleep(2 * time.Second)
		relay.isolated.Store(false)
		f.put("x", "new")
		time.Sleep(propagationTime)
		g.Expect(relay.value("x")).To(Equal("new"))
	})
}

// waitingStore is a store whose watches last until they are cancelled.
type waitingStore struct{ objectstore.Store }

// Watch implements objectstore.Store.
func (waitingStore) Watch(ctx context.Context, _ string, _ uint64) (objectstore.Changes, error) {
	<-ctx.Done()
	return objectstore.Changes{}, ctx.Err()
}

// Guards against a relay behind a slow link that is late with each change, though another one
// has broadcast it long before.
func TestStore_RelayTakesChangeThatItsOwnWatchIsLateWith(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(Options{
			Store: waitingStore{}, Rank: func() int { return 1 }, ReachablePeers: func() int { return 39 }, Members: func() int { return 40 },
			Broadcast: func([]byte) {}, Metrics: prometheus.NewRegistry(), Log: slog.New(slog.DiscardHandler), Now: time.Now,
		})
		data, err := encode(newBatch(prefix, 5, objectstore.Changes{Version: 6, Objects: []objectstore.Object{{Key: prefix + "x", Version: 6, Value: []byte("new")}}}), newKnownValues())
		g.Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(time.Second, func() { s.ReceiveBatch(data) })
		began := time.Now()
		c, err := s.Watch(t.Context(), prefix, 5)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(Equal(time.Second + relayPatience))
		g.Expect(c.Version).To(BeEquivalentTo(6))
		g.Expect(string(c.Objects[0].Value)).To(Equal("new"))
	})
}

// Guards against instances that take an outage of the store for one of their own calls alone:
// each would wait for the others, and none notice that the store is back.
func TestStore_AllRelaysNoticeTheEndOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(40, noLoss)
		defer f.shutdown()
		time.Sleep(settleTime)
		for n := range 6 {
			for _, i := range f.instances {
				i.storeDown.Store(true)
			}
			time.Sleep(time.Duration(n) * 400 * time.Millisecond)
			value := fmt.Sprint("v", n)
			f.put("x", value)
			for _, i := range f.instances {
				i.storeDown.Store(false)
			}
			time.Sleep(propagationTime)
			g.Expect(f.countWith("x", value)).To(Equal(40), "outage %d", n)
		}
	})
}
