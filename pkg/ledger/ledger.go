// Package ledger makes sure that non-idempotent work with a caller's key runs
// at most once, over all entries. Records are kept in shards, one object of the
// object API each. A conditional update is the only fence: whoever commits on
// an old version fails and reads again. One owner per shard collects the
// transitions of all entries into few updates, but any entry may commit.
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

// Defaults of the ledger's options.
const (
	// DefaultShards is the number of objects that the records are spread over.
	DefaultShards = 16
	// DefaultRetention is how long a record is kept after its last change.
	DefaultRetention = 10 * time.Minute
	// DefaultCommitTimeout bounds one commit, its reads and repeats included.
	DefaultCommitTimeout = 800 * time.Millisecond
	// DefaultForwardTimeout bounds a call to another entry. It leaves the owner time for a commit.
	DefaultForwardTimeout = time.Second
	// DefaultCommitInterval is the shortest time between a write of a shard and
	// the next group; it bounds the writes of all shards.
	DefaultCommitInterval = 100 * time.Millisecond
	// DefaultLazyDelay is how long a lazy transition waits for others.
	DefaultLazyDelay = 100 * time.Millisecond
)

// InlineAnswerBytes is the largest answer that is kept in its record; larger
// ones get an object of their own.
const InlineAnswerBytes = 256

// Prefixes of the objects of this package.
const (
	shardPrefix  = "ledger/"
	answerPrefix = "ledger-answer/"
)

// Errors of this layer.
var (
	// ErrUnavailable means that the claim could not be committed. The work was not started.
	ErrUnavailable = eris.New("ledger: unavailable")
	// ErrFull means that the key's shard has no room. The work was not started.
	ErrFull = eris.New("ledger: shard is full")
	// ErrMismatch means that the key was used for other work.
	ErrMismatch = eris.New("ledger: key belongs to other work")
	// ErrInDoubt means that an earlier attempt with the key may have run the work.
	ErrInDoubt = eris.New("ledger: outcome of an earlier attempt is unknown")
	// ErrAnswerLost means that the work ran but its answer can't be read now.
	ErrAnswerLost = eris.New("ledger: work ran, answer can't be read")
	// errUnresolved means that a transition may have been committed or may yet be.
	errUnresolved = eris.New("ledger: outcome of a commit is unknown")
)

// Peers lists the live entries. peer.Directory implements it.
type Peers interface {
	All() []peer.Info
}

// Options holds what a ledger is made of. Store, Peers, Caller, Self and Metrics are needed.
type Options struct {
	Store objectstore.Store
	Peers Peers
	// Caller reaches the other entries.
	Caller peer.Caller
	// Self is this entry's id among its peers.
	Self    string
	Metrics *Metrics
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Shards must be the same on all entries; zero means DefaultShards.
	Shards int
	// The times default if zero.
	Retention      time.Duration
	CommitTimeout  time.Duration
	ForwardTimeout time.Duration
	CommitInterval time.Duration
	LazyDelay      time.Duration
}

// Ledger is one entry's part of the ledger.
type Ledger struct {
	Options
	shards   []*shard
	attempts attempts
	suspects suspects
	// ctx ends when the ledger is closed.
	ctx    context.Context
	cancel context.CancelFunc
	work   workers
}

// New returns a ledger. Close it to stop its background work.
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

// Close waits until outcomes that are known here are committed, at most until
// the context ends, then stops all background work.
func (l *Ledger) Close(ctx context.Context) {
	select {
	case <-l.work.idle():
	case <-ctx.Done():
	}
	l.cancel()
	<-l.work.idle()
}

// Claim is the outcome of Begin: exactly one of its fields is set.
type Claim struct {
	// Attempt is set if the caller may run the work now.
	Attempt *Attempt
	// Answer is set if the work has run; it is the first caller's answer.
	Answer *Answer
}

// Begin asks for the right to run the work of a key. If another attempt holds
// the key, it waits for that attempt's outcome until the context ends. The
// errors are those of this package.
func (l *Ledger) Begin(ctx context.Context, key Key, fingerprint string) (Claim, error) {
	a := l.newAttempt(key, fingerprint)
	claim, err := l.begin(ctx, a)
	l.Metrics.recordClaim(claim, err)
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
			// The holder may have committed its outcome and forgotten it: look again.
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

// decided turns a result that needs no other entry into the outcome of Begin.
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
