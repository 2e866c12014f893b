package relay_test

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/relay"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// TestAssemblerReordersAndDeduplicates feeds tokens of several attempts late,
// repeated and out of order, and checks that the output is exactly the answer.
func TestAssemblerReordersAndDeduplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		n := rapid.IntRange(1, 40).Draw(t, "length")
		answer := make([]engine.Token, n)
		for i := range answer {
			answer[i] = engine.Token{Index: i, Text: string(rune('a' + i%26))}
		}
		answer[n-1].Finish = engine.FinishStop
		var a relay.Assembler
		var got []engine.Token
		attempts := rapid.IntRange(1, 4).Draw(t, "attempts")
		for k := range attempts {
			id := string(rune('A' + k))
			a.Start(id)
			last := k == attempts-1
			order := rapid.Permutation(indices(a.Next(), n)).Draw(t, "order")
			if !last {
				order = order[:rapid.IntRange(0, len(order)).Draw(t, "cut")]
			}
			for _, i := range order {
				if rapid.Bool().Draw(t, "stale") {
					out, err := a.Accept("stale", engine.Token{Index: a.Next(), Text: "!"})
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(out).To(gomega.BeEmpty())
				}
				repeats := rapid.IntRange(1, 2).Draw(t, "repeats")
				for range repeats {
					out, err := a.Accept(id, answer[i])
					g.Expect(err).NotTo(gomega.HaveOccurred())
					got = append(got, out...)
				}
			}
			g.Expect(a.Done()).To(gomega.Equal(len(got) == n))
		}
		g.Expect(got).To(gomega.Equal(answer))
	})
}

// TestAssemblerLimitsBufferedTokens checks that a gap that is never filled leads to ErrGap.
func TestAssemblerLimitsBufferedTokens(t *testing.T) {
	g := gomega.NewWithT(t)
	var a relay.Assembler
	a.Start("a")
	for i := range relay.MaxBuffered {
		_, err := a.Accept("a", engine.Token{Index: i + 1})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	_, err := a.Accept("a", engine.Token{Index: relay.MaxBuffered + 1})
	g.Expect(err).To(gomega.MatchError(relay.ErrGap))
}

func indices(from, to int) []int {
	var out []int
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}
