package membership

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Protocol times, in ticks, and limits.
const (
	// missesBeforeProbe is the number of consecutive unanswered heartbeats after
	// which helpers are asked to probe the member.
	missesBeforeProbe = 2
	// probeHelpers is the number of helpers per probe in a group larger than
	// maxFullMesh; in a smaller one all peers help.
	probeHelpers = 3
	// baseSuspicionTicks is the part of SuspicionTicks that doesn't depend on the group size.
	baseSuspicionTicks = 2
	// goneRecheckTicks is the time between two heartbeats to members that are gone.
	goneRecheckTicks = 10
	// retentionTicks is how long the record of a gone or left member is kept.
	retentionTicks = 1200
	// minExchangeTicks is the shortest time between two exchanges of member tables.
	minExchangeTicks = 4
	// maxNotes is the number of queued notes that one heartbeat carries at most.
	maxNotes = 6
	// sendFactor sets how often each member sends a note: sendFactor*spreadTicks(n) times.
	sendFactor = 2
)

// Heartbeat is both the request and the reply of a heartbeat call.
type Heartbeat struct {
	From        string
	Incarnation uint64
	Boot        uint64
	// Revision is the configuration revision in force at the sender.
	Revision uint64
	// Members and Leaving are digests of the present members and of the leaving
	// endpoints that the sender knows.
	Members uint64
	Leaving uint64
	// Notes holds at most maxNotes queued notes, and one about the receiver if
	// the sender doesn't consider it alive.
	Notes []Note
	// Unknown is true in a reply if the replying member doesn't know the caller.
	Unknown bool
}

// Probe is a request to helpers to try to reach a target.
type Probe struct {
	Target  Member
	Helpers []Member
}

// Step lists the calls that are due after a tick.
type Step struct {
	// Heartbeats lists the peers to call. Report each outcome with Answered or Missed.
	Heartbeats []Member
	// Probes lists the probes to run. Report each outcome with Probed.
	Probes []Probe
	// Exchange is the peer to exchange member tables with, or nil.
	Exchange *Member
}

// record is the state that the machine keeps for one member.
type record struct {
	note Note
	// changedAt is the tick at which the note was stored.
	changedAt uint64
	// misses counts consecutive unanswered heartbeats.
	misses int
	// probing is true while a probe is running.
	probing bool
	// rebooted is true if a process with another Boot value answered under this
	// id. It is then sent the old note, so that it takes a higher incarnation.
	rebooted bool
}

// Machine is the protocol state machine of one member. It isn't safe for concurrent use.
type Machine struct {
	self    Member
	left    bool
	tick    uint64
	members map[string]*record
	ring    ring
	// ringDigest is an order-independent hash of the ring's members.
	ringDigest uint64
	// ringStale is true if members has changed since the ring was built.
	ringStale bool
	queue     noteQueue
	rng       *rand.Rand
	events    []Event
	// pendingChecks lists suspected members that are fingers of this one. They are
	// sent a heartbeat at the next tick.
	pendingChecks []Member
	// differingPeer is the last peer whose digest of present members differed, and
	// lastExchange the tick of the last exchange of tables.
	differingPeer string
	lastExchange  uint64
}

// NewMachine returns a machine whose table holds only the member itself.
func NewMachine(self Member, rng *rand.Rand) *Machine {
	m := &Machine{self: self, members: make(map[string]*record), rng: rng}
	m.members[self.ID] = &record{note: Note{Member: self}}
	m.ringStale = true
	m.refresh()
	m.announceSelf()
	return m
}

// Self returns this member with its current incarnation.
func (m *Machine) Self() Member { return m.self }

// Merge adds notes from any source to the table.
func (m *Machine) Merge(notes []Note) {
	for _, n := range notes {
		m.mergeNote(n)
	}
	m.refresh()
}

// mergeNote stores a note if it is newer than the stored one, and reports
// whether the table changed.
func (m *Machine) mergeNote(n Note) bool {
	if n.Member.ID == "" {
		return false
	}
	if n.Member.ID == m.self.ID {
		return m.refute(n)
	}
	r, known := m.members[n.Member.ID]
	if known && !n.newer(r.note) {
		return false
	}
	if !known && !n.Status.Present() {
		m.members[n.Member.ID] = &record{note: n, changedAt: m.tick}
		return true
	}
	if !known {
		r = &record{}
		m.members[n.Member.ID] = r
	}
	restarted := known && r.note.Status.Present() && r.note.Member.Boot != n.Member.Boot
	changed := !known || r.note.Status != n.Status || restarted
	ringChanged := !known || r.note.Status.Present() != n.Status.Present() || r.note.Member != n.Member
	*r = record{note: n, changedAt: m.tick}
	m.queue.add(n, m.sendCount())
	if n.Status == Suspect && m.ring.hasFinger(n.Member.ID) {
		m.pendingChecks = append(m.pendingChecks, n.Member)
	}
	m.ringStale = m.ringStale || ringChanged
	if changed {
		m.events = append(m.events, Event{Member: n.Member, Status: n.Status, Restarted: restarted})
	}
	return true
}

// refute answers a note about this member that is newer than its own state, or
// that comes from an earlier process with the same id: it takes a higher
// incarnation and announces itself again.
func (m *Machine) refute(n Note) bool {
	known := m.members[m.self.ID].note
	earlier := n.Member.Boot != m.self.Boot && n.Member.Incarnation >= m.self.Incarnation
	if !earlier && !n.newer(known) {
		return false
	}
	m.self.Incarnation = n.Member.Incarnation + 1
	m.announceSelf()
	return true
}

// announceSelf queues a note about this member's own state.
func (m *Machine) announceSelf() {
	n := Note{Member: m.self}
	if m.left {
		n.Status = Left
	}
	m.members[m.self.ID].note = n
	m.queue.add(n, m.sendCount())
	m.ringStale = true
}

// Leave marks this member as left; the next heartbeats carry the note.
func (m *Machine) Leave() {
	m.left = true
	m.announceSelf()
}

// sendCount returns how often this member sends each note.
func (m *Machine) sendCount() int { return sendFactor * spreadTicks(len(m.ring)) }

// refresh rebuilds the ring and its digest if the present members have changed.
func (m *Machine) refresh() {
	if !m.ringStale {
		return
	}
	m.ringStale = false
	present := make([]Member, 0, len(m.members))
	for id, r := range m.members {
		if r.note.Status.Present() || id == m.self.ID {
			present = append(present, r.note.Member)
		}
	}
	m.ring = newRing(m.self.ID, present)
	m.ringDigest = 0
	for _, p := range present {
		m.ringDigest += xxhash.Sum64String(p.ID) ^ p.Incarnation
	}
}

// Tick advances the machine by one tick and returns the calls that are due.
func (m *Machine) Tick() Step {
	m.tick++
	m.expire()
	m.refresh()
	var s Step
	s.Heartbeats = m.heartbeatTargets()
	s.Probes = m.newProbes()
	s.Exchange = m.exchangeTarget()
	return s
}

// heartbeatTargets returns the members to send a heartbeat to in this tick: pending
// checks, the ring successors, one finger and, every goneRecheckTicks, a member that is gone.
func (m *Machine) heartbeatTargets() []Member {
	out := append(m.pendingChecks, m.ring.successors()...)
	m.pendingChecks = nil
	if f, ok := m.ring.finger(m.tick); ok && !slices.ContainsFunc(out, hasID(f.ID)) && f.ID != m.self.ID {
		out = append(out, f)
	}
	if m.tick%goneRecheckTicks == 0 {
		if g, ok := m.randomGone(); ok {
			out = append(out, g)
		}
	}
	return out
}

// hasID returns a predicate that matches the member with the given id.
func hasID(id string) func(Member) bool {
	return func(m Member) bool { return m.ID == id }
}

// randomGone returns a random member that is gone, which may have come back.
func (m *Machine) randomGone() (Member, bool) {
	var gone []Member
	for _, r := range m.members {
		if r.note.Status == Gone {
			gone = append(gone, r.note.Member)
		}
	}
	if len(gone) == 0 {
		return Member{}, false
	}
	slices.SortFunc(gone, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return gone[m.rng.IntN(len(gone))], true
}

// expire marks members gone whose suspicion time is over, and deletes old records
// of gone and left members.
func (m *Machine) expire() {
	limit := uint64(SuspicionTicks(len(m.ring)))
	for id, r := range m.members {
		age := m.tick - r.changedAt
		switch {
		case r.note.Status == Suspect && age >= limit:
			m.mergeNote(Note{Member: r.note.Member, Status: Gone})
		case !r.note.Status.Present() && id != m.self.ID && age >= retentionTicks:
			delete(m.members, id)
		}
	}
}

// SuspicionTicks returns how long a member of a group of n stays suspect before
// it is marked gone. In groups larger than maxFullMesh only some members probe, so
// the time must be enough for the suspicion to reach a member that can reach the
// suspect, and for the refutation to spread back.
func SuspicionTicks(n int) int {
	if n <= maxFullMesh {
		return baseSuspicionTicks + spreadTicks(n)
	}
	return baseSuspicionTicks + 2*spreadTicks(n)
}

// DetectionTicks returns the number of ticks within which all of n members mark
// a crashed member as gone, if all links between the others work.
func DetectionTicks(n int) int {
	const probeTicks = 2
	return missesBeforeProbe + probeTicks + SuspicionTicks(n) + spreadTicks(n)
}

// exchangeTarget returns the peer whose digest differed, if an exchange is due.
func (m *Machine) exchangeTarget() *Member {
	r, ok := m.members[m.differingPeer]
	m.differingPeer = ""
	if !ok || m.tick-m.lastExchange < minExchangeTicks || !r.note.Status.Present() {
		return nil
	}
	m.lastExchange = m.tick
	return &r.note.Member
}

// digest returns an order-independent hash of the present members.
func (m *Machine) digest() uint64 {
	m.refresh()
	return m.ringDigest
}

// Missed records that a peer did not answer a heartbeat.
func (m *Machine) Missed(id string) {
	if r, ok := m.members[id]; ok {
		r.misses++
	}
}

// Table returns the notes of all known members.
func (m *Machine) Table() []Note {
	out := make([]Note, 0, len(m.members))
	for _, r := range m.members {
		out = append(out, r.note)
	}
	return out
}

// Status returns a member's status; false if the member is unknown.
func (m *Machine) Status(id string) (Status, bool) {
	r, ok := m.members[id]
	if !ok {
		return Gone, false
	}
	return r.note.Status, true
}

// Present returns the members that are alive or suspect, self first.
func (m *Machine) Present() []Member {
	m.refresh()
	return slices.Clone(m.ring)
}

// Events returns the changes since the last call of Events.
func (m *Machine) Events() []Event {
	out := m.events
	m.events = nil
	return out
}

// member returns a member by id, or the zero Member if it is unknown.
func (m *Machine) member(id string) Member {
	if r, ok := m.members[id]; ok {
		return r.note.Member
	}
	return Member{}
}
