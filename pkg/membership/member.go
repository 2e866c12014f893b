// Package membership maintains the list of peer processes and detects their
// failures. Members register in the object store. Each one sends heartbeats to a
// few ring neighbours; if one doesn't answer, other peers probe it before it is
// suspected. Status changes spread in the heartbeats. The package also
// propagates notices of leaving endpoints.
//
// Machine is the protocol as a state machine without I/O that advances in ticks,
// Service runs it over net/rpc, and Registry maintains the registration objects.
// The protocol follows SWIM (Das, Gupta, Motivala, 2002), but heartbeats go to
// ring neighbours in place of random members.
package membership

import (
	"github.com/medlarsill/medlarsill/pkg/peer"
)

// Member identifies one process to its peers.
type Member struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Addr is the IP address and port for calls from peers.
	Addr string `json:"addr"`
	// Incarnation grows with each start of the process and each time that it
	// refutes a false report that it is suspect, gone or left.
	Incarnation uint64 `json:"incarnation"`
	// Boot is a random number chosen when the process starts. It distinguishes two
	// processes with the same id.
	Boot uint64 `json:"boot"`
}

// Info returns the member's entry for the peer directory.
func (m Member) Info() peer.Info {
	return peer.Info{ID: m.ID, DataCentre: m.DataCentre, Addr: m.Addr}
}

// Status is the state of a member. Of two notes with the same incarnation, the
// one with the higher status wins.
type Status uint8

// The states of a member.
const (
	// Alive members answer heartbeats.
	Alive Status = iota
	// Suspect members answered neither the heartbeats of their ring predecessor nor
	// a probe by its helpers.
	Suspect
	// Gone members stayed suspect for SuspicionTicks.
	Gone
	// Left members announced a planned stop.
	Left
)

// String returns the name of the state.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Gone:
		return "gone"
	case Left:
		return "left"
	}
	return "invalid"
}

// Present reports whether a member in this state is called: alive or suspect.
func (s Status) Present() bool { return s == Alive || s == Suspect }

// Note is an update about a member's state, as spread in heartbeats.
type Note struct {
	Member Member
	Status Status
}

// newer reports whether the note supersedes an older one about the same member.
func (n Note) newer(old Note) bool {
	if n.Member.Incarnation != old.Member.Incarnation {
		return n.Member.Incarnation > old.Member.Incarnation
	}
	if n.Status != old.Status {
		return n.Status > old.Status
	}
	return n.Member.Boot > old.Member.Boot
}

// Event is a change of a member's state in the local table.
type Event struct {
	Member Member
	Status Status
	// Restarted is true if a new process replaced one with the same id that was
	// still considered present.
	Restarted bool
}
