// Package ledger ensures that non-idempotent work with a caller's idempotency
// key runs at most once across all entries, which are the processes that accept
// requests. Records are kept in shards, each of which is one object in the
// object store. Conditional updates alone order the commits: one that is based
// on an old version fails, and the committer reads the shard again. One owner
// per shard collects the transitions of all entries into few updates, but any
// entry may commit.
package ledger

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/peer"
)

// Default values of the options.
const (
	// DefaultShards is the number of objects that the records are spread over.
	DefaultShards = 16
	// DefaultRetention is how long a record is kept after its last change.
	DefaultRetention = 10 * time.Minute
	// DefaultCommitTimeout limits one commit, including its reads and retries.
	DefaultCommitTimeout = 800 * time.Millisecond
	// DefaultForwardTimeout limits a call to another entry. It leaves the owner time for a commit.
	DefaultForwardTimeout = time.Second
	// DefaultCommitInterval is the shortest time between a write of a shard and
	// its next group commit; it limits the rate of writes to the store.
	DefaultCommitInterval = 100 * time.Millisecond
	// DefaultLazyDelay is how long a lazy transition waits for others to share a write with.
	DefaultLazyDelay = 100 * time.Millisecond
)

// InlineAnswerBytes is the size of the largest answer that is kept in its
// record; larger ones are stored in objects of their own.
const InlineAnswerBytes = 256

// Key prefixes of this package's objects.
const (
	shardPrefix  = "ledger/"
	answerPrefix = "ledger-answer/"
)

// Errors of this package.
var (
	// ErrUnavailable means that the claim could not be committed. The work was not started.
	ErrUnavailable = eris.New("ledger: failed to commit transition")
	// ErrFull means that the key's shard has no room. The work was not started.
	ErrFull = eris.New("ledger: shard is full")
	// ErrMismatch means that the key was used for another request.
	ErrMismatch = eris.New("ledger: key was used for another request")
	// ErrInDoubt means that an earlier attempt with the key may have run the work.
	ErrInDoubt = eris.New("ledger: outcome of an earlier attempt is unknown")
	// ErrAnswerLost means that the work ran but its answer can't be read now.
	ErrAnswerLost = eris.New("ledger: failed to read answer of finished work")
	// errUnresolved means that a transition may have been committed or may still be.
	errUnresolved = eris.New("ledger: outcome of the commit is unknown")
)

// Peers lists the live entries. peer.Directory implements it.
type Peers interface {
	All() []peer.Info
}

// Options configures a ledger. Store, Peers, Caller, Self and Metrics are required.
type Options struct {
	Store objectstore.Store
	Peers Peers
	// Caller calls the other entries.
	Caller peer.Caller
	// Self is this entry's peer id.
	Self    string
	Metrics *Metrics
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Shards must be the same on all entries; zero means DefaultShards.
	Shards int
	// The following durations have defaults, which apply if they are zero.
	Retention      time.Duration
	CommitTimeout  time.Duration
	ForwardTimeout time.Duration
	CommitInterval time.Duration
	LazyDelay      time.Duration
}

// Ledger is one entry's access to the ledger.
type Ledger struct {
	Options
	shards   []*shard
	attempts attempts
	suspects suspects
	// ctx ends when the ledger is closed.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  taskGroup
}

// New returns a ledger. Close stops its background work.
func New(o Options) *Ledger {
	o.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	l := &Ledger{Options: o, ctx: ctx, cancel: cancel}
	l.attempts.init()
	l.suspects.until = make(map[string]time.Time)
	l.shards = make([]*shard, o.Shards)
	for i := range l.shards {
		l.shards[i] = &shard{ledger: l, key: shardPrefix + strconv.Itoa(i)}
	}
	return l
}

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Shards == 0 {
		o.Shards = DefaultShards
	}
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.CommitTimeout, DefaultCommitTimeout)
	setDefault(&o.ForwardTimeout, DefaultForwardTimeout)
	setDefault(&o.CommitInterval, DefaultCommitInterval)
	setDefault(&o.LazyDelay, DefaultLazyDelay)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Close waits until all known outcomes of this entry's attempts are committed or
// the context ends, then stops all background work.
func (l *Ledger) Close(ctx context.Context) {
	select {
	case <-l.tasks.idle():
	case <-ctx.Done():
	}
	l.cancel()
	<-l.tasks.idle()
}

// Claim is the result of Begin. Exactly one of its fields is set.
type Claim struct {
	// Attempt is set if the caller may run the work now.
	Attempt *Attempt
	// Answer is set if the work has run; it is the first caller's answer.
	Answer *Answer
}

// Begin claims the right to run the work of a key. If another attempt holds the
// key, it waits for that attempt's outcome until the context ends. The errors
// are those of this package.
func (l *Ledger) Begin(ctx context.Context, key Key, fingerprint string) (Claim, error) {
	a := l.newAttempt(key, fingerprint)
	claim, err := l.begin(ctx, a)
	l.Metrics.countClaim(claim, err)
	if claim.Attempt == nil {
		a.abandon()
	}
	return claim, err
}

func (l *Ledger) begin(ctx context.Context, a *Attempt) (Claim, error) {
	var replaces, rechecked string
	for {
		op := a.op(OpClaim)
		op.Replaces = replaces
		result, err := l.submit(ctx, op)
		a.claimUnresolved = a.claimUnresolved || result.unresolved
		if err != nil {
			return Claim{}, err
		}
		if result.Code != Held && result.Code != HeldAtLastRead {
			return l.claimFromResult(ctx, a, result.Result)
		}
		held := &result.Record
		outcome := l.ask(ctx, held, a.fingerprint == held.Fingerprint)
		switch {
		case outcome.State == AttemptReleased:
			replaces = held.Attempt
		case outcome.State == AttemptUnknown && rechecked != held.Attempt:
			// The holder may have committed its outcome and removed the attempt: claim again.
			rechecked = held.Attempt
		case a.fingerprint != held.Fingerprint:
			return Claim{}, ErrMismatch
		case outcome.State == AttemptFinished:
			return Claim{Answer: outcome.Answer}, nil
		default:
			return Claim{}, ErrInDoubt
		}
	}
}

// claimFromResult converts the result of a claim that doesn't depend on another
// entry into the result of Begin.
func (l *Ledger) claimFromResult(ctx context.Context, a *Attempt, r Result) (Claim, error) {
	switch r.Code {
	case Done:
		return Claim{Attempt: a}, nil
	case Replay:
		answer, err := l.loadAnswer(ctx, &r.Record)
		return Claim{Answer: answer}, err
	case Mismatch:
		return Claim{}, ErrMismatch
	case Full:
		return Claim{}, ErrFull
	}
	return Claim{}, ErrUnavailable
}

func (l *Ledger) newAttempt(key Key, fingerprint string) *Attempt {
	a := &Attempt{ledger: l, key: key, fingerprint: fingerprint, id: uuid.NewString(), ended: make(chan struct{})}
	l.attempts.add(a, l.Now())
	return a
}

func (l *Ledger) shardOf(k Key) int {
	return int(xxhash.Sum64String(string(k)) % uint64(len(l.shards)))
}
