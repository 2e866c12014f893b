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
	ttl func() time.Duration

	mu         sync.Mutex
	peers      map[string]peerReport
	totals     map[string]Load
	lastExpiry time.Time
}

// peerLoad is what one peer has told.
type peerReport struct {
	receivedAt time.Time
	loads      map[string]Load
}

// NewPeerLoads returns sums that are written to the endpoints of a table; fresh
// tells how long a peer's load counts.
func NewPeerLoads(t *Table, ttl func() time.Duration, now func() time.Time) *PeerLoads {
	return &PeerLoads{table: t, now: now, ttl: ttl, peers: make(map[string]peerReport), totals: make(map[string]Load)}
}

// Heard takes a peer's work by endpoint.
func (p *PeerLoads) Update(peer string, loads map[string]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	changed := make(map[string]bool)
	p.subtract(peer, changed)
	p.peers[peer] = peerReport{receivedAt: now, loads: loads}
	for id, l := range loads {
		sum := p.totals[id]
		p.totals[id] = Load{Running: sum.Running + l.Running, Prompt: sum.Prompt + l.Prompt}
		changed[id] = true
	}
	if now.Sub(p.lastExpiry) >= expireInterval {
		p.lastExpiry = now
		p.expire(now, changed)
	}
	p.publish(changed)
}

// drop takes a peer's work out of the sums.
func (p *PeerLoads) subtract(peer string, changed map[string]bool) {
	for id, l := range p.peers[peer].loads {
		sum := p.totals[id]
		p.totals[id] = Load{Running: sum.Running - l.Running, Prompt: sum.Prompt - l.Prompt}
		changed[id] = true
	}
	delete(p.peers, peer)
}

// expire drops the peers that have fallen silent.
func (p *PeerLoads) expire(now time.Time, changed map[string]bool) {
	ttl := p.ttl()
	for id, l := range p.peers {
		if now.Sub(l.receivedAt) > ttl {
			p.subtract(id, changed)
		}
	}
}

// publish writes the sums that changed to their endpoints.
func (p *PeerLoads) publish(changed map[string]bool) {
	for id := range changed {
		sum := p.totals[id]
		if sum == (Load{}) {
			delete(p.totals, id)
		}
		if e, ok := p.table.ByID(id); ok {
			e.SetPeerLoad(sum, p.now())
		}
	}
}
