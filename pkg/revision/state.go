package revision

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/elapsed"
)

// FreshLimit is how long after the last confirmation of the newest revision a
// process may take new work.
const MaxConfirmationAge = 3 * time.Second

// State is what one process knows of the configuration. A confirmation at time
// T means: the revision in force here is at least the newest one that was
// accepted before T. State has pure transitions and isn't safe for concurrent use.
type State struct {
	current *config.Envelope
	// confirmed is the time T above; zero before the first confirmation. viaPeers
	// is the same with only confirmations through peers.
	confirmed time.Time
	viaPeers  time.Time
	// stored is the start of the last read of the store that was answered.
	stored time.Time
	// registered is when this process's registration was written; zero if it isn't.
	registered time.Time
	// group is the group size in the registration.
	group int
	// serves is true if the process takes work and so must be known to others:
	// until it is a voter, it relies on confirmations through peers only.
	serves bool
	// stranger is when a process that isn't a voter last asked for this state.
	stranger time.Time
}

// NewState returns the state of a process that starts. serves is true if it
// takes work. What an earlier process with its id was asked isn't known, so
// for FreshLimit it answers as if a stranger had asked.
func NewState(start time.Time, serves bool) State {
	return State{serves: serves, stranger: start}
}

// Answer is what a process tells a peer of its state.
type Answer struct {
	Revision uint64
	// Confirmed is false before the first confirmation. Age is the time since the last one.
	Confirmed bool
	Age       time.Duration
	// Voter is true if the process is registered and has read the store since.
	Voter bool
	// Group is the group size in its registration.
	Group int
	// Strangers is true if a process that isn't a voter asked within FreshLimit.
	Strangers bool
}

// Apply takes a stored configuration from any source. Only a higher revision has an effect.
func (s *State) Apply(e *config.Envelope) bool {
	if e == nil || s.current != nil && s.current.Revision >= e.Revision {
		return false
	}
	s.current = e
	return true
}

// Current returns the configuration in force here, or nil before the first.
func (s *State) Current() *config.Envelope { return s.current }

// Revision returns the revision in force here; 0 before the first.
func (s *State) Revision() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Revision
}

// Register records that the registration with a group size was written.
func (s *State) Register(at time.Time, group int) {
	s.registered = at
	s.group = group
}

// FromStore takes the outcome of a read of the store that began at a time.
// e is nil if the store holds no configuration.
func (s *State) FromStore(began time.Time, e *config.Envelope) {
	s.Apply(e)
	s.stored = later(s.stored, began)
	s.confirm(began)
}

// FromPeer takes a peer's answer to a call that began at a time, and reports
// whether the peer has a higher revision, which must be fetched first.
func (s *State) FromPeer(began time.Time, a Answer) (behind bool) {
	if a.Revision > s.Revision() {
		return true
	}
	if a.Confirmed {
		s.confirmViaPeers(began.Add(-a.Age))
	}
	return false
}

// FromQuorum takes the answers to one round of calls that began at a time. The
// round confirms if enough voters answered, this process included, and none of
// them has a higher revision. It reports whether it did.
func (s *State) FromQuorum(began time.Time, answers []Answer) bool {
	voters, need := 0, minQuorum
	if s.voter() {
		voters++
		need = Quorum(s.group)
	}
	for _, a := range answers {
		if a.Revision > s.Revision() {
			return false
		}
		if a.Voter {
			voters++
			need = max(need, Quorum(a.Group))
		}
	}
	if s.current == nil || voters < need {
		return false
	}
	s.confirmViaPeers(began)
	return true
}

// Asked records the question of a peer that is a voter or not, and returns the answer.
func (s *State) Asked(now time.Time, voter bool) Answer {
	if !voter {
		s.stranger = later(s.stranger, now)
	}
	return s.Answer(now)
}

// StrangerWait is how long a process that stops must keep its registration,
// because one that isn't registered may rely on its answer.
func (s *State) StrangerWait(now time.Time) time.Duration {
	return max(0, MaxConfirmationAge+driftMargin-elapsed.Between(s.stranger, now))
}

// Answer returns what this process tells its peers.
func (s *State) Answer(now time.Time) Answer {
	a := Answer{Revision: s.Revision(), Voter: s.voter(), Group: s.group}
	if !s.relied().IsZero() {
		a.Confirmed = true
		a.Age = s.Age(now)
	}
	a.Strangers = s.StrangerWait(now) > 0
	return a
}

// relied returns the last confirmation that this process relies on. A process
// that isn't a voter can't be told of a change by those who list the registered
// ones, so only confirmations count of which its peers know.
func (s *State) relied() time.Time {
	if s.serves && !s.voter() {
		return s.viaPeers
	}
	return s.confirmed
}

// Age returns the time since the last confirmation.
func (s *State) Age(now time.Time) time.Duration { return elapsed.Between(s.relied(), now) }

// Fresh tells whether this process may take new work.
func (s *State) Fresh(now time.Time) bool {
	return s.current != nil && !s.relied().IsZero() && s.Age(now) <= MaxConfirmationAge
}

// voter tells whether this process is registered and has read the store since.
func (s *State) voter() bool {
	return !s.registered.IsZero() && s.stored.After(s.registered)
}

func (s *State) confirm(at time.Time) { s.confirmed = later(s.confirmed, at) }

func (s *State) confirmViaPeers(at time.Time) {
	s.viaPeers = later(s.viaPeers, at)
	s.confirm(at)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
