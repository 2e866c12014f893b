package truetime

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestClock_IgnoresJumpOfOneClock(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := New(func() time.Time { return now })
	for i := range 4 {
		c.Observe(fmt.Sprint(i), now)
	}
	c.Observe("stepped", now.Add(2400*time.Millisecond))
	g.Expect(c.Now()).To(BeTemporally("==", now))

	// Now this instance's own clock is ahead of the clocks of all peers.
	for i := range 4 {
		c.Observe(fmt.Sprint(i), now.Add(-2400*time.Millisecond))
	}
	g.Expect(c.Now()).To(BeTemporally("==", now.Add(-2400*time.Millisecond)))
}

func TestClock_DropsOldReadings(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := New(func() time.Time { return now })
	c.Observe("a", now.Add(time.Hour))
	c.Observe("b", now.Add(time.Hour))
	now = now.Add(maxReadingAge + time.Millisecond)
	g.Expect(c.Now()).To(BeTemporally("==", now))
}

func TestClock_AdvancesReadingsByTheirAge(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := New(func() time.Time { return now })
	c.Observe("a", now.Add(10*time.Second))
	c.Observe("b", now.Add(10*time.Second))
	now = now.Add(time.Second)
	g.Expect(c.Now()).To(BeTemporally("==", time.Unix(1011, 0)))
}
