package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// The random delay between tries to commit the outcome of an attempt: its upper
// bound grows from minCommitRetryDelay to maxCommitRetryDelay.
const (
	minCommitRetryDelay = 50 * time.Millisecond
	maxCommitRetryDelay = 5 * time.Second
)

// AttemptState is the state of an attempt as its own entry knows it.
type AttemptState int

// The states of an attempt.
const (
	// AttemptUnknown means that the entry doesn't know the attempt or its outcome.
	AttemptUnknown AttemptState = iota
	// AttemptRunning means that the attempt has not ended.
	AttemptRunning
	// AttemptFinished means that the work ran and its answer is known.
	AttemptFinished
	// AttemptReleased means that the work was not run under this attempt and never will be.
	AttemptReleased
)

// Attempt is the right to run the work of a key. The holder ends it by exactly
// one of Finish, Release and MarkUnknown; later calls have no effect.
type Attempt struct {
	ledger      *Ledger
	key         Key
	fingerprint string
	id          string
	// claimUnresolved means that a claim of this attempt was sent whose result is
	// unknown and which may still be committed.
	claimUnresolved bool

	mu      sync.Mutex
	outcome Outcome
	ended   chan struct{}
}

// Outcome is the state of an attempt and, if it finished, the answer.
type Outcome struct {
	State  AttemptState
	Answer *Answer
}

// ID returns the attempt's unique id.
func (a *Attempt) ID() string { return a.id }

// Finish records the answer, which callers with the same key get from now on.
func (a *Attempt) Finish(answer *Answer) {
	if a.end(Outcome{State: AttemptFinished, Answer: answer}) {
		a.ledger.commitOutcome(a, func(ctx context.Context) error { return a.commitAnswer(ctx, answer) })
	}
}

// Release records that the work was not run. It must only be called if no byte
// of the request reached an endpoint or the endpoint reported that it did not
// run it.
func (a *Attempt) Release() {
	if a.end(Outcome{State: AttemptReleased}) {
		a.ledger.commitOutcome(a, a.commitRelease)
	}
}

// MarkUnknown ends the attempt without a known outcome.
func (a *Attempt) MarkUnknown() {
	if a.end(Outcome{State: AttemptUnknown}) {
		a.ledger.attempts.remove(a.id)
	}
}

// removeOrRetain removes an attempt whose outcome is committed. A released one
// with an unresolved claim is kept for the retention: the claim may still be
// granted the key, and other entries then ask for the attempt's outcome.
func (a *Attempt) removeOrRetain() {
	l := a.ledger
	if a.claimUnresolved && a.outcome.State == AttemptReleased {
		l.attempts.retain(a.id, l.Now().Add(l.Retention))
		return
	}
	l.attempts.remove(a.id)
}

// abandon ends an attempt that was not granted its key.
func (a *Attempt) abandon() {
	if a.claimUnresolved {
		a.Release()
		return
	}
	a.end(Outcome{State: AttemptReleased})
	a.ledger.attempts.remove(a.id)
}

// end sets the outcome. It returns false if the attempt had ended already.
func (a *Attempt) end(o Outcome) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.ended:
		return false
	default:
	}
	a.outcome = o
	close(a.ended)
	return true
}

// wait returns the outcome, or AttemptRunning if the context ends first.
func (a *Attempt) wait(ctx context.Context) Outcome {
	select {
	case <-a.ended:
		return a.outcome
	default:
	}
	select {
	case <-a.ended:
		return a.outcome
	case <-ctx.Done():
		return Outcome{State: AttemptRunning}
	}
}

func (a *Attempt) op(kind OpKind) Op {
	return Op{Kind: kind, Key: a.key, Fingerprint: a.fingerprint, Attempt: a.id, Holder: a.ledger.Self}
}

func (a *Attempt) commitRelease(ctx context.Context) error {
	op := a.op(OpRelease)
	op.Lazy = true
	_, err := a.ledger.submit(ctx, op)
	return err
}

func (a *Attempt) commitAnswer(ctx context.Context, answer *Answer) error {
	op := a.op(OpFinish)
	op.Lazy = true
	if answer.size() > InlineAnswerBytes {
		if err := a.ledger.storeAnswer(ctx, a.id, answer); err != nil {
			return err
		}
	} else {
		op.Answer = answer
	}
	_, err := a.ledger.submit(ctx, op)
	return err
}

// commitOutcome calls commit in the background until it succeeds or the ledger is closed.
func (l *Ledger) commitOutcome(a *Attempt, commit func(ctx context.Context) error) {
	l.tasks.add()
	go func() {
		defer l.tasks.done()
		defer a.removeOrRetain()
		maxDelay := minCommitRetryDelay
		for l.ctx.Err() == nil && commit(l.ctx) != nil {
			sleep.For(l.ctx, rand.N(maxDelay))
			maxDelay = min(2*maxDelay, maxCommitRetryDelay)
		}
	}()
}

// storeAnswer stores a large answer in an object named after its attempt.
func (l *Ledger) storeAnswer(ctx context.Context, attempt string, answer *Answer) error {
	data, err := json.Marshal(answer)
	if err != nil {
		return eris.Wrap(err, "ledger: encode answer")
	}
	ctx, cancel := context.WithTimeout(ctx, l.CommitTimeout)
	defer cancel()
	l.Metrics.countStoreCall("create")
	_, err = l.Store.Create(ctx, answerPrefix+attempt, data)
	if errors.Is(err, objectstore.ErrConflict) {
		return nil
	}
	return err
}

// loadAnswer returns the answer of a finished record, from the record or from its own object.
func (l *Ledger) loadAnswer(ctx context.Context, r *Record) (*Answer, error) {
	if r.Answer != nil {
		return r.Answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.CommitTimeout)
	defer cancel()
	l.Metrics.countStoreCall("get")
	o, err := l.Store.Get(ctx, answerPrefix+r.Attempt)
	if err != nil {
		return nil, eris.Wrap(ErrAnswerLost, err.Error())
	}
	answer := new(Answer)
	if err := json.Unmarshal(o.Value, answer); err != nil {
		return nil, eris.Wrap(ErrAnswerLost, err.Error())
	}
	return answer, nil
}

// deleteAnswers deletes the stored answers of expired records in the background.
// If this process ends first, the remaining answers only waste space.
func (l *Ledger) deleteAnswers(expired []Record) {
	var ids []string
	for _, r := range expired {
		if r.State == Finished && r.Answer == nil {
			ids = append(ids, r.Attempt)
		}
	}
	if len(ids) == 0 {
		return
	}
	l.tasks.add()
	go func() {
		defer l.tasks.done()
		for _, id := range ids {
			l.deleteAnswer(id)
		}
	}()
}

func (l *Ledger) deleteAnswer(id string) {
	ctx, cancel := context.WithTimeout(l.ctx, l.CommitTimeout)
	defer cancel()
	l.Metrics.countStoreCall("get")
	o, err := l.Store.Get(ctx, answerPrefix+id)
	if err != nil {
		return
	}
	l.Metrics.countStoreCall("delete")
	_ = l.Store.Delete(ctx, o.Key, o.Version)
}

// attemptShards is the number of shards of attempts, each with its own lock.
const attemptShards = 16

// attempts holds the attempts of this entry whose outcome isn't committed yet,
// and those that removeOrRetain keeps.
type attempts struct {
	shards [attemptShards]attemptShard
}

type attemptShard struct {
	mu   sync.Mutex
	byID map[string]*Attempt
	// retained holds ended attempts in the order of their removal.
	retained []retainedAttempt
}

// retainedAttempt is an ended attempt that is kept until the given time.
type retainedAttempt struct {
	id    string
	until time.Time
}

func (t *attempts) init() {
	for i := range t.shards {
		t.shards[i].byID = make(map[string]*Attempt)
	}
}

func (t *attempts) shard(id string) *attemptShard {
	return &t.shards[xxhash.Sum64String(id)%attemptShards]
}

// add adds an attempt and removes the retained ones that have expired.
func (t *attempts) add(a *Attempt, now time.Time) {
	s := t.shard(a.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[a.id] = a
	for len(s.retained) > 0 && now.After(s.retained[0].until) {
		delete(s.byID, s.retained[0].id)
		s.retained = s.retained[1:]
	}
}

func (t *attempts) retain(id string, until time.Time) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retained = append(s.retained, retainedAttempt{id: id, until: until})
}

func (t *attempts) remove(id string) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

func (t *attempts) get(id string) (*Attempt, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.byID[id]
	return a, ok
}
