package revision

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/elapsed"
)

// MaxConfirmationAge is how long after its last confirmation of the newest revision
// a process may accept new work.
const MaxConfirmationAge = 3 * time.Second

// State holds the configuration of one process and when it was last confirmed. A
// confirmation at time T means that the revision in force in this process is at least
// as high as every revision that was declared in force everywhere before T. State does
// no I/O and isn't safe for concurrent use.
//
// A voter is a process that is registered and has read the store since it wrote its
// registration. Voters form the quorums of ConfirmFromQuorum.
type State struct {
	current *config.Envelope
	// confirmed is the time of the last confirmation, zero if none; confirmedViaPeers
	// is the time of the last one through peers.
	confirmed         time.Time
	confirmedViaPeers time.Time
	// storeReadAt is the start of the last successful read of the store.
	storeReadAt time.Time
	// registeredAt is when this process's registration was written; zero if it isn't
	// registered.
	registeredAt time.Time
	// group is the group size in the registration.
	group int
	// acceptsWork is true if the process accepts work, so that a change must reach
	// it. Until it is a voter, it relies on confirmations through peers only.
	acceptsWork bool
	// nonVoterAskedAt is when a process that isn't a voter last asked for this state.
	nonVoterAskedAt time.Time
}

// NewState returns the state of a process that starts. An earlier process with the
// same id may have answered a non-voter just before, so the state starts as if a
// non-voter had asked at start.
func NewState(start time.Time, acceptsWork bool) State {
	return State{acceptsWork: acceptsWork, nonVoterAskedAt: start}
}

// Answer is the reply to a peer that asks for a process's state.
type Answer struct {
	Revision uint64
	// Confirmed is true after the first confirmation; Age is then the time since the
	// last one.
	Confirmed bool
	Age       time.Duration
	// Voter is true if the process is a voter.
	Voter bool
	// Group is the group size in the process's registration.
	Group int
	// Strangers is true if a process that isn't a voter asked recently, so that
	// DeregisterDelay isn't zero.
	Strangers bool
}

// Apply replaces the configuration if e has a higher revision, and reports whether
// it did. e must be a stored configuration; its source doesn't matter.
func (s *State) Apply(e *config.Envelope) bool {
	if e == nil || s.current != nil && s.current.Revision >= e.Revision {
		return false
	}
	s.current = e
	return true
}

// Current returns the configuration in force in this process, or nil if there is none.
func (s *State) Current() *config.Envelope { return s.current }

// Revision returns the revision in force in this process; 0 if there is none.
func (s *State) Revision() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Revision
}

// SetRegistration records when the registration was written, and its group size. A
// zero time means that the process isn't registered.
func (s *State) SetRegistration(at time.Time, group int) {
	s.registeredAt = at
	s.group = group
}

// ConfirmFromStore applies the result of a successful read of the store that began
// at the given time. e is nil if the store holds no configuration.
func (s *State) ConfirmFromStore(began time.Time, e *config.Envelope) {
	s.Apply(e)
	s.storeReadAt = later(s.storeReadAt, began)
	s.confirm(began)
}

// ConfirmFromPeer applies a peer's answer to a call that began at the given time. If
// the peer has a higher revision, it confirms nothing and returns true: that
// revision must be fetched first.
func (s *State) ConfirmFromPeer(began time.Time, a Answer) (behind bool) {
	if a.Revision > s.Revision() {
		return true
	}
	if a.Confirmed {
		s.confirmViaPeers(began.Add(-a.Age))
	}
	return false
}

// ConfirmFromQuorum applies the answers to one round of calls that began at the given
// time. The round confirms the revision if the voters that answered, with this process
// if it is one, form a quorum for the group of each of them, and no answer has a
// higher revision. It reports whether it did.
func (s *State) ConfirmFromQuorum(began time.Time, answers []Answer) bool {
	voters, needed := 0, minQuorum
	if s.voter() {
		voters++
		needed = Quorum(s.group)
	}
	for _, a := range answers {
		if a.Revision > s.Revision() {
			return false
		}
		if a.Voter {
			voters++
			needed = max(needed, Quorum(a.Group))
		}
	}
	if s.current == nil || voters < needed {
		return false
	}
	s.confirmViaPeers(began)
	return true
}

// AnswerPeer returns the answer to a peer, and records the time if the peer isn't a voter.
func (s *State) AnswerPeer(now time.Time, voter bool) Answer {
	if !voter {
		s.nonVoterAskedAt = later(s.nonVoterAskedAt, now)
	}
	return s.Answer(now)
}

// DeregisterDelay returns how long a process that stops must keep its registration,
// because a process that isn't a voter may still rely on its answer.
func (s *State) DeregisterDelay(now time.Time) time.Duration {
	return max(0, MaxConfirmationAge+driftMargin-elapsed.Between(s.nonVoterAskedAt, now))
}

// Answer returns the answer for peers, without recording a question.
func (s *State) Answer(now time.Time) Answer {
	a := Answer{Revision: s.Revision(), Voter: s.voter(), Group: s.group}
	if !s.lastConfirmed().IsZero() {
		a.Confirmed = true
		a.Age = s.Age(now)
	}
	a.Strangers = s.DeregisterDelay(now) > 0
	return a
}

// lastConfirmed returns the time of the last confirmation that this process may rely
// on. A change is pushed to the registered processes only. One that accepts work but
// isn't a voter may therefore rely only on confirmations through peers, because those
// report that it asked (Answer.Strangers).
func (s *State) lastConfirmed() time.Time {
	if s.acceptsWork && !s.voter() {
		return s.confirmedViaPeers
	}
	return s.confirmed
}

// Age returns the time since lastConfirmed.
func (s *State) Age(now time.Time) time.Duration { return elapsed.Between(s.lastConfirmed(), now) }

// Fresh reports whether this process may accept new work.
func (s *State) Fresh(now time.Time) bool {
	return s.current != nil && !s.lastConfirmed().IsZero() && s.Age(now) <= MaxConfirmationAge
}

// voter reports whether this process is a voter.
func (s *State) voter() bool {
	return !s.registeredAt.IsZero() && s.storeReadAt.After(s.registeredAt)
}

func (s *State) confirm(at time.Time) { s.confirmed = later(s.confirmed, at) }

func (s *State) confirmViaPeers(at time.Time) {
	s.confirmedViaPeers = later(s.confirmedViaPeers, at)
	s.confirm(at)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
