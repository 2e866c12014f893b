package membership

import "slices"

// newProbes starts probes of the successors that have missed too many heartbeats.
func (m *Machine) newProbes() []Probe {
	var out []Probe
	for _, s := range m.ring.successors() {
		r := m.members[s.ID]
		if r.probing || r.misses < missesBeforeProbe || r.note.Status != Alive {
			continue
		}
		r.probing = true
		out = append(out, Probe{Target: s, Helpers: m.pickHelpers(s.ID)})
	}
	return out
}

// pickHelpers returns random reachable peers to probe the target, preferring
// other data centres.
func (m *Machine) pickHelpers(target string) []Member {
	pool := slices.DeleteFunc(slices.Clone(m.ring[1:]), func(p Member) bool {
		return p.ID == target || m.members[p.ID].misses > 0
	})
	m.rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	slices.SortStableFunc(pool, func(a, b Member) int {
		return boolInt(a.DataCentre == m.self.DataCentre) - boolInt(b.DataCentre == m.self.DataCentre)
	})
	if len(m.ring) <= maxFullMesh {
		return pool
	}
	return pool[:min(probeHelpers, len(pool))]
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Probed records the outcome of a probe: whether any helper reached the target.
func (m *Machine) Probed(id string, reached bool) {
	r, ok := m.members[id]
	if !ok {
		return
	}
	r.probing = false
	if reached {
		r.misses = 0
		return
	}
	if r.misses > 0 && r.note.Status == Alive {
		m.mergeNote(Note{Member: r.note.Member, Status: Suspect})
	}
}
