package rendezvous

// Ranking is the order of nodes by weight, for the position of one of them. It is another one
// for each key.
type Ranking struct {
	// self is the hash of the name of that node, and nodes holds those of all nodes.
	self  uint64
	nodes []uint64
}

// NewRanking returns the ranking of a node among all nodes, which include it.
func NewRanking(self string, all []string) Ranking {
	r := Ranking{self: Key(self), nodes: make([]uint64, 0, len(all))}
	for _, node := range all {
		r.nodes = append(r.nodes, Key(node))
	}
	return r
}

// Position returns the node's position, from 0, for a key.
func (r Ranking) Position(key uint64) int {
	own := HashWeight(key, r.self)
	position := 0
	for _, node := range r.nodes {
		if HashWeight(key, node) > own {
			position++
		}
	}
	return position
}

// Hash returns a hash of the nodes that doesn't depend on their order.
func (r Ranking) Hash() uint64 {
	var sum uint64
	for _, node := range r.nodes {
		sum += HashWeight(0, node)
	}
	return sum
}
