package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// Members returns the number of instances, including this one.
func (n *Node) Members() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.members, len(n.peers)+1)
}

// MemberIDs returns the ids of all instances, including this one.
func (n *Node) MemberIDs() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	ids := make([]string, 0, len(n.peers)+1)
	ids = append(ids, n.ID)
	for id := range n.peers {
		ids = append(ids, id)
	}
	return ids
}

// PeerTimeout returns the time without a message after which a peer is unreachable.
func (n *Node) PeerTimeout() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peerTimeout()
}

// peerTimeout is PeerTimeout for a caller that holds mu.
func (n *Node) peerTimeout() time.Duration { return timeoutRounds * n.roundTime() }

// RoundTime returns the time in which every reachable peer sends one message.
func (n *Node) RoundTime() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roundTime()
}

// roundTime is RoundTime for a caller that holds mu.
func (n *Node) roundTime() time.Duration {
	return time.Duration(1+len(n.peers)/fanout(len(n.peers))) * Interval
}

// Rank returns this instance's position, from 0, among the ready reachable instances that reach the
// object store, in the order of a hash of their ids. It is 0 if no peer is reachable. An instance
// that is cut off from the store itself ranks after all others.
func (n *Node) Rank() int { return n.storeRank(func(p *peer) bool { return p.ready }) }

// WriterRank is Rank among all reachable instances, ready or not.
func (n *Node) WriterRank() int { return n.storeRank(func(*peer) bool { return true }) }

// storeRank returns this instance's position among the reachable peers that include selects and
// that reach the object store. Where at least half of the instances don't, it is the store that
// fails, and all count.
func (n *Node) storeRank(include func(p *peer) bool) int {
	if n.storeFails() {
		return n.rank(include)
	}
	if n.StoreCutOff() {
		return n.Members()
	}
	return n.rank(func(p *peer) bool { return include(p) && !p.storeCutOff })
}

// storeFails reports whether at least half of the reachable instances are cut off from the store.
func (n *Node) storeFails() bool {
	timeout := n.PeerTimeout()
	reachable, cutOff := 1, 0
	if n.StoreCutOff() {
		cutOff++
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		if n.Now().Sub(p.lastSeen) > timeout {
			continue
		}
		reachable++
		if p.storeCutOff {
			cutOff++
		}
	}
	return 2*cutOff >= reachable
}

// ReachableRank returns this instance's position among all reachable instances, ready
// or not.
func (n *Node) ReachableRank() int { return n.rank(func(*peer) bool { return true }) }

// rank returns this instance's position among the reachable peers that include selects.
func (n *Node) rank(include func(p *peer) bool) int {
	timeout := n.PeerTimeout()
	n.mu.Lock()
	defer n.mu.Unlock()
	own := rendezvous.Key(n.ID)
	rank := 0
	for id, p := range n.peers {
		if include(p) && n.Now().Sub(p.lastSeen) <= timeout && rendezvous.Key(id) < own {
			rank++
		}
	}
	return rank
}

// FirstWriters returns the ids of the first n instances that reach the object store, among this one
// and the reachable peers, in the order of a hash of their ids.
func (n *Node) FirstWriters(count int) []string {
	all := n.storeFails()
	ids := n.peerIDs(func(p *peer) bool { return all || !p.storeCutOff })
	if all || !n.StoreCutOff() {
		ids = append(ids, n.ID)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(rendezvous.Key(a), rendezvous.Key(b)) })
	return ids[:min(count, len(ids))]
}

// Owns reports whether this instance is the one, among itself and the reachable peers, that
// a key belongs to. Instances that reach the same peers agree on it.
func (n *Node) Owns(key uint64) bool {
	timeout := n.PeerTimeout()
	n.mu.Lock()
	defer n.mu.Unlock()
	own := rendezvous.HashWeight(key, rendezvous.Key(n.ID))
	for id, p := range n.peers {
		if n.Now().Sub(p.lastSeen) <= timeout && rendezvous.HashWeight(key, rendezvous.Key(id)) > own {
			return false
		}
	}
	return true
}

// ReachablePeerIDs returns the ids of the reachable peers.
func (n *Node) ReachablePeerIDs() []string { return n.peerIDs(func(*peer) bool { return true }) }

// peerIDs returns the ids of the reachable peers that include selects.
func (n *Node) peerIDs(include func(p *peer) bool) []string {
	timeout := n.PeerTimeout()
	n.mu.Lock()
	defer n.mu.Unlock()
	ids := make([]string, 0, len(n.peers))
	for id, p := range n.peers {
		if include(p) && n.Now().Sub(p.lastSeen) <= timeout {
			ids = append(ids, id)
		}
	}
	return ids
}

// Reaching returns the addresses to which requests for a service may be forwarded: those of the
// reachable ready peers that don't say that its endpoints are cut off.
func (n *Node) Reaching(service string) []string {
	timeout := n.PeerTimeout()
	n.mu.Lock()
	defer n.mu.Unlock()
	var addrs []string
	for _, p := range n.peers {
		if n.Now().Sub(p.lastSeen) <= timeout && p.ready && p.forwardPort != 0 && !slices.Contains(p.cutOff, service) {
			addrs = append(addrs, netip.AddrPortFrom(p.addr.Addr(), p.forwardPort).String())
		}
	}
	return addrs
}

// ReachablePeers returns the number of reachable peers.
func (n *Node) ReachablePeers() int { return len(n.ReachablePeerIDs()) }

// SeenWithin reports whether a message of a peer was received within the last d.
func (n *Node) SeenWithin(id string, d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[id]
	return ok && !p.lastSeen.IsZero() && n.Now().Sub(p.lastSeen) <= d
}

// SetMembers sets the registered instances, by id. Unregistered peers are removed if no
// message of them was received recently.
func (n *Node) SetMembers(list map[string]Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, m := range list {
		if id == n.ID || n.hasLeft(id, m.Boot) {
			continue
		}
		if p, ok := n.peers[id]; ok {
			p.addr = m.Addr
			continue
		}
		n.peers[id] = &peer{addr: m.Addr}
		n.queueNewPeer(m.Addr)
	}
	timeout := n.peerTimeout()
	for id, p := range n.peers {
		if _, ok := list[id]; !ok && n.Now().Sub(p.lastSeen) > timeout {
			delete(n.peers, id)
		}
	}
	n.members = len(n.peers) + 1
}
