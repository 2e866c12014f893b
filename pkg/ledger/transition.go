package ledger

import (
	"maps"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// OpKind names a transition of a record.
type OpKind int

// The transitions.
const (
	// OpClaim asks for the key on behalf of an attempt.
	OpClaim OpKind = iota + 1
	// OpFinish records the answer of an attempt.
	OpFinish
	// OpRelease records that an attempt did not run the work and never will.
	OpRelease
)

// Op is a transition as it is sent to the committer of a shard. Applying the
// same Op twice has the effect of applying it once.
type Op struct {
	Kind        OpKind
	Key         Key
	Fingerprint string
	Attempt     string
	Holder      string
	// Replaces is an attempt of which the claimant knows that it was released.
	Replaces string
	// Answer is set by OpFinish if the answer is kept in the record.
	Answer *Answer
	// Lazy lets the committer wait for other transitions to share a write with.
	Lazy bool
}

// Code is the outcome of a transition.
type Code int

// The outcomes of a transition.
const (
	// Done means that the transition is committed: a claimant holds the key.
	Done Code = iota + 1
	// Replay means that the work is finished; the record tells its answer.
	Replay
	// Mismatch means that the key belongs to other work.
	Mismatch
	// Held means that another attempt holds the key.
	Held
	// Full means that the shard has no room; nothing was committed.
	Full
	// Stale means that the attempt no longer holds the key.
	Stale
	// HeldBefore means that another attempt held the key when the shard was last
	// read, and that the shard can't be read now.
	HeldAtLastRead
)

// Result is the outcome of a transition with the record that decided it.
type Result struct {
	Code   Code
	Record Record
}

// final tells whether the result holds although the state it was computed from
// may be out of date: a finished record doesn't change within its retention.
func (r *Result) final() bool {
	return r.Code == Replay
}

// maxShardBytes bounds the estimated size of a shard, in bytes.
const maxShardBytes = objectstore.MaxValueBytes - 4<<10

// next returns the state after the elapsed time in milliseconds and the
// transitions, their results, the records that expired, and whether any
// transition changed a record.
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

// expire removes records that have not changed for the retention, in milliseconds.
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

// take gives the key to an attempt.
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

// release leaves a record behind even if there was none, so that a claim of the
// attempt that arrives later finds itself released.
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
