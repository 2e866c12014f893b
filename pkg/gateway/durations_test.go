package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestDurations_ExpectWhatNearlyAllRequestsTake(t *testing.T) {
	g := NewWithT(t)
	var d durations
	g.Expect(d.expected("r")).To(BeZero(), "none was answered")
	d.record("r", time.Hour)
	g.Expect(d.expected("r")).To(Equal(time.Hour))
	for n := range durationSamples {
		d.record("r", time.Duration(n+1)*time.Second)
	}
	g.Expect(d.expected("r")).To(BeNumerically("~", durationSamples*95/100*time.Second, time.Second), "older ones are dropped")
	d.record("r", time.Hour)
	g.Expect(d.expected("r")).To(BeNumerically("<=", durationSamples*time.Second), "one slow request among many")
	g.Expect(d.expected("other")).To(BeZero())
	d.of("begun")
	g.Expect(d.expected("begun")).To(BeZero(), "the first duration is about to be recorded")
	for n := range 3 * maxDurationRoutes {
		d.record(fmt.Sprint("route-", n), time.Second)
	}
	kept := 0
	d.byRoute.Range(func(any, any) bool { kept++; return true })
	g.Expect(kept).To(BeNumerically("<=", maxDurationRoutes))
}
