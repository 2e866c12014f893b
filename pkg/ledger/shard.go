package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// refusalTime is how long a shard refuses transitions after a failed commit, so
// that callers fail fast during an outage of the object store.
const refusalTime = 100 * time.Millisecond

// The backoff after a version conflict: the longest first delay, and how often
// that bound doubles.
const (
	conflictDelay    = 2 * time.Millisecond
	maxConflictShift = 5
)

// shard commits the transitions of one shard in groups: those that arrive
// during a write share the next one.
type shard struct {
	ledger *Ledger
	// key is the key of the shard's object.
	key string

	mu           sync.Mutex
	queue        []*pending
	running      bool
	lazyTimerSet bool
	refuseUntil  time.Time

	// The fields below are used only by the committing goroutine.
	state    *shardState
	version  uint64
	loadedAt time.Time
	// nextCommitAt is when the next group may be committed; only writes set it.
	nextCommitAt time.Time
}

// pending is a transition that waits for its commit.
type pending struct {
	op     Op
	result Result
	err    error
	done   chan struct{}
}

// submit commits a transition on this entry and waits for it until the context
// ends. On any error other than ErrUnavailable the outcome is unknown.
func (s *shard) submit(ctx context.Context, op Op) (Result, error) {
	p := &pending{op: op, done: make(chan struct{})}
	if !s.enqueue(p) {
		return Result{}, ErrUnavailable
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return Result{}, errUnresolved
	}
}

// enqueue adds a transition to the queue and starts the committer, for a lazy
// one after a delay. It returns false if the shard currently refuses transitions.
func (s *shard) enqueue(p *pending) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Now().Before(s.refuseUntil) || s.ledger.ctx.Err() != nil {
		return false
	}
	s.queue = append(s.queue, p)
	switch {
	case s.running:
	case !p.op.Lazy:
		s.startLocked()
	case !s.lazyTimerSet:
		s.lazyTimerSet = true
		s.ledger.tasks.add()
		time.AfterFunc(s.ledger.LazyDelay, s.commitLazy)
	}
	return true
}

// commitLazy starts the committer for lazy transitions whose delay is over.
func (s *shard) commitLazy() {
	defer s.ledger.tasks.done()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lazyTimerSet = false
	if !s.running && len(s.queue) > 0 {
		s.startLocked()
	}
}

func (s *shard) startLocked() {
	s.running = true
	s.ledger.tasks.add()
	go s.run()
}

// run commits one group after the other until the queue is empty.
func (s *shard) run() {
	defer s.ledger.tasks.done()
	for !s.stopIfIdle() {
		sleep.For(s.ledger.ctx, s.nextCommitAt.Sub(s.ledger.Now()))
		s.commitGroup(s.takeQueue())
	}
}

// stopIfIdle marks the committer as stopped if the queue is empty, and reports
// whether it did.
func (s *shard) stopIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = len(s.queue) > 0
	return !s.running
}

func (s *shard) takeQueue() []*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	group := s.queue
	s.queue = nil
	return group
}

// commitGroup commits the transitions of a group and delivers their results.
func (s *shard) commitGroup(group []*pending) {
	ops := make([]Op, len(group))
	for i, p := range group {
		ops[i] = p.op
	}
	ctx, cancel := context.WithTimeout(s.ledger.ctx, s.ledger.CommitTimeout)
	defer cancel()
	results, err := s.commit(ctx, ops)
	s.ledger.Metrics.countCommit(len(ops), err)
	if err != nil {
		s.refuseTransitions()
	}
	for i, p := range group {
		p.err = err
		if results != nil {
			p.result = results[i]
		}
		if err != nil && p.result.Code == Held {
			p.result.Code, p.err = HeldAtLastRead, nil
		}
		close(p.done)
	}
}

// refuseTransitions makes the shard refuse transitions for refusalTime.
func (s *shard) refuseTransitions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseUntil = s.ledger.Now().Add(refusalTime)
}

// commit applies transitions to the newest state and stores it. ErrUnavailable
// means that nothing was stored, errUnresolved that this is unknown. With an
// error it may return results computed from an earlier state. Of these the caller
// uses only Held: another attempt had claimed the key by then.
func (s *shard) commit(ctx context.Context, ops []Op) ([]Result, error) {
	failure := ErrUnavailable
	fresh := false
	var unconfirmed unconfirmedWrite
	var earlier []Result
	for try := 0; ctx.Err() == nil; try++ {
		if s.state == nil {
			if err := s.load(ctx); err != nil {
				return earlier, failure
			}
			fresh = true
		}
		if unconfirmed.id != "" && unconfirmed.id == s.state.WriteID {
			return unconfirmed.results, nil
		}
		elapsed := s.ledger.Now().Sub(s.loadedAt).Milliseconds()
		next, results, expired, changed := s.state.next(elapsed, s.ledger.Retention.Milliseconds(), ops)
		if !changed {
			if fresh || allFinal(results) {
				return results, nil
			}
			earlier = results
			s.state = nil
			continue
		}
		err := s.store(ctx, next)
		switch {
		case err == nil:
			s.ledger.deleteAnswers(expired)
			return results, nil
		case errors.Is(err, objectstore.ErrConflict):
			s.state = nil
			backOff(ctx, try)
		case errors.Is(err, objectstore.ErrUnavailable), errors.Is(err, objectstore.ErrTooLarge):
			return nil, failure
		default:
			// The write may have taken effect or may still do so. A read shows
			// whether it has; if not, the next write on the same version keeps
			// it from taking effect.
			failure, earlier = errUnresolved, nil
			unconfirmed = unconfirmedWrite{id: next.WriteID, results: results}
			s.state = nil
		}
	}
	return nil, failure
}

// unconfirmedWrite is a write whose result is unknown.
type unconfirmedWrite struct {
	id      string
	results []Result
}

// backOff waits a random time whose bound grows with the number of tries.
func backOff(ctx context.Context, try int) {
	maxDelay := conflictDelay << min(try, maxConflictShift)
	sleep.For(ctx, rand.N(maxDelay))
}

// allFinal reports whether all results are final.
func allFinal(results []Result) bool {
	for i := range results {
		if !results[i].final() {
			return false
		}
	}
	return true
}

// load reads the shard's object into the cache.
func (s *shard) load(ctx context.Context) error {
	s.ledger.Metrics.countStoreCall("get")
	o, err := s.ledger.Store.Get(ctx, s.key)
	if errors.Is(err, objectstore.ErrNotFound) {
		s.state, s.version, s.loadedAt = newShardState(), 0, s.ledger.Now()
		return nil
	}
	if err != nil {
		return err
	}
	state, err := decodeShard(o.Value)
	if err != nil {
		return err
	}
	s.state, s.version, s.loadedAt = state, o.Version, s.ledger.Now()
	return nil
}

// store replaces the shard's object if it still has the version that was loaded.
func (s *shard) store(ctx context.Context, next *shardState) error {
	next.WriteID = uuid.NewString()
	data, err := next.encode()
	if err != nil {
		return err
	}
	at := s.ledger.Now()
	s.nextCommitAt = at.Add(s.ledger.CommitInterval)
	o, err := s.write(ctx, data)
	if err != nil {
		return err
	}
	s.state, s.version, s.loadedAt = next, o.Version, at
	return nil
}

func (s *shard) write(ctx context.Context, data []byte) (objectstore.Object, error) {
	if s.version == 0 {
		s.ledger.Metrics.countStoreCall("create")
		return s.ledger.Store.Create(ctx, s.key, data)
	}
	s.ledger.Metrics.countStoreCall("update")
	return s.ledger.Store.Update(ctx, s.key, data, s.version)
}
