package endpoints

import (
	"sync"
	"time"
)

// expireInterval is the minimum time between two checks for expired peer reports.
const expireInterval = 500 * time.Millisecond

// PeerLoads sums the load that the peers have placed on each endpoint. It is safe for
// concurrent use.
type PeerLoads struct {
	table *Table
	now   func() time.Time
	// ttl returns how long a peer's report is used after it was received.
	ttl func() time.Duration

	mu         sync.Mutex
	peers      map[string]peerReport
	totals     map[string]Load
	lastExpiry time.Time
}

// peerReport is the newest report of one peer: its load by endpoint.
type peerReport struct {
	receivedAt time.Time
	loads      map[string]Load
}

// NewPeerLoads returns a PeerLoads that writes the sums to the endpoints of a table. ttl
// returns how long a peer's report is used.
func NewPeerLoads(t *Table, ttl func() time.Duration, now func() time.Time) *PeerLoads {
	return &PeerLoads{table: t, now: now, ttl: ttl, peers: make(map[string]peerReport), totals: make(map[string]Load)}
}

// Update replaces a peer's load by endpoint and drops expired reports.
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

// subtract removes a peer's report from the totals.
func (p *PeerLoads) subtract(peer string, changed map[string]bool) {
	for id, l := range p.peers[peer].loads {
		sum := p.totals[id]
		p.totals[id] = Load{Running: sum.Running - l.Running, Prompt: sum.Prompt - l.Prompt}
		changed[id] = true
	}
	delete(p.peers, peer)
}

// expire removes the reports older than the TTL.
func (p *PeerLoads) expire(now time.Time, changed map[string]bool) {
	ttl := p.ttl()
	for id, report := range p.peers {
		if now.Sub(report.receivedAt) > ttl {
			p.subtract(id, changed)
		}
	}
}

// publish writes the changed totals to their endpoints.
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
