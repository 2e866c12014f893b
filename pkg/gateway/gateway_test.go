package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/routing"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

func TestEventIDs(t *testing.T) {
	g := NewWithT(t)
	first, last, count := eventIDs([]byte("id: 3\ndata: a\n\nid:4\ndata: id: 9\n\n: a comment\n\n"))
	g.Expect([]string{first, last}).To(Equal([]string{"3", "4"}))
	g.Expect(count).To(Equal(2))
	first, last, count = eventIDs([]byte("data: a\n\n"))
	g.Expect([]string{first, last}).To(Equal([]string{"", ""}))
	g.Expect(count).To(BeZero())
}

func TestFollows_AcceptsOnlyNextEventID(t *testing.T) {
	g := NewWithT(t)
	g.Expect(follows("", "1")).To(BeTrue())
	g.Expect(follows("3", "4")).To(BeTrue())
	g.Expect(follows("3", "3")).To(BeFalse(), "repeated event")
	g.Expect(follows("3", "5")).To(BeFalse(), "one event is missing")
	g.Expect(follows("3", "2")).To(BeFalse())
	g.Expect(follows("a", "b")).To(BeTrue(), "non-numeric ids can't be compared")
	g.Expect(follows("3", "")).To(BeTrue(), "events without id")
}

func TestRetryDetector_RecognisesShorterDeadline(t *testing.T) {
	g := NewWithT(t)
	var detector retryDetector
	g.Expect(detector.elapsed("r", 3*time.Second)).To(BeZero())
	g.Expect(detector.elapsed("r", 3*time.Second-minElapsed/2)).To(BeZero(), "network delay")
	g.Expect(detector.elapsed("r", 2*time.Second)).To(BeNumerically("~", time.Second, 10*time.Millisecond))
	g.Expect(detector.elapsed("other", time.Second)).To(BeZero())
	g.Expect(detector.elapsed("r", 0)).To(BeZero(), "caller without deadline")
}

// Guards against mistaking first requests for retries where deadlines vary widely.
// One request in 20 is a retry with half the deadline.
func TestRetryDetector_FewErrorsWithVaryingDeadlines(t *testing.T) {
	g := NewWithT(t)
	var detector retryDetector
	random := rand.New(rand.NewPCG(1, 2))
	falsePositives, missed := 0, 0
	for i := range 2000 {
		first := 0.85 + 0.15*random.Float64()
		if i%20 == 19 {
			left := time.Duration(first * float64(4*time.Second))
			if detector.elapsed("r", left) < time.Second {
				missed++
			}
			continue
		}
		if detector.elapsed("r", time.Duration(first*float64(8*time.Second))) > 0 {
			falsePositives++
		}
	}
	g.Expect(falsePositives).To(BeNumerically("<", 60), "of 1900 first requests")
	g.Expect(missed).To(BeNumerically("<", 5), "of 100 retries")
}

// Guards against mistaking the first requests of a route for retries on an instance
// that has just started, for example after the loss of all instances.
func TestRetryDetector_NoFalsePositivesAfterStart(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 4))
	falsePositives := 0
	for range 100 {
		var detector retryDetector
		for range 20 {
			if detector.elapsed("r", time.Duration((0.85+0.15*random.Float64())*float64(8*time.Second))) > 0 {
				falsePositives++
			}
		}
	}
	g.Expect(falsePositives).To(BeZero(), "of 2000 first requests")
}

// Guards against too low a measured demand: a request that a caller repeats after a
// refusal counts as demand; only a further attempt of the same request does not.
func TestPlacementRequest_RetryOnlyForFurtherAttempts(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	c := &call{table: routing.NewTable(routing.Config{}), route: &routing.Route{Name: "r1", Target: time.Second}, arrived: now, firstSent: now.Add(-time.Second)}
	g.Expect(c.placementRequest().Retry).To(BeFalse())
	c.exclude("i-1")
	g.Expect(c.placementRequest().Retry).To(BeTrue())
}

// Checks for random deadlines that the estimated wait of a caller is at most the
// longest deadline less its own.
func TestRetryDetector_ElapsedIsBoundedByLongestDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var detector retryDetector
		longest := time.Duration(0)
		for _, ms := range rapid.SliceOf(rapid.IntRange(1, 20_000)).Draw(t, "deadlines") {
			left := time.Duration(ms) * time.Millisecond
			elapsed := detector.elapsed("r", left)
			longest = max(longest, left)
			if elapsed < 0 || elapsed > longest-left {
				t.Fatalf("elapsed time is %v with %v left, longest deadline %v", elapsed, left, longest)
			}
		}
	})
}
