package ledger

import (
	"maps"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// OpKind is the kind of a transition of a record.
type OpKind int

// The kinds of transitions.
const (
	// OpClaim claims the key for an attempt.
	OpClaim OpKind = iota + 1
	// OpFinish records the answer of an attempt.
	OpFinish
	// OpRelease records that the work was not run under an attempt and never will be.
	OpRelease
)

// Op is a transition as it is sent to the committer of a shard. It is
// idempotent: applying it twice has the effect of applying it once.
type Op struct {
	Kind        OpKind
	Key         Key
	Fingerprint string
	Attempt     string
	Holder      string
	// Replaces is the id of an attempt that the claimant knows to be released.
	Replaces string
	// Answer is set in an OpFinish if the answer is kept in the record.
	Answer *Answer
	// Lazy allows the committer to wait for other transitions to share a write with.
	Lazy bool
}

// Code is the outcome of a transition.
type Code int

// The outcomes of a transition.
const (
	// Done means that the transition is committed. After OpClaim the attempt holds the key.
	Done Code = iota + 1
	// Replay means that the work is finished; the record leads to its answer.
	Replay
	// Mismatch means that the key was used for another request.
	Mismatch
	// Held means that another attempt holds the key.
	Held
	// Full means that the shard has no room; nothing was committed.
	Full
	// Stale means that the attempt no longer holds the key.
	Stale
	// HeldAtLastRead means that another attempt held the key when the shard was
	// last read, and that the shard could not be read again.
	HeldAtLastRead
)

// Result is the outcome of a transition and the key's record.
type Result struct {
	Code   Code
	Record Record
}

// final reports whether the result is valid even if it was computed from a state
// that is out of date: a finished record doesn't change during its retention.
func (r *Result) final() bool {
	return r.Code == Replay
}

// maxShardBytes is the largest estimated size of a shard, in bytes.
const maxShardBytes = objectstore.MaxValueBytes - 4<<10

// next advances the state by the elapsed time and applies the transitions. It
// returns the new state, the results, the records that expired and whether any
// transition changed a record. Times are in milliseconds.
func (s *shardState) next(elapsed, retention int64, ops []Op) (out *shardState, results []Result, expired []Record, changed bool) {
	out = &shardState{Elapsed: s.Elapsed + elapsed, records: maps.Clone(s.records), size: s.size}
	expired = out.expire(retention)
	results = make([]Result, len(ops))
	for i := range ops {
		result, wrote := out.apply(&ops[i])
		results[i] = result
		changed = changed || wrote
	}
	return out, results, expired, changed
}

// expire removes and returns the records that have not changed for the
// retention, which is in milliseconds.
func (s *shardState) expire(retention int64) []Record {
	var out []Record
	for k, r := range s.records {
		if s.Elapsed-r.Changed >= retention {
			out = append(out, r)
			s.remove(k)
		}
	}
	return out
}

// apply applies a transition. It returns the result and whether a record changed.
func (s *shardState) apply(op *Op) (Result, bool) {
	switch op.Kind {
	case OpClaim:
		return s.claim(op)
	case OpFinish:
		return s.finish(op)
	case OpRelease:
		return s.release(op)
	}
	return Result{Code: Stale}, false
}

func (s *shardState) claim(op *Op) (Result, bool) {
	r, ok := s.records[op.Key]
	switch {
	case !ok:
		return s.grant(op)
	case r.Attempt == op.Attempt && r.State == Dispatched:
		return Result{Code: Done, Record: r}, false
	case r.Attempt == op.Attempt:
		return Result{Code: Stale, Record: r}, false
	case r.State == Released:
		return s.grant(op)
	case r.State == Dispatched && r.Attempt == op.Replaces:
		return s.grant(op)
	case r.State == Dispatched:
		return Result{Code: Held, Record: r}, false
	case r.Fingerprint != op.Fingerprint:
		return Result{Code: Mismatch, Record: r}, false
	}
	return Result{Code: Replay, Record: r}, false
}

// grant grants the key to an attempt, unless the shard is full.
func (s *shardState) grant(op *Op) (Result, bool) {
	r := Record{
		Key: op.Key, Fingerprint: op.Fingerprint, Attempt: op.Attempt, Holder: op.Holder,
		State: Dispatched, Changed: s.Elapsed,
	}
	if s.size+r.size() > maxShardBytes {
		return Result{Code: Full}, false
	}
	s.put(r)
	return Result{Code: Done, Record: r}, true
}

func (s *shardState) finish(op *Op) (Result, bool) {
	r, ok := s.records[op.Key]
	if !ok || r.Attempt != op.Attempt || r.State == Released {
		return Result{Code: Stale, Record: r}, false
	}
	if r.State == Finished {
		return Result{Code: Done, Record: r}, false
	}
	r.State, r.Answer, r.Changed = Finished, op.Answer, s.Elapsed
	s.put(r)
	return Result{Code: Done, Record: r}, true
}

// release stores a record even if there was none, so that a claim of the same
// attempt that arrives later is not granted.
func (s *shardState) release(op *Op) (Result, bool) {
	r, ok := s.records[op.Key]
	switch {
	case ok && r.Attempt != op.Attempt:
		return Result{Code: Stale, Record: r}, false
	case ok && r.State != Dispatched:
		return Result{Code: Done, Record: r}, false
	}
	r = Record{
		Key: op.Key, Fingerprint: op.Fingerprint, Attempt: op.Attempt, Holder: op.Holder,
		State: Released, Changed: s.Elapsed,
	}
	if !ok && s.size+r.size() > maxShardBytes {
		return Result{Code: Full}, false
	}
	s.put(r)
	return Result{Code: Done, Record: r}, true
}
