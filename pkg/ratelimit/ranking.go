package ratelimit

import (
	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// ranking is the order in which the members are chosen to share the limit of an endpoint.
// It is another one for each endpoint.
type ranking struct {
	// self is the hash of this instance's id, and members holds those of all members.
	self    uint64
	members []uint64
}

func newRanking(m Membership) ranking {
	r := ranking{self: rendezvous.Key(m.Self), members: make([]uint64, 0, len(m.IDs))}
	for _, id := range m.IDs {
		r.members = append(r.members, rendezvous.Key(id))
	}
	return r
}

// rank returns this instance's position, from 0, for an endpoint.
func (r ranking) rank(k endpoints.Key) int {
	key := rendezvous.Key(k.ID)
	own := rendezvous.HashWeight(key, r.self)
	rank := 0
	for _, member := range r.members {
		if rendezvous.HashWeight(key, member) > own {
			rank++
		}
	}
	return rank
}

// hash returns a hash of the members that doesn't depend on their order.
func (r ranking) hash() uint64 {
	var sum uint64
	for _, member := range r.members {
		sum += rendezvous.HashWeight(0, member)
	}
	return sum
}
