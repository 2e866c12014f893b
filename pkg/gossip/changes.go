package gossip

import (
	"net/netip"

	"github.com/medlarsill/medlarsill/pkg/rollout"
)

// BroadcastChanges sends changes from a watch of the object store to all peers at once.
func (n *Node) BroadcastChanges(changes []byte) { n.broadcast(Message{Changes: changes}) }

// BroadcastCrashes sends a report of crashes to all peers at once.
func (n *Node) BroadcastCrashes(report []byte) { n.broadcast(Message{Crashes: report}) }

// broadcast queues a message for immediate sending to all peers. It doesn't block: if the
// queue is full, the message is dropped and logged, which peers tolerate as they tolerate
// a lost datagram.
func (n *Node) broadcast(m Message) {
	select {
	case n.broadcasts <- m:
	default:
		n.Log.Warn("failed to broadcast message", "reason", "send queue full")
	}
}

// sendToAll sends a message to all peers.
func (n *Node) sendToAll(conn datagramWriter, m Message) {
	m.ID, m.Boot = n.ID, n.Boot
	data, err := encode(m)
	if err != nil {
		n.Log.Error("failed to broadcast message", "error", err.Error())
		return
	}
	for _, p := range n.addresses() {
		n.write(conn, data, p)
	}
}

// directedMessage is a message to one peer.
type directedMessage struct {
	peer    string
	message Message
}

// SendStreams sends a message on streams to a peer. It doesn't block: if the queue is full, the
// message is dropped and logged, as datagrams may be lost anyway.
func (n *Node) SendStreams(peer string, data []byte) { n.send(peer, Message{Streams: data}) }

// SendStreamBatch sends streams to a peer that is to store them, as SendStreams does.
func (n *Node) SendStreamBatch(peer string, data []byte) { n.send(peer, Message{StreamBatch: data}) }

// SendRolloutReport sends a report to the instance that decides on rollouts, as SendStreams does.
func (n *Node) SendRolloutReport(peer string, r rollout.Report) {
	n.send(peer, Message{RolloutReport: &r})
}

// send queues a message to one peer.
func (n *Node) send(peer string, m Message) {
	select {
	case n.directed <- directedMessage{peer: peer, message: m}:
	default:
		n.Log.Warn("failed to send message to peer", "peer", peer, "reason", "send queue full")
	}
}

// sendTo sends a message to one peer, unless it has left meanwhile.
func (n *Node) sendTo(conn datagramWriter, d directedMessage) {
	n.mu.Lock()
	p, ok := n.peers[d.peer]
	var to peerAddress
	if ok {
		to = n.locate(p)
	}
	n.mu.Unlock()
	if !ok {
		return
	}
	d.message.ID, d.message.Boot = n.ID, n.Boot
	data, err := encode(d.message)
	if err != nil {
		n.Log.Error("failed to send message to peer", "peer", d.peer, "error", err.Error())
		return
	}
	n.write(conn, data, to)
}

// receiveBroadcast passes on what a peer has sent outside its regular messages. A message with an unknown sender,
// boot number or address is ignored, since it tells where requests may be sent.
func (n *Node) receiveBroadcast(m Message, from netip.AddrPort) {
	if !n.fromKnownPeer(m, from) {
		n.Log.Warn("ignoring broadcast from unknown sender", "sender", m.ID, "from", from.String(), "reason", "no known peer with this boot number and address")
		return
	}
	if m.Changes != nil {
		n.OnChanges(m.Changes)
	}
	if m.Crashes != nil {
		n.OnCrashes(m.Crashes)
	}
	if m.Streams != nil {
		n.OnStreams(m.ID, m.Streams)
	}
	if m.StreamBatch != nil {
		n.OnStreamBatch(m.StreamBatch)
	}
	if m.RolloutReport != nil && n.OnRolloutReport != nil {
		n.OnRolloutReport(m.ID, m.Boot, *m.RolloutReport)
	}
	if m.Accounts != nil {
		n.OnAccounts(m.Accounts)
	}
}

// fromKnownPeer reports whether a message has the newest known boot number of its sender
// and comes from the sender's address.
func (n *Node) fromKnownPeer(m Message, from netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[m.ID]
	return ok && p.boot == m.Boot && p.addr == from
}
