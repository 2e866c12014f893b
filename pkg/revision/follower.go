// Package revision brings configuration into force: a process applies only
// higher revisions, and takes new work only while it has confirmed the newest
// one recently, with the store or through its peers.
//
// State and InForce hold the rules as pure functions; Follower runs them.
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

// Times of the follower.
const (
	// confirmInterval is the time between two confirmations.
	confirmInterval = 700 * time.Millisecond
	// confirmJitter is the largest random time added to it.
	confirmJitter = 100 * time.Millisecond
	// storeTimeout bounds one read of the store.
	storeTimeout = 300 * time.Millisecond
	// askTimeout bounds one call to a peer for a confirmation.
	askTimeout = 250 * time.Millisecond
	// askAttempts is the number of sources asked in one confirmation.
	askAttempts = 2
	// doubtAge is the age of a confirmation from which a process no longer
	// relies on its sources, but asks the store itself and then a quorum. It is
	// more than two confirmations, the source's own and the one with the source.
	doubtAge = MaxConfirmationAge * 2 / 3
	// retryInterval replaces confirmInterval while the confirmation is in doubt.
	retryInterval = 250 * time.Millisecond
)

// Peers is what the follower needs to know of the other processes. All fields are needed.
type Peers struct {
	Caller Caller
	// Sources lists the peers that read the store for this process, this process
	// excluded; Reader tells whether it reads the store itself.
	Sources func() []peer.Info
	Reader  func() bool
	// All lists every peer.
	All func() []peer.Info
	// Registered tells whether and when this process was registered, and the group size in it.
	Registered func() (at time.Time, group int, ok bool)
}

// Follower keeps the newest configuration that this process has seen.
type Follower struct {
	store objectstore.Store
	log   *slog.Logger
	now   func() time.Time
	peers *Peers

	mu      sync.Mutex
	state   State
	current atomic.Pointer[config.Envelope]
}

// NewFollower returns a follower without a configuration. It confirms with the
// store alone until WithPeers.
func NewFollower(store objectstore.Store, log *slog.Logger, now func() time.Time) *Follower {
	return &Follower{store: store, log: log, now: now, state: NewState(now(), false)}
}

// WithPeers makes the follower one of a process that takes work and confirms
// through peers too. It must be called before Run.
func (f *Follower) SetPeers(p Peers) {
	f.peers = &p
	f.state.serves = true
}

// Current returns the configuration in force here, or nil before the first.
func (f *Follower) Current() *config.Envelope { return f.current.Load() }

// Revision returns the revision in force here; 0 before the first.
func (f *Follower) Revision() uint64 { return revisionOf(f.Current()) }

// Fresh tells whether this process may take new work: a configuration is in
// force, and the newest revision was confirmed within FreshLimit.
func (f *Follower) Fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Fresh(f.now())
}

// ConfirmedAt returns when the newest revision was last confirmed; zero if never.
func (f *Follower) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.relied()
}

// StrangerWait is how long this process must keep its registration on a planned
// stop, after it takes no more work.
func (f *Follower) DeregisterDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.StrangerWait(f.now())
}

// Apply takes a configuration that is stored, from any source. Lower revisions are ignored.
func (f *Follower) Apply(e *config.Envelope) bool {
	return f.update(func(s *State) { s.Apply(e) })
}

// update changes the state and publishes a new configuration.
func (f *Follower) update(change func(s *State)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.Revision()
	change(&f.state)
	now := f.state.Current()
	if revisionOf(now) == before {
		return false
	}
	f.current.Store(now)
	f.log.Info("configuration in force", "revision", now.Revision, "preset", now.Preset)
	return true
}

// answer returns this process's state for a peer.
func (f *Follower) answer(voter bool) Answer {
	f.refreshRegistration()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Asked(f.now(), voter)
}

func (f *Follower) refreshRegistration() {
	if f.peers == nil {
		return
	}
	at, group, ok := f.peers.Registered()
	if !ok {
		at = time.Time{}
	}
	f.update(func(s *State) { s.Register(at, group) })
}

// Run confirms the newest revision again and again until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.confirm(ctx)
		sleep.For(ctx, f.pause())
	}
	return nil
}

// pause is the time until the next confirmation, which comes no later than the doubt.
func (f *Follower) pause() time.Duration {
	jitter := rand.N(confirmJitter)
	left := f.untilDoubt()
	if left <= 0 {
		return retryInterval + jitter
	}
	return min(confirmInterval+jitter, left)
}

// untilDoubt is the time until the last confirmation is too old to rely on single peers.
func (f *Follower) untilDoubt() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.relied().IsZero() {
		return 0
	}
	return doubtAge - f.state.Age(f.now())
}

func (f *Follower) inDoubt() bool { return f.untilDoubt() <= 0 }

// confirm tries the sources in the order of their cost.
func (f *Follower) confirm(ctx context.Context) {
	f.refreshRegistration()
	switch {
	case f.peers == nil:
		f.readStore(ctx)
	case f.peers.Reader() || f.inDoubt() || !f.voter():
		if !f.readStore(ctx) || f.inDoubt() {
			f.askQuorum(ctx)
		}
	default:
		f.askOne(ctx, f.peers.Sources())
	}
}

// readStore confirms with the store.
func (f *Follower) readStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := f.now()
	e, _, err := Read(ctx, f.store)
	if err != nil {
		return false
	}
	f.update(func(s *State) { s.FromStore(began, e) })
	return true
}

// askOne confirms through one of the peers, in random order.
func (f *Follower) askOne(ctx context.Context, peers []peer.Info) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(askAttempts, len(peers))] {
		began := f.now()
		if r := f.ask(ctx, []peer.Info{p})[0]; r.Answered {
			f.take(ctx, began, p, r.Answer)
			return
		}
	}
}

// ask asks peers once. A call that gets no answer drops its connection, so the
// next confirmation uses a new one.
func (f *Follower) ask(ctx context.Context, peers []peer.Info) []Reply {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return Ask(ctx, f.peers.Caller, peers, f.voter())
}

func (f *Follower) voter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.voter()
}

// take learns a peer's answer, and fetches its configuration if it is newer.
func (f *Follower) take(ctx context.Context, began time.Time, p peer.Info, a Answer) {
	behind := false
	f.update(func(s *State) { behind = s.FromPeer(began, a) })
	if !behind || f.Fetch(ctx, p) != nil {
		return
	}
	f.update(func(s *State) { s.FromPeer(began, a) })
}

// Fetch takes the configuration in force at a peer.
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

// askQuorum confirms through a round of calls to peers. Ages that it learns on
// the way may confirm already.
func (f *Follower) askQuorum(ctx context.Context) {
	began := f.now()
	var answers []Answer
	for _, r := range f.ask(ctx, f.quorumPeers()) {
		if r.Answered {
			f.take(ctx, began, r.Peer, r.Answer)
			answers = append(answers, r.Answer)
		}
	}
	f.update(func(s *State) { s.FromQuorum(began, answers) })
}

// spareVoters is how many peers more than a quorum are asked.
const spareVoters = 3

// quorumPeers picks random peers, enough for a quorum and some that don't answer.
func (f *Follower) quorumPeers() []peer.Info {
	all := f.peers.All()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	f.mu.Lock()
	group := max(f.state.group, len(all)+1)
	f.mu.Unlock()
	return all[:min(len(all), Quorum(group)+spareVoters)]
}
