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

func TestEventIDsOfWholeEvents(t *testing.T) {
	g := NewWithT(t)
	first, last, count := eventIDs([]byte("id: 3\ndata: a\n\nid:4\ndata: id: 9\n\n: a comment\n\n"))
	g.Expect([]string{first, last}).To(Equal([]string{"3", "4"}))
	g.Expect(count).To(Equal(2))
	first, last, count = eventIDs([]byte("data: a\n\n"))
	g.Expect([]string{first, last}).To(Equal([]string{"", ""}))
	g.Expect(count).To(BeZero())
}

func TestOnlyTheNextEventFollows(t *testing.T) {
	g := NewWithT(t)
	g.Expect(follows("", "1")).To(BeTrue())
	g.Expect(follows("3", "4")).To(BeTrue())
	g.Expect(follows("3", "3")).To(BeFalse(), "a repeat")
	g.Expect(follows("3", "5")).To(BeFalse(), "one is missing")
	g.Expect(follows("3", "2")).To(BeFalse())
	g.Expect(follows("a", "b")).To(BeTrue(), "ids that aren't numbers can't be compared")
	g.Expect(follows("3", "")).To(BeTrue(), "events without an id")
}

func TestACallerThatComesAgainIsKnownByItsPatience(t *testing.T) {
	g := NewWithT(t)
	var p patience
	g.Expect(p.spent("r", 3*time.Second)).To(BeZero())
	g.Expect(p.spent("r", 3*time.Second-minSpent/2)).To(BeZero(), "the time on the way")
	g.Expect(p.spent("r", 2*time.Second)).To(BeNumerically("~", time.Second, 10*time.Millisecond))
	g.Expect(p.spent("other", time.Second)).To(BeZero())
	g.Expect(p.spent("r", 0)).To(BeZero(), "a caller that doesn't say")
}

// TestCallersThatDifferAreNotTakenForOnesThatComeAgain has callers that wait for
// very different times, and a few that come again with half of it.
func TestCallersThatDifferAreNotTakenForOnesThatComeAgain(t *testing.T) {
	g := NewWithT(t)
	var p patience
	random := rand.New(rand.NewPCG(1, 2))
	wrong, missed := 0, 0
	for i := range 2000 {
		first := 0.85 + 0.15*random.Float64()
		if i%20 == 19 {
			left := time.Duration(first * float64(4*time.Second))
			if p.spent("r", left) < time.Second {
				missed++
			}
			continue
		}
		if p.spent("r", time.Duration(first*float64(8*time.Second))) > 0 {
			wrong++
		}
	}
	g.Expect(wrong).To(BeNumerically("<", 60), "of 1900 that come for the first time")
	g.Expect(missed).To(BeNumerically("<", 5), "of 100 that come again")
}

// TestAfterAStartNobodyIsTakenForLate has the first requests of a route come at
// an instance that has just started, as after a loss of all instances.
func TestAfterAStartNobodyIsTakenForLate(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 4))
	wrong := 0
	for range 100 {
		var p patience
		for range 20 {
			if p.spent("r", time.Duration((0.85+0.15*random.Float64())*float64(8*time.Second))) > 0 {
				wrong++
			}
		}
	}
	g.Expect(wrong).To(BeZero(), "of 2000 that come for the first time")
}

// TestCallersThatComeBackAreDemand has callers that were refused come back: they ask
// for the work all the same. A further attempt of one request doesn't.
func TestCallersThatComeBackAreDemand(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	c := &call{table: routing.NewTable(routing.Config{}), route: &routing.Route{Name: "r1", Target: time.Second}, arrived: now, first: now.Add(-time.Second)}
	g.Expect(c.demand().Retry).To(BeFalse())
	c.avoidEndpoint("i-1")
	g.Expect(c.demand().Retry).To(BeTrue())
}

// TestPatienceNeverGrowsFromNothing is a property: what a caller is thought to
// have waited is never more than the longest patience less its own.
func TestPatienceNeverGrowsFromNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p patience
		longest := time.Duration(0)
		for _, ms := range rapid.SliceOf(rapid.IntRange(1, 20_000)).Draw(t, "patience") {
			left := time.Duration(ms) * time.Millisecond
			spent := p.spent("r", left)
			longest = max(longest, left)
			if spent < 0 || spent > longest-left {
				t.Fatalf("spent %v with %v left of at most %v", spent, left, longest)
			}
		}
	})
}
