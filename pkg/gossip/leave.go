package gossip

import (
	"context"
	"time"
)

const (
	// leaveMessages is the number of times that a leaving instance notifies all its
	// peers, since datagrams may be lost, and leaveMessageInterval the time between
	// two of these messages.
	leaveMessages        = 3
	leaveMessageInterval = 15 * time.Millisecond
)

// Leave notifies all peers that this instance is stopping, and sends its final state.
// The caller must admit nothing after it. It returns when the messages have been sent
// or the context ends.
func (n *Node) Leave(ctx context.Context) {
	sent := make(chan struct{})
	select {
	case n.leaveRequests <- sent:
	case <-ctx.Done():
		return
	}
	select {
	case <-sent:
	case <-ctx.Done():
	}
}

// announceLeaving sends the messages of Leave.
func (n *Node) announceLeaving(conn datagramWriter) {
	n.mu.Lock()
	n.isLeaving = true
	n.mu.Unlock()
	for range leaveMessages {
		message := n.message(nil)
		for _, p := range n.addresses() {
			n.write(conn, message, p)
		}
		time.Sleep(leaveMessageInterval)
	}
}

// removeLeaving removes a peer that is leaving from the members, even if it is still
// registered, so that nothing is reserved for it any more. The caller must hold mu.
func (n *Node) removeLeaving(id string, boot uint64) {
	n.leftBoots[id] = boot
	if _, ok := n.peers[id]; !ok {
		return
	}
	delete(n.peers, id)
	n.members = max(1, n.members-1)
	n.Log.Info("peer left", "peer", id, "members", n.members)
}

// hasLeft reports whether the peer has left under this boot number. The numbers are
// compared for equality only: a restarted peer may have a lower number, since the time of
// day may jump. The caller must hold mu.
func (n *Node) hasLeft(id string, boot uint64) bool {
	leftBoot, ok := n.leftBoots[id]
	return ok && boot == leftBoot
}

// HasLeft reports whether the peer has left under this boot number.
func (n *Node) HasLeft(id string, boot uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hasLeft(id, boot)
}
