package flight_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/flight"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

func TestFlight(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "flight", suite, reporter)
}

// TestLineageCoversOnlySharedTokens compares Covers with the tokens themselves:
// each token names the continuation that produced it.
func TestLineageCoversOnlySharedTokens(t *testing.T) {
	type branch struct {
		lineage flight.Lineage
		tokens  []string
	}
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		branches := []branch{{lineage: flight.Lineage{ID: "0"}}}
		for i := range rapid.IntRange(1, 24).Draw(t, "steps") {
			b := &branches[rapid.IntRange(0, len(branches)-1).Draw(t, "branch")]
			if rapid.Bool().Draw(t, "fork") {
				n := rapid.IntRange(0, len(b.tokens)).Draw(t, "copied")
				id := string(rune('a' + i))
				branches = append(branches, branch{lineage: b.lineage.Fork(id, n), tokens: append([]string(nil), b.tokens[:n]...)})
				continue
			}
			b.tokens = append(b.tokens, b.lineage.ID+string(rune('a'+i)))
		}
		for _, reader := range branches {
			for _, owner := range branches {
				for n := range min(len(reader.tokens), len(owner.tokens)) + 1 {
					if owner.lineage.Covers(reader.lineage.ID, n) {
						g.Expect(slices.Equal(reader.tokens[:n], owner.tokens[:n])).To(BeTrue(), "reader %v may continue with %v", reader, owner)
					}
				}
			}
		}
	})
}

var _ = Describe("Generation", func() {
	first := flight.Generation{1}

	It("ranks a new copy above the old one and all its descendants", func() {
		stale := first.NextOwner().NextCopy().NextCopy()
		Expect(first.NextCopy().Compare(stale)).To(Equal(1))
		Expect(stale.Compare(first)).To(Equal(1))
	})

	It("ranks a new owner above the copy that it continues", func() {
		Expect(first.NextOwner().Compare(first)).To(Equal(1))
	})

	It("does not modify the original generation", func() {
		_ = first.NextCopy()
		Expect(first).To(Equal(flight.Generation{1}))
	})
})

var _ = Describe("Registry", func() {
	now := time.Unix(1000, 0)
	var r *flight.Registry

	BeforeEach(func() { r = flight.NewRegistry(func() time.Time { return now }) })

	It("keeps one flight per id", func() {
		f := flight.New(flight.Job{ID: "w/1"}, "l")
		_, err := r.Add(f)
		Expect(err).NotTo(HaveOccurred())
		other := flight.New(flight.Job{ID: "w/1"}, "m")
		old, err := r.Add(other)
		Expect(err).To(MatchError(flight.ErrDuplicate))
		Expect(old).To(BeIdenticalTo(f))
		r.Remove(other)
		got, err := r.Get("w/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(BeIdenticalTo(f))
	})

	It("cancels flights without readers and removes ended ones after the retention", func() {
		f := flight.New(flight.Job{ID: "w/1"}, "l")
		var cause error
		f.SetCancel(func(err error) { cause = err })
		_, _ = r.Add(f)
		f.Attach(func() time.Time { return now })()
		now = now.Add(time.Minute)
		r.Sweep(10 * time.Second)
		Expect(cause).To(MatchError(flight.ErrAbandoned))
		_ = f.Log.Append([]engine.Token{{Finish: engine.FinishStop}})
		r.Sweep(10 * time.Second)
		now = now.Add(flight.Retention + time.Second)
		r.Sweep(10 * time.Second)
		_, err := r.Get("w/1")
		Expect(err).To(MatchError(flight.ErrNotFound))
	})

	It("does not cancel a flight that has a reader", func() {
		f := flight.New(flight.Job{ID: "w/1"}, "l")
		cancelled := false
		f.SetCancel(func(error) { cancelled = true })
		_, _ = r.Add(f)
		f.Attach(func() time.Time { return now })
		now = now.Add(time.Hour)
		r.Sweep(10 * time.Second)
		Expect(cancelled).To(BeFalse())
	})
})
