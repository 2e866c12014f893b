package gossip

import (
	"net"
	"net/netip"
)

// Tell sends what a watch of the object store has shown to all peers at once. It
// doesn't block: what can't be sent is as good as a lost datagram, and logged.
func (n *Node) BroadcastChanges(changes []byte) {
	select {
	case n.changes <- changes:
	default:
		n.Log.Warn("changes not told", "reason", "too many wait")
	}
}

// sendChanges sends a message that holds only changes.
func (n *Node) sendChanges(conn *net.UDPConn, changes []byte) {
	data, err := encode(Message{ID: n.ID, Boot: n.Boot, Changes: changes})
	if err != nil {
		n.Log.Error("changes not told", "error", err.Error())
		return
	}
	for _, addr := range n.all() {
		write(conn, data, addr)
	}
}

// takeChanges passes on the changes that a peer tells. Others than the start of a peer
// that was heard at that address aren't believed: changes name endpoints to use.
func (n *Node) takeChanges(m Message, from netip.AddrPort) {
	if !n.knows(m, from) {
		n.Log.Warn("changes ignored", "sender", m.ID, "from", from.String(), "reason", "not a peer that was heard there")
		return
	}
	n.OnChanges(m.Changes)
}

// knows tells whether a message comes from a peer's newest start at its address.
func (n *Node) knows(m Message, from netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[m.ID]
	return ok && p.boot == m.Boot && p.addr == from
}
