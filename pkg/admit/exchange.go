package admit

// Usage returns the usage that this entry sends to the others.
func (f *FairAdmitter) Usage() Usage {
	out := Usage{Entry: f.self}
	f.mu.RLock()
	defer f.mu.RUnlock()
	for name, s := range f.services {
		s.mu.Lock()
		out.Flows = append(out.Flows, s.scheduler.usage(name)...)
		s.mu.Unlock()
	}
	return out
}

// SetPeers replaces the list of live entries. An equal share of each capacity is reserved
// for a listed entry whose usage is not known.
func (f *FairAdmitter) SetPeers(ids []string) {
	f.mu.Lock()
	f.live = withoutSelf(ids, f.self)
	f.dropDeadUsages()
	live := f.live
	f.mu.Unlock()
	for _, s := range f.allServices() {
		s.mu.Lock()
		s.scheduler.peers.setLive(live)
		s.mu.Unlock()
	}
	f.updatePeerInFlight()
}

// Merge replaces another entry's usage, which is used until UsageTTL has passed.
func (f *FairAdmitter) Merge(u Usage) {
	byService := make(map[string][]FlowUsage)
	for _, flow := range u.Flows {
		byService[flow.Service] = append(byService[flow.Service], flow)
		f.service(flow.Service)
	}
	now := f.now()
	f.mu.Lock()
	f.usages[u.Entry] = u
	f.dropDeadUsages()
	f.mu.Unlock()
	f.mu.RLock()
	for name, s := range f.services {
		s.mu.Lock()
		s.scheduler.peers.put(u.Entry, &peerUsage{receivedAt: now, flows: byService[name]})
		s.scheduler.plan(now, true)
		s.scheduler.startWaiting(now)
		s.mu.Unlock()
	}
	f.mu.RUnlock()
	f.updatePeerInFlight()
}

// dropDeadUsages removes the usages of entries that are not live. The caller holds the lock.
func (f *FairAdmitter) dropDeadUsages() {
	live := make(map[string]bool, len(f.live))
	for _, id := range f.live {
		live[id] = true
	}
	for id := range f.usages {
		if !live[id] {
			delete(f.usages, id)
		}
	}
}

// updatePeerInFlight updates the accounts with the requests in flight at other entries.
func (f *FairAdmitter) updatePeerInFlight() {
	others := make(map[string]int)
	f.mu.RLock()
	for _, u := range f.usages {
		for _, flow := range u.Flows {
			others[flow.Workspace] += flow.Count.total()
		}
	}
	f.mu.RUnlock()
	f.accounts.setPeerInFlight(others)
}

func withoutSelf(ids []string, self string) []string {
	var out []string
	for _, id := range ids {
		if id != self {
			out = append(out, id)
		}
	}
	return out
}
