//go:build knownred

package sharedwatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
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
