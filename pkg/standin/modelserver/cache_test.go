package modelserver

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// TestCache_Invariants checks that the budget is kept, that all spans before a
// cached span are cached, and that the events match the content.
func TestCache_Invariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		c := newCache(60)
		parents := make(map[uint64]uint64)
		for range rapid.IntRange(1, 60).Draw(t, "conversations") {
			var list []span
			hash := uint64(0)
			for range rapid.IntRange(1, 5).Draw(t, "length") {
				next := hash*4 + uint64(rapid.IntRange(1, 3).Draw(t, "branch"))
				parents[next] = hash
				list = append(list, span{Hash: next, Tokens: 1 + int(next%11)})
				hash = next
			}
			if rapid.Bool().Draw(t, "put") {
				c.put(list)
			} else {
				g.Expect(c.match(list)).To(gomega.BeNumerically("<=", totalTokens(list)))
			}
			sum := 0
			for h, e := range c.spans {
				sum += e.Value.(cacheEntry).Tokens
				if p := parents[h]; p != 0 {
					g.Expect(c.has(p)).To(gomega.BeTrue(), "span %d without %d", h, p)
				}
			}
			g.Expect(sum).To(gomega.Equal(c.tokens))
			g.Expect(c.tokens).To(gomega.BeNumerically("<=", 60))
		}
		held := make(map[uint64]bool)
		for _, e := range c.eventsSince(0, 0, 0) {
			held[e.Prefix] = !e.Evicted
		}
		for h := range held {
			g.Expect(c.has(h)).To(gomega.Equal(held[h]))
		}
	})
}
