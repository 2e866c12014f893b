package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against nodes that compute different orders, and against an order that is the same
// for all keys.
func TestRanking_AgreesWithRank(t *testing.T) {
	g := NewWithT(t)
	nodes := []string{"a", "b", "c", "d", "e"}
	first := map[string]bool{}
	for n := range 50 {
		key := Key(fmt.Sprint("key-", n))
		ranked := RankHash(key, nodes)
		first[ranked[0]] = true
		for _, node := range nodes {
			g.Expect(NewRanking(node, nodes).Position(key)).To(Equal(slices.Index(ranked, node)))
		}
	}
	g.Expect(first).To(HaveLen(len(nodes)))
	g.Expect(NewRanking("a", []string{"a", "b"}).Hash()).To(Equal(NewRanking("b", []string{"b", "a"}).Hash()))
	g.Expect(NewRanking("a", []string{"a", "b"}).Hash()).NotTo(Equal(NewRanking("a", []string{"a", "c"}).Hash()))
}
