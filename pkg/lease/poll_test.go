package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func pollingMachine(self string) *Machine {
	n := 0
	return NewMachine(Config{
		Self: self, Duration: 3 * time.Second, Poll: 800 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 2)),
		WriteID: func() string { n++; return self + string(rune('0'+n)) },
	})
}

func TestMachine_PollingCandidateAcquiresExpiredLease(t *testing.T) {
	g := NewWithT(t)
	m := pollingMachine("b")
	now := time.Unix(0, 0)
	held := Stored{Record: Record{Holder: "a", Fence: 4, WriteID: "x"}, Version: 7}
	start := now
	for {
		a := m.Next(now, true)
		if a.Kind == Write {
			g.Expect(a.Record.Fence).To(BeEquivalentTo(5))
			g.Expect(a.Version).To(BeEquivalentTo(7))
			break
		}
		if a.Kind == Read {
			m.OnRead(now, held)
			continue
		}
		g.Expect(a.After).To(BeNumerically("<=", 800*time.Millisecond))
		now = now.Add(a.After)
	}
	g.Expect(now.Sub(start)).To(BeNumerically(">=", 3*time.Second), "not before the lease has expired")
	g.Expect(now.Sub(start)).To(BeNumerically("<", 3500*time.Millisecond), "soon after it has expired")
}

// A holder acquires its own lease again after an outage of the store without waiting: the
// record is unchanged, so no other process held the lease in between.
func TestMachine_HolderReacquiresOwnLeaseAfterOutage(t *testing.T) {
	g := NewWithT(t)
	m := pollingMachine("a")
	now := time.Unix(0, 0)
	m.OnRead(now, Stored{})
	a := m.Next(now.Add(time.Second), true)
	g.Expect(a.Kind).To(Equal(Write))
	now = now.Add(time.Second)
	m.OnWritten(now, Stored{Record: a.Record, Version: 1})
	fence, _, ok := m.Held(now)
	g.Expect(ok).To(BeTrue())

	now = now.Add(20 * time.Second)
	_, _, ok = m.Held(now)
	g.Expect(ok).To(BeFalse())
	m.OnUnknown(now)
	now = now.Add(2 * time.Second)
	g.Expect(m.Next(now, true).Kind).To(Equal(Read))
	g.Expect(m.WasLastHolder(now)).To(BeTrue(), "the last holder reads the lease whatever its rank")
	m.OnRead(now, Stored{Record: a.Record, Version: 1})
	again := m.Next(now, true)
	g.Expect(again.Kind).To(Equal(Write), "no wait for the expiry")
	g.Expect(again.Record.Fence).To(Equal(fence + 1))
}

// A restarted process needn't wait until the lease that it held before expires, since only
// one process runs on an instance at a time.
func TestMachine_RestartedHolderReacquiresImmediately(t *testing.T) {
	g := NewWithT(t)
	m := pollingMachine("a/2")
	m.Owner = "a"
	now := time.Unix(0, 0)
	m.OnRead(now, Stored{Record: Record{Holder: "a/1", Owner: "a", Fence: 4, WriteID: "x"}, Version: 7})
	g.Expect(m.WasLastHolder(now)).To(BeTrue())
	a := m.Next(now, true)
	g.Expect(a.Kind).To(Equal(Write))
	g.Expect(a.Record.Fence).To(BeEquivalentTo(5))

	other := pollingMachine("b/1")
	other.Owner = "b"
	other.OnRead(now, Stored{Record: Record{Holder: "a/1", Owner: "a", Fence: 4, WriteID: "x"}, Version: 7})
	g.Expect(other.WasLastHolder(now)).To(BeFalse())
	g.Expect(other.Next(now, true).Kind).NotTo(Equal(Write))
}
