package endpoints

import (
	"sync"
	"time"
)

// peerLoadFresh is how long a peer's load counts after it was told.
const peerLoadFresh = 1500 * time.Millisecond

// PeerLoads sums what the peers have under way on each endpoint. It is safe
// for concurrent use.
type PeerLoads struct {
	table *Table
	now   func() time.Time

	mu    sync.Mutex
	peers map[string]peerLoad
}

// peerLoad is what one peer has told.
type peerLoad struct {
	at    time.Time
	loads map[string]Load
}

// NewPeerLoads returns sums that are written to the endpoints of a table.
func NewPeerLoads(t *Table, now func() time.Time) *PeerLoads {
	return &PeerLoads{table: t, now: now, peers: make(map[string]peerLoad)}
}

// Heard takes a peer's work by endpoint.
func (p *PeerLoads) Heard(peer string, loads map[string]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.peers[peer] = peerLoad{at: now, loads: loads}
	sums := make(map[string]Load)
	for id, l := range p.peers {
		if now.Sub(l.at) > peerLoadFresh {
			delete(p.peers, id)
			continue
		}
		for endpoint, load := range l.loads {
			sum := sums[endpoint]
			sums[endpoint] = Load{Running: sum.Running + load.Running, Prompt: sum.Prompt + load.Prompt}
		}
	}
	for _, e := range p.table.All() {
		e.SetPeers(sums[e.ID])
	}
}
