// Package rendezvous ranks nodes for a key by highest random weight. Processes that know
// the same nodes compute the same ranking, and adding or removing a node doesn't change the
// order of the others.
//
// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
// rates", IEEE/ACM Transactions on Networking, 1998.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a node for a key.
func Weight(key uint64, node string) uint64 {
	return mix(key ^ xxhash.Sum64String(node))
}

// HashWeight is Weight for a node name that was already hashed by Key.
func HashWeight(key, node uint64) uint64 {
	return mix(key ^ node)
}

// Key returns the hash of a text, as used by Weight and HashWeight.
func Key(text string) uint64 {
	return xxhash.Sum64String(text)
}

// Rank returns the nodes sorted by descending weight for a key, then by name.
func Rank(key string, nodes []string) []string { return RankHash(Key(key), nodes) }

// RankHash is Rank for a key that is a hash already.
func RankHash(k uint64, nodes []string) []string {
	type ranked struct {
		node   string
		weight uint64
	}
	all := make([]ranked, len(nodes))
	for i, n := range nodes {
		all[i] = ranked{node: n, weight: Weight(k, n)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
	})
	out := make([]string, len(all))
	for i, r := range all {
		out[i] = r.node
	}
	return out
}

// mix is the finalizer of SplitMix64. Source: Steele, Lea and Flood, "Fast
// splittable pseudorandom number generators", OOPSLA 2014.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
