package gossip

import "net"

// Tell sends what a watch of the object store has shown to all peers at once. It
// doesn't block: what can't be sent is as good as a lost datagram, and logged.
func (n *Node) Tell(changes []byte) {
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
