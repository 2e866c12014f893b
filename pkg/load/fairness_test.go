package load

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// TestMaxMinShares checks the weighted max-min allocation: it distributes all
// served tokens, no workspace gets more than its demand, and a workspace that
// gets less has at least as much per weight as any other.
func TestMaxMinShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		list := make([]WorkspaceSummary, rapid.IntRange(1, 6).Draw(t, "workspaces"))
		served := 0.0
		for i := range list {
			w := &list[i]
			w.Weight = rapid.IntRange(1, 4).Draw(t, "weight")
			w.DemandedTokens = rapid.IntRange(0, 1000).Draw(t, "demanded")
			w.ServedTokens = rapid.IntRange(0, w.DemandedTokens).Draw(t, "served")
			served += float64(w.ServedTokens)
		}
		fair := maxMinShares(list)
		sum := 0.0
		for i, w := range list {
			sum += fair[i]
			g.Expect(fair[i]).To(gomega.BeNumerically("<=", float64(w.DemandedTokens)+1e-6))
			if fair[i] > float64(w.DemandedTokens)-1e-6 {
				continue
			}
			for k, other := range list {
				g.Expect(fair[i] / float64(w.Weight)).To(gomega.BeNumerically(">=", fair[k]/float64(other.Weight)-1e-6))
			}
		}
		g.Expect(sum).To(gomega.BeNumerically("~", served, 1e-3))
		fillFairShares(list)
		g.Expect(jainIndex(list)).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 1+1e-9)))
	})
}
