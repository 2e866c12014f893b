// Package revision distributes configuration revisions. A process applies only
// higher revisions, and accepts new work only if it has confirmed recently, with
// the store or through its peers, that its revision is the newest one in force.
//
// State and InForce implement the rules without I/O; Follower and Await run them.
package revision

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Intervals and time limits of the follower.
const (
	// confirmInterval is the time between two confirmations.
	confirmInterval = 700 * time.Millisecond
	// confirmJitter is the maximum random time added to each interval.
	confirmJitter = 100 * time.Millisecond
	// storeTimeout is the time limit of one read of the store.
	storeTimeout = 300 * time.Millisecond
	// askTimeout is the time limit of one round of calls to peers for a confirmation.
	askTimeout = 250 * time.Millisecond
	// askAttempts is the maximum number of sources asked per confirmation.
	askAttempts = 2
	// escalationAge is the age of the last confirmation from which a process no
	// longer relies on its sources alone, but reads the store itself and then asks a
	// quorum. It exceeds two confirmation intervals: the source's own and that of
	// this process with the source.
	escalationAge = MaxConfirmationAge * 2 / 3
	// retryInterval replaces confirmInterval after escalationAge.
	retryInterval = 250 * time.Millisecond
)

// Peers gives the follower access to the other processes. All fields are required.
type Peers struct {
	Caller Caller
	// Sources lists the peers that read the store on behalf of this process. Reader
	// reports whether this process reads the store itself.
	Sources func() []peer.Info
	Reader  func() bool
	// All lists every peer.
	All func() []peer.Info
	// Registered returns when this process's registration was written and the group
	// size in it; ok is false if it isn't registered.
	Registered func() (at time.Time, group int, ok bool)
}

// Follower holds the newest configuration that this process has received, and
// confirms it at regular intervals.
type Follower struct {
	store objectstore.Store
	log   *slog.Logger
	now   func() time.Time
	peers *Peers

	mu      sync.Mutex
	state   State
	current atomic.Pointer[config.Envelope]
}

// NewFollower returns a follower without a configuration. Without SetPeers it
// confirms with the store only.
func NewFollower(store objectstore.Store, log *slog.Logger, now func() time.Time) *Follower {
	return &Follower{store: store, log: log, now: now, state: NewState(now(), false)}
}

// SetPeers configures the follower for a process that accepts work and confirms
// through peers as well. It must be called before Run.
func (f *Follower) SetPeers(p Peers) {
	f.peers = &p
	f.state.acceptsWork = true
}

// Current returns the configuration in force in this process, or nil if there is none.
func (f *Follower) Current() *config.Envelope { return f.current.Load() }

// Revision returns the revision in force in this process; 0 if there is none.
func (f *Follower) Revision() uint64 { return revisionOf(f.Current()) }

// Fresh reports whether this process may accept new work: it has a configuration,
// and its last confirmation is no older than MaxConfirmationAge.
func (f *Follower) Fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Fresh(f.now())
}

// ConfirmedAt returns when the newest revision was last confirmed; zero if never.
func (f *Follower) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.lastConfirmed()
}

// DeregisterDelay returns how long this process must keep its registration on a
// planned stop, after it has ceased to accept work.
func (f *Follower) DeregisterDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.DeregisterDelay(f.now())
}

// Apply puts a stored configuration into force if its revision is higher, and
// reports whether it did.
func (f *Follower) Apply(e *config.Envelope) bool {
	return f.update(func(s *State) { s.Apply(e) })
}

// update applies change to the state. It publishes the configuration if its revision
// has changed, and reports whether it has.
func (f *Follower) update(change func(s *State)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.Revision()
	change(&f.state)
	current := f.state.Current()
	if revisionOf(current) == before {
		return false
	}
	f.current.Store(current)
	f.log.Info("configuration in force", "revision", current.Revision, "preset", current.Preset)
	return true
}

// answer returns the answer to a peer that asks for this process's state.
func (f *Follower) answer(voter bool) Answer {
	f.refreshRegistration()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.AnswerPeer(f.now(), voter)
}

// refreshRegistration copies the registration's time and group size into the state.
func (f *Follower) refreshRegistration() {
	if f.peers == nil {
		return
	}
	at, group, ok := f.peers.Registered()
	if !ok {
		at = time.Time{}
	}
	f.update(func(s *State) { s.SetRegistration(at, group) })
}

// Run confirms the newest revision at regular intervals until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.confirm(ctx)
		sleep.For(ctx, f.nextDelay())
	}
	return nil
}

// nextDelay returns the time until the next confirmation: confirmInterval with jitter
// but no later than escalationAge, and retryInterval with jitter after that.
func (f *Follower) nextDelay() time.Duration {
	jitter := rand.N(confirmJitter)
	left := f.untilEscalation()
	if left <= 0 {
		return retryInterval + jitter
	}
	return min(confirmInterval+jitter, left)
}

// untilEscalation returns the time until the last confirmation reaches escalationAge.
func (f *Follower) untilEscalation() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.lastConfirmed().IsZero() {
		return 0
	}
	return escalationAge - f.state.Age(f.now())
}

func (f *Follower) mustEscalate() bool { return f.untilEscalation() <= 0 }

// confirm makes one attempt to confirm the newest revision, with the cheapest source
// that may be relied on: a single peer, else the store, else a quorum.
func (f *Follower) confirm(ctx context.Context) {
	f.refreshRegistration()
	switch {
	case f.peers == nil:
		f.confirmFromStore(ctx)
	case f.peers.Reader() || f.mustEscalate() || !f.voter():
		if !f.confirmFromStore(ctx) || f.mustEscalate() {
			f.confirmFromQuorum(ctx)
		}
	default:
		f.confirmFromOnePeer(ctx, f.peers.Sources())
	}
}

// confirmFromStore confirms by a read of the store, and reports whether the read succeeded.
func (f *Follower) confirmFromStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := f.now()
	e, _, err := Read(ctx, f.store)
	if err != nil {
		return false
	}
	f.update(func(s *State) { s.ConfirmFromStore(began, e) })
	return true
}

// confirmFromOnePeer confirms through a single peer. It asks up to askAttempts of the
// given peers, in random order, until one answers.
func (f *Follower) confirmFromOnePeer(ctx context.Context, peers []peer.Info) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(askAttempts, len(peers))] {
		began := f.now()
		if r := f.queryPeers(ctx, []peer.Info{p})[0]; r.Answered {
			f.applyAnswer(ctx, began, p, r.Answer)
			return
		}
	}
}

// queryPeers asks peers for their states. A call that times out drops its
// connection, so the next confirmation uses a new one.
func (f *Follower) queryPeers(ctx context.Context, peers []peer.Info) []Reply {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return QueryStates(ctx, f.peers.Caller, peers, f.voter())
}

func (f *Follower) voter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.voter()
}

// applyAnswer applies a peer's answer, after fetching its configuration if that is newer.
func (f *Follower) applyAnswer(ctx context.Context, began time.Time, p peer.Info, a Answer) {
	behind := false
	f.update(func(s *State) { behind = s.ConfirmFromPeer(began, a) })
	if !behind || f.Fetch(ctx, p) != nil {
		return
	}
	f.update(func(s *State) { s.ConfirmFromPeer(began, a) })
}

// Fetch fetches the configuration in force at a peer and applies it.
func (f *Follower) Fetch(ctx context.Context, p peer.Info) error {
	var e Envelope
	if err := call(ctx, f.peers.Caller, p.Addr, methodFetch, None{}, &e); err != nil {
		return err
	}
	env, err := decode(e.JSON)
	if err != nil {
		return err
	}
	f.Apply(env)
	return nil
}

// confirmFromQuorum confirms through a round of calls to peers. Each answer may
// confirm on its own as well, by the age of the peer's confirmation.
func (f *Follower) confirmFromQuorum(ctx context.Context) {
	began := f.now()
	var answers []Answer
	for _, r := range f.queryPeers(ctx, f.pickQuorumPeers()) {
		if r.Answered {
			f.applyAnswer(ctx, began, r.Peer, r.Answer)
			answers = append(answers, r.Answer)
		}
	}
	f.update(func(s *State) { s.ConfirmFromQuorum(began, answers) })
}

// extraQuorumPeers is how many peers more than a quorum are asked, as some may not answer.
const extraQuorumPeers = 3

// pickQuorumPeers returns random peers: a quorum and extraQuorumPeers more.
func (f *Follower) pickQuorumPeers() []peer.Info {
	all := f.peers.All()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	f.mu.Lock()
	group := max(f.state.group, len(all)+1)
	f.mu.Unlock()
	return all[:min(len(all), Quorum(group)+extraQuorumPeers)]
}
