package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the overlay network between peers.
const (
	// successorCount is the number of ring successors that a member monitors.
	successorCount = 2
	// maxFullMesh is the largest group in which leaving notices are sent to every member
	// directly, and all peers help with a probe.
	maxFullMesh = 8
	// fanOutBase is the ratio of the ring distances of consecutive fan-out targets
	// in larger groups.
	fanOutBase = 4
)

// ring holds the present members in the order of the hashes of their ids,
// rotated so that position 0 is the member itself.
type ring []Member

// newRing sorts members by the hash of their ids, starting with self.
func newRing(self string, members []Member) ring {
	type hashed struct {
		hash   uint64
		member Member
	}
	all := make([]hashed, len(members))
	for i, m := range members {
		all[i] = hashed{hash: xxhash.Sum64String(m.ID), member: m}
	}
	slices.SortFunc(all, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.member.ID, b.member.ID))
	})
	at := slices.IndexFunc(all, func(h hashed) bool { return h.member.ID == self })
	out := make(ring, len(all))
	for i := range all {
		out[i] = all[(at+i)%len(all)].member
	}
	return out
}

// successors returns the members that self monitors.
func (r ring) successors() []Member {
	return r[1:min(1+successorCount, len(r))]
}

// finger returns the member at ring distance 2^k, as in Chord; k rotates with the
// tick. Notes sent along the fingers reach all members in spreadTicks(n) ticks.
func (r ring) finger(tick uint64) (Member, bool) {
	if len(r) < 2 {
		return Member{}, false
	}
	step := 1 << (tick % uint64(spreadTicks(len(r))))
	return r[step%len(r)], true
}

// hasFinger reports whether a member is one of self's fingers.
func (r ring) hasFinger(id string) bool {
	for step := 1; step < len(r); step *= 2 {
		if r[step].ID == id {
			return true
		}
	}
	return false
}

// fanOut returns the targets of a notice that is sent at once, not with the next
// heartbeat. Every member relays a new notice to its own targets, so that it
// reaches each member over several paths.
func (r ring) fanOut() []Member {
	if len(r) <= maxFullMesh {
		return r[min(1, len(r)):]
	}
	var out []Member
	for step := 1; step < len(r); step *= fanOutBase {
		out = append(out, r[step])
	}
	return out
}

// spreadTicks returns the number of ticks in which a note spreads to n members.
func spreadTicks(n int) int {
	return max(1, bits.Len(uint(n-1)))
}
