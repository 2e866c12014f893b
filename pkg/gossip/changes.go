package gossip

import (
	"net"
	"net/netip"
)

// BroadcastChanges queues changes from a watch of the object store for immediate
// sending to all peers. It doesn't block: if the queue is full, the changes are dropped
// and logged, which peers tolerate as they tolerate a lost datagram.
func (n *Node) BroadcastChanges(changes []byte) {
	select {
	case n.changes <- changes:
	default:
		n.Log.Warn("failed to broadcast changes", "reason", "send queue full")
	}
}

// sendChanges sends all peers a message that holds only changes.
func (n *Node) sendChanges(conn *net.UDPConn, changes []byte) {
	data, err := encode(Message{ID: n.ID, Boot: n.Boot, Changes: changes})
	if err != nil {
		n.Log.Error("failed to broadcast changes", "error", err.Error())
		return
	}
	for _, addr := range n.peerAddrs() {
		write(conn, data, addr)
	}
}

// receiveChanges passes on the changes in a peer's message. A message with an unknown
// sender, boot number or address is ignored, since changes name endpoints to send
// requests to.
func (n *Node) receiveChanges(m Message, from netip.AddrPort) {
	if !n.fromKnownPeer(m, from) {
		n.Log.Warn("ignoring changes from unknown sender", "sender", m.ID, "from", from.String(), "reason", "no known peer with this boot number and address")
		return
	}
	n.OnChanges(m.Changes)
}

// fromKnownPeer reports whether a message has the newest known boot number of its sender
// and comes from the sender's address.
func (n *Node) fromKnownPeer(m Message, from netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[m.ID]
	return ok && p.boot == m.Boot && p.addr == from
}
