package membership

// Heartbeat returns the heartbeat to send to a peer. The notes that it carries
// count as sent.
func (m *Machine) Heartbeat(to string) Heartbeat {
	h := Heartbeat{From: m.self.ID, Incarnation: m.self.Incarnation, Boot: m.self.Boot, Members: m.digest()}
	h.Notes = m.queue.take(maxNotes)
	if r, ok := m.members[to]; ok && (r.note.Status != Alive || r.rebooted) {
		h.Notes = append(h.Notes, r.note)
	}
	return h
}

// Receive handles a peer's heartbeat and returns the reply.
func (m *Machine) Receive(h Heartbeat) Heartbeat {
	m.applyHeartbeat(h)
	answer := m.Heartbeat(h.From)
	_, known := m.members[h.From]
	answer.Unknown = !known
	return answer
}

// Answered handles a peer's reply to a heartbeat.
func (m *Machine) Answered(id string, h Heartbeat) {
	if r, ok := m.members[id]; ok {
		r.misses = 0
	}
	m.applyHeartbeat(h)
	if h.Unknown {
		m.announceSelf()
	}
}

// applyHeartbeat merges a heartbeat. Digests are compared only if neither
// side has notes left to send, as they differ until all notes have spread.
func (m *Machine) applyHeartbeat(h Heartbeat) {
	m.Merge(h.Notes)
	if r, ok := m.members[h.From]; ok {
		r.rebooted = r.note.Member.Boot != h.Boot
	}
	settled := len(h.Notes) == 0 && len(m.queue.notes) == 0
	if settled && h.Members != m.digest() {
		m.differingPeer = h.From
	}
}
