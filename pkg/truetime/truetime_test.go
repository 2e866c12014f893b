package truetime

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAJumpOfOneClockDoesNotMoveTheEstimate(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := New(func() time.Time { return now })
	for i := range 4 {
		c.Observe(fmt.Sprint(i), now)
	}
	c.Observe("stepped", now.Add(2400*time.Millisecond))
	g.Expect(c.Now()).To(BeTemporally("==", now))

	// This instance's own clock jumps ahead; its steady clock is taken from the
	// same reading here, so the peers' readings age by the jump too.
	for i := range 4 {
		c.Observe(fmt.Sprint(i), now.Add(-2400*time.Millisecond))
	}
	g.Expect(c.Now()).To(BeTemporally("==", now.Add(-2400*time.Millisecond)))
}

func TestOldReadingsDoNotCount(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := New(func() time.Time { return now })
	c.Observe("a", now.Add(time.Hour))
	c.Observe("b", now.Add(time.Hour))
	now = now.Add(freshFor + time.Millisecond)
	g.Expect(c.Now()).To(BeTemporally("==", now))
}

func TestReadingsAge(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := New(func() time.Time { return now })
	c.Observe("a", now.Add(10*time.Second))
	c.Observe("b", now.Add(10*time.Second))
	now = now.Add(time.Second)
	g.Expect(c.Now()).To(BeTemporally("==", time.Unix(1011, 0)))
}
