package sharedwatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against followers that keep an old configuration, although the store answers them, while all relays
// that are left receive the change slowly and confirm their old position meanwhile.
func TestStore_FollowersReadChangeThatRelaysReceiveSlowly(t *testing.T) {
	for name, ended := range map[string]int{"all relays slow": 0, "one slow relay left": relayCount - 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleetWithDelay(40, 3*time.Second)
				defer f.shutdown()
				time.Sleep(settleTime)
				for rank, i := range f.instances[:relayCount] {
					i.responseTime.Store(int64(8 * time.Second))
					i.storeDown.Store(rank < ended)
					i.isolated.Store(rank < ended)
				}
				f.put("x", "new")
				time.Sleep(3 * time.Second)
				for _, i := range f.instances[relayCount:] {
					g.Expect(i.value("x")).To(Equal("new"), "rank %d", i.rank)
				}
			})
		})
	}
}
