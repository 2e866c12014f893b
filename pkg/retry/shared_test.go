package retry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestSharedBudget_LimitsRetriesAcrossInstances checks that the retries of all instances
// within a window do not exceed the share of the requests plus the extra, however
// requests and failures are distributed over the instances.
func TestSharedBudget_LimitsRetriesAcrossInstances(t *testing.T) {
	const share, extra = 0.2, 52.0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		now := time.Unix(0, 0)
		members := func() int { return n }
		all := make([]*SharedBudget, n)
		for i := range all {
			all[i] = NewSharedBudget(share, extra, members, func() time.Time { return now })
		}
		type second struct{ first, retries int }
		seconds := make([]second, 30)
		for s := range seconds {
			now = now.Add(time.Second)
			for range rapid.IntRange(0, 100).Draw(t, "requests") {
				b := all[rapid.IntRange(0, n-1).Draw(t, "instance")]
				b.RecordFirstSend("s1")
				seconds[s].first++
			}
			for range rapid.IntRange(0, 100).Draw(t, "failures") {
				if all[rapid.IntRange(0, n-1).Draw(t, "instance")].Allow("s1") {
					seconds[s].retries++
				}
			}
		}
		const window = 10
		for from := 0; from+window <= len(seconds); from++ {
			first, retries := 0, 0
			for _, s := range seconds[from : from+window] {
				first += s.first
				retries += s.retries
			}
			if float64(retries) > share*float64(first)+extra {
				t.Fatalf("%d retries of %d requests by %d instances exceed the budget", retries, first, n)
			}
		}
	})
}

func TestSharedBudget_ServicesAreIndependent(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := NewSharedBudget(0.2, 4, func() int { return 1 }, func() time.Time { return now })
	for s.Allow("s1") {
	}
	g.Expect(s.Allow("s1")).To(BeFalse())
	g.Expect(s.Allow("s2")).To(BeTrue())
}

// Guards against a look at the budget that uses it up.
func TestSharedBudget_AvailableDeductsNothing(t *testing.T) {
	g := NewWithT(t)
	b := NewSharedBudget(0, 4, func() int { return 1 }, func() time.Time { return time.Unix(1, 0) })
	for range 10 {
		g.Expect(b.Available("s1")).To(BeTrue())
	}
	g.Expect(b.Allow("s1")).To(BeTrue())
	g.Expect(b.Available("s1")).To(BeFalse())
	g.Expect(b.Allow("s1")).To(BeFalse())
}
