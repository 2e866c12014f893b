package admit

import "time"

// UsageTTL is the age after which another entry's usage is no longer used.
const UsageTTL = 2 * time.Second

// Count holds the numbers of requests of one flow.
type Count struct {
	Running int
	Waiting int
}

func (c Count) total() int { return c.Running + c.Waiting }

// FlowUsage is the usage of one flow at one entry, as sent to the other entries.
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

// Usage is the usage of one entry, which is sent to the others several times a second.
type Usage struct {
	// Entry is the sender's id.
	Entry string
	Flows []FlowUsage
}

// peerUsage is the newest usage of another entry for one service.
type peerUsage struct {
	receivedAt time.Time
	flows      []FlowUsage
}

// peerUsages holds the usages of the other live entries for one service.
type peerUsages struct {
	// byEntry holds nil for an entry whose usage is not known; unreported counts these.
	byEntry    map[string]*peerUsage
	unreported int
	// changed means that the peer counts of the flows are not up to date.
	changed bool
}

func newPeerUsages() peerUsages {
	return peerUsages{byEntry: make(map[string]*peerUsage)}
}

// setLive replaces the live entries and drops the usages of all others.
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

// put replaces the usage of a live entry. It ignores entries that are not live.
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

// expire drops the usages that are older than UsageTTL.
func (p *peerUsages) expire(now time.Time) {
	for id, u := range p.byEntry {
		if u != nil && now.Sub(u.receivedAt) > UsageTTL {
			p.byEntry[id] = nil
			p.unreported++
			p.changed = true
		}
	}
}

// reportedShare returns the share of the capacity that is not reserved for entries whose
// usage is not known.
func (p *peerUsages) reportedShare() float64 {
	live := len(p.byEntry) + 1
	return float64(live-p.unreported) / float64(live)
}

// applyPeers recomputes the peer counts of the flows if a peer's usage has changed.
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

// usage returns the usage of the flows that have requests at this entry.
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

// maxLimit represents no limit in FlowUsage.Limit.
const maxLimit = 1 << 30
