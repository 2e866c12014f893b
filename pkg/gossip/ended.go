package gossip

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// probeTimeout limits one round of probes.
	probeTimeout = 100 * time.Millisecond
	// minProbeInterval is the shortest time between two rounds of probes.
	minProbeInterval = 500 * time.Millisecond
	// maxProbes is the number of peers that one round probes at most.
	maxProbes = 64
)

// probing is the state of the probes that find peers whose processes have ended.
type probing struct {
	mu sync.Mutex
	// done is closed when the newest round has ended; nil before the first. startedAt is when it began.
	done      chan struct{}
	startedAt time.Time
}

// FindEnded probes the peers, those first that have been silent for longest, and returns when it is
// known which of them have ended, or the context ends. Calls at the same time share one round, and
// those just after a round its result.
func (n *Node) FindEnded(ctx context.Context) {
	select {
	case <-n.probeRound():
	case <-ctx.Done():
	}
}

// probeRound returns a channel that is closed when the newest round of probes has ended. It begins
// one if the last one is old.
func (n *Node) probeRound() <-chan struct{} {
	n.probes.mu.Lock()
	defer n.probes.mu.Unlock()
	if n.probes.done != nil && n.Now().Sub(n.probes.startedAt) < minProbeInterval {
		return n.probes.done
	}
	done := make(chan struct{})
	n.probes.done, n.probes.startedAt = done, n.Now()
	go func() {
		defer close(done)
		n.probePeers(n.suspects())
	}()
	return done
}

// suspect is a peer to probe.
type suspect struct {
	id       string
	addr     netip.AddrPort
	lastSeen time.Time
}

// suspects returns the peers to probe in one round.
func (n *Node) suspects() []suspect {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]suspect, 0, len(n.peers))
	for id, p := range n.peers {
		if !p.ended && p.addr.IsValid() {
			list = append(list, suspect{id: id, addr: p.addr, lastSeen: p.lastSeen})
		}
	}
	slices.SortFunc(list, func(a, b suspect) int { return a.lastSeen.Compare(b.lastSeen) })
	return list[:min(maxProbes, len(list))]
}

// probePeers probes peers at the same time and records which of them have ended.
func (n *Node) probePeers(list []suspect) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range list {
		wg.Go(func() {
			if n.HasEnded(ctx, s.addr) {
				n.recordEnded(s)
			}
		})
	}
	wg.Wait()
}

// recordEnded records that a peer's process has ended, unless a message of it has come since.
func (n *Node) recordEnded(s suspect) {
	n.mu.Lock()
	p, ok := n.peers[s.id]
	if !ok || p.ended || !p.lastSeen.Equal(s.lastSeen) {
		n.mu.Unlock()
		return
	}
	p.ended, p.unreachable, p.lastSeen = true, true, time.Time{}
	n.mu.Unlock()
	n.Log.Warn("peer ended", "peer", s.id, "silent_ms", n.Now().Sub(s.lastSeen).Milliseconds())
	n.OnEnded(s.id)
}

// recordLives records that a peer's message was handled: it counts as a live member again.
func (n *Node) recordLives(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.peers[id]; ok {
		p.ended = false
	}
}

// LiveMemberIDs returns the ids of the instances, including this one, without those that are known
// to have ended.
func (n *Node) LiveMemberIDs() []string { return append([]string{n.ID}, n.LivePeerIDs()...) }

// LivePeerIDs returns the ids of the other instances, without those that are known to have ended.
func (n *Node) LivePeerIDs() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var ids []string
	for id, p := range n.peers {
		if !p.ended {
			ids = append(ids, id)
		}
	}
	return ids
}

// LiveMembers returns the number of instances, including this one, without those that are known to
// have ended.
func (n *Node) LiveMembers() int {
	members := n.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		if p.ended {
			members--
		}
	}
	return max(1, members)
}
