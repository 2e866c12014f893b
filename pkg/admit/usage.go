package admit

import "time"

// UsageTTL is the age at which another entry's usage is no longer used.
const UsageTTL = 2 * time.Second

// Count is a number of requests of one flow.
type Count struct {
	Running int
	Waiting int
}

func (c Count) total() int { return c.Running + c.Waiting }

// FlowUsage is what one entry tells the others of a flow.
type FlowUsage struct {
	Service   string
	Workspace string
	Priority  int
	// Weight is the workspace's weight.
	Weight float64
	// Limit bounds the flow's running requests over all entries.
	Limit float64
	Count Count
}

// Usage is what one entry tells the others, several times a second.
type Usage struct {
	// Entry is the sender's id.
	Entry string
	Flows []FlowUsage
}

// peerUsage is the newest usage of one entry for one service.
type peerUsage struct {
	receivedAt time.Time
	flows      []FlowUsage
}

// peerUsages holds the other live entries; one without a usage is silent.
type peerUsages struct {
	byEntry    map[string]*peerUsage
	unreported int
	changed    bool
}

func newPeerUsages() peerUsages {
	return peerUsages{byEntry: make(map[string]*peerUsage)}
}

// set replaces the live entries. What a dead one has told is forgotten.
func (p *peerUsages) setLive(ids []string) {
	next := make(map[string]*peerUsage, len(ids))
	p.unreported = 0
	for _, id := range ids {
		next[id] = p.byEntry[id]
		if next[id] == nil {
			p.unreported++
		}
	}
	p.byEntry = next
	p.changed = true
}

// put takes a live entry's usage; others are ignored.
func (p *peerUsages) put(id string, u *peerUsage) {
	old, live := p.byEntry[id]
	if !live {
		return
	}
	if old == nil {
		p.unreported--
	}
	p.byEntry[id] = u
	p.changed = true
}

// expire makes entries silent whose usage is too old.
func (p *peerUsages) expire(now time.Time) {
	for id, u := range p.byEntry {
		if u != nil && now.Sub(u.receivedAt) > UsageTTL {
			p.byEntry[id] = nil
			p.unreported++
			p.changed = true
		}
	}
}

// knownShare is the share of the capacity that is not set aside for silent entries.
func (p *peerUsages) reportedShare() float64 {
	live := len(p.byEntry) + 1
	return float64(live-p.unreported) / float64(live)
}

// applyPeers sums what the other entries have told into the flows.
func (s *scheduler) applyPeers() {
	if !s.peers.changed {
		return
	}
	s.peers.changed = false
	for _, f := range s.order {
		f.peerCount = Count{}
	}
	for _, u := range s.peers.byEntry {
		if u == nil {
			continue
		}
		for i := range u.flows {
			s.addPeerUsage(&u.flows[i])
		}
	}
}

func (s *scheduler) addPeerUsage(u *FlowUsage) {
	key := flowKey{workspace: u.Workspace, priority: u.Priority}
	_, known := s.flows[key]
	f := s.flowOf(key)
	if !known {
		f.weight, f.limit = max(1, u.Weight), u.Limit
	}
	f.peerCount.Running += u.Count.Running
	f.peerCount.Waiting += u.Count.Waiting
}

// usage lists the flows of this entry that are not idle here.
func (s *scheduler) usage(service string) []FlowUsage {
	var out []FlowUsage
	for _, f := range s.order {
		if f.localCount() == 0 {
			continue
		}
		out = append(out, FlowUsage{
			Service: service, Workspace: f.key.workspace, Priority: f.key.priority, Weight: f.weight,
			Limit: min(f.limit, maxLimit), Count: Count{Running: f.running, Waiting: len(f.waiting)},
		})
	}
	return out
}

// maxLimit stands for no limit on the wire.
const maxLimit = 1 << 30
