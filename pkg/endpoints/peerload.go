package endpoints

import (
	"sync"
	"time"
)

// expireInterval is the time between two looks for peers that have fallen silent.
const expireInterval = 500 * time.Millisecond

// PeerLoads sums what the peers have under way on each endpoint. It is safe
// for concurrent use.
type PeerLoads struct {
	table *Table
	now   func() time.Time
	// fresh is how long a peer's load counts after it was told.
	fresh func() time.Duration

	mu      sync.Mutex
	peers   map[string]peerLoad
	sums    map[string]Load
	expired time.Time
}

// peerLoad is what one peer has told.
type peerLoad struct {
	at    time.Time
	loads map[string]Load
}

// NewPeerLoads returns sums that are written to the endpoints of a table; fresh
// tells how long a peer's load counts.
func NewPeerLoads(t *Table, fresh func() time.Duration, now func() time.Time) *PeerLoads {
	return &PeerLoads{table: t, now: now, fresh: fresh, peers: make(map[string]peerLoad), sums: make(map[string]Load)}
}

// Heard takes a peer's work by endpoint.
func (p *PeerLoads) Update(peer string, loads map[string]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	touched := make(map[string]bool)
	p.drop(peer, touched)
	p.peers[peer] = peerLoad{at: now, loads: loads}
	for id, l := range loads {
		sum := p.sums[id]
		p.sums[id] = Load{Running: sum.Running + l.Running, Prompt: sum.Prompt + l.Prompt}
		touched[id] = true
	}
	if now.Sub(p.expired) >= expireInterval {
		p.expired = now
		p.expire(now, touched)
	}
	p.publish(touched)
}

// drop takes a peer's work out of the sums.
func (p *PeerLoads) drop(peer string, touched map[string]bool) {
	for id, l := range p.peers[peer].loads {
		sum := p.sums[id]
		p.sums[id] = Load{Running: sum.Running - l.Running, Prompt: sum.Prompt - l.Prompt}
		touched[id] = true
	}
	delete(p.peers, peer)
}

// expire drops the peers that have fallen silent.
func (p *PeerLoads) expire(now time.Time, touched map[string]bool) {
	fresh := p.fresh()
	for id, l := range p.peers {
		if now.Sub(l.at) > fresh {
			p.drop(id, touched)
		}
	}
}

// publish writes the sums that changed to their endpoints.
func (p *PeerLoads) publish(touched map[string]bool) {
	for id := range touched {
		sum := p.sums[id]
		if sum == (Load{}) {
			delete(p.sums, id)
		}
		if e, ok := p.table.ByID(id); ok {
			e.SetPeers(sum, p.now())
		}
	}
}
