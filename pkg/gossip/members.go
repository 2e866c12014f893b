package gossip

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// Members is the number of instances that exist, this one included.
func (n *Node) Members() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.members, len(n.peers)+1)
}

// Silence is how long a living peer may stay unheard.
func (n *Node) PeerTimeout() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	turns := 1 + len(n.peers)/fanout(len(n.peers))
	return time.Duration(lostIntervals*turns) * Interval
}

// Rank is this instance's place among the ready ones that are heard, by a hash of
// their ids; 0 is the first. An instance that hears nobody is the first.
func (n *Node) Rank() int { return n.rank(func(p *peer) bool { return p.ready }) }

// HeardRank is this instance's place among all that are heard, ready or not.
func (n *Node) ReachableRank() int { return n.rank(func(*peer) bool { return true }) }

// rank is this instance's place among those peers that are heard and counted.
func (n *Node) rank(counts func(p *peer) bool) int {
	silence := n.PeerTimeout()
	n.mu.Lock()
	defer n.mu.Unlock()
	own := rendezvous.Key(n.ID)
	rank := 0
	for id, p := range n.peers {
		if counts(p) && n.Now().Sub(p.heard) <= silence && rendezvous.Key(id) < own {
			rank++
		}
	}
	return rank
}

// PeersHeard is the number of peers that aren't silent.
func (n *Node) ReachablePeers() int {
	silence := n.PeerTimeout()
	n.mu.Lock()
	defer n.mu.Unlock()
	heard := 0
	for _, p := range n.peers {
		if n.Now().Sub(p.heard) <= silence {
			heard++
		}
	}
	return heard
}

// HeardWithin tells whether a peer was heard in a time before now.
func (n *Node) HeardWithin(id string, d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[id]
	return ok && !p.heard.IsZero() && n.Now().Sub(p.heard) <= d
}

// SetMembers takes the registered instances by id. Others are forgotten.
func (n *Node) SetMembers(list map[string]Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, m := range list {
		if id == n.ID || n.hasDeparted(id, m.Boot) {
			continue
		}
		if p, ok := n.peers[id]; ok {
			p.addr = m.Addr
			continue
		}
		n.peers[id] = &peer{addr: m.Addr}
		n.greet(m.Addr)
	}
	silent := time.Duration(lostIntervals) * Interval
	for id, p := range n.peers {
		if _, ok := list[id]; !ok && n.Now().Sub(p.heard) > silent {
			delete(n.peers, id)
		}
	}
	n.members = len(n.peers) + 1
}
