// Package flight tracks the model requests that this entry has accepted, called
// flights: those that run and, for Retention, those that have ended.
package flight

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/answer"
	"github.com/medlarsill/medlarsill/pkg/engine"
)

// shardCount is the number of shards of a registry.
const shardCount = 64

// Retention is how long the answer of an ended flight can still be read.
const Retention = 60 * time.Second

// Errors of this package.
var (
	// ErrDuplicate means that a flight with the same id exists already.
	ErrDuplicate = eris.New("flight: request id is in use")
	// ErrAbandoned is the cause with which a flight without readers is cancelled.
	ErrAbandoned = eris.New("flight: cancelled since no reader is left")
	// ErrNotFound means that no flight with the id is known here.
	ErrNotFound = eris.New("flight: unknown request id")
)

// Job holds everything needed to run a model request, here or on a peer.
type Job struct {
	// ID is unique across workspaces; see ScopedID.
	ID string
	// RequestID is the id that the caller knows.
	RequestID string
	Workspace string
	Service   string
	Model     string
	Messages  []engine.Message
	MaxTokens int
	Seed      uint64
	Priority  int
	// Deadline is on this process's clock; peers exchange the time left instead.
	Deadline time.Time
	// Revision is the configuration revision under which the request was accepted.
	Revision uint64
	// Text selects the completions format instead of chat.
	Text bool
	// Created is when the request was accepted, in Unix seconds.
	Created int64
}

// ScopedID returns the id of a request that is unique across workspaces, so that
// callers of two workspaces may choose the same request id.
func ScopedID(workspace, requestID string) string {
	return workspace + "/" + requestID
}

// Point identifies the attempt that currently produces an answer, so that
// another process can resume it on its endpoint. net/rpc writes the name of the type.
type Point struct {
	// Endpoint is the endpoint's id; empty if no attempt runs.
	Endpoint string
	// Attempt is the attempt's id.
	Attempt string
}

// Flight is an accepted request with its answer.
type Flight struct {
	Job Job
	Log *answer.Log

	mu      sync.Mutex
	attempt Point
	// ownerLen is the number of tokens that the owner held when this flight began
	// to follow it; 0 if this process owns the answer.
	ownerLen  int
	readers   int
	idleSince time.Time
	endedAt   time.Time
	cancel    func(cause error)
	gen       Generation
	lineage   Lineage
}

// New returns a flight of a request that this process accepted.
func New(job Job, lineage string) *Flight {
	return &Flight{Job: job, Log: answer.NewLog(true), gen: Generation{0}, lineage: Lineage{ID: lineage}}
}

// NewAdopted returns a flight that continues another process's answer from a
// copy of generation gen.
func NewAdopted(job Job, gen Generation, l Lineage) *Flight {
	return &Flight{Job: job, Log: answer.NewLog(true), gen: gen.NextOwner(), lineage: l}
}

// NewFollower returns a flight that reads an answer owned by another process.
// ownerLen is the number of tokens that the owner holds.
func NewFollower(job Job, l Lineage, ownerLen int) *Flight {
	return &Flight{Job: job, Log: answer.NewLog(false), lineage: l, ownerLen: ownerLen}
}

// SetCancel installs the function that stops the work.
func (f *Flight) SetCancel(cancel func(cause error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = cancel
}

// SetAttempt records the current attempt.
func (f *Flight) SetAttempt(p Point) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempt = p
}

// Attempt returns the current attempt.
func (f *Flight) Attempt() Point {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempt
}

// Len returns the number of tokens known to exist here or at the owner.
func (f *Flight) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.ownerLen, f.Log.Len())
}

// Cancel stops the work with the given cause.
func (f *Flight) Cancel(cause error) {
	f.mu.Lock()
	cancel := f.cancel
	f.mu.Unlock()
	if cancel != nil {
		cancel(cause)
	}
}

// NextGeneration starts a new generation of copies and returns it.
func (f *Flight) NextGeneration() Generation {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gen = f.gen.NextCopy()
	return f.gen
}

// Lineage returns the lineage of the answer.
func (f *Flight) Lineage() Lineage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lineage
}

// SetLineage records the lineage of the owner whose answer is followed from now on.
func (f *Flight) SetLineage(l Lineage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lineage = l
}

// Generation returns the generation of the newest copy.
func (f *Flight) Generation() Generation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gen
}

// Attach adds a reader; the returned function removes it.
func (f *Flight) Attach(now func() time.Time) (detach func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers++
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.readers--
		f.idleSince = now()
	})
}

// Abandoned reports whether the flight had readers and has had none for longer
// than the window.
func (f *Flight) Abandoned(now time.Time, window time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readers == 0 && !f.idleSince.IsZero() && now.Sub(f.idleSince) > window
}

// Registry holds flights by id, in shards with a lock each.
type Registry struct {
	shards [shardCount]shard
	now    func() time.Time
}

type shard struct {
	mu      sync.Mutex
	flights map[string]*Flight
}

// NewRegistry returns an empty registry that uses the given clock.
func NewRegistry(now func() time.Time) *Registry {
	r := &Registry{now: now}
	for i := range r.shards {
		r.shards[i].flights = make(map[string]*Flight)
	}
	return r
}

func (r *Registry) shard(id string) *shard {
	return &r.shards[xxhash.Sum64String(id)%shardCount]
}

// Add registers a flight, or returns the existing one with ErrDuplicate.
func (r *Registry) Add(f *Flight) (*Flight, error) {
	s := r.shard(f.Job.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.flights[f.Job.ID]; ok {
		return old, ErrDuplicate
	}
	s.flights[f.Job.ID] = f
	return f, nil
}

// Get returns the flight with a scoped id, or ErrNotFound.
func (r *Registry) Get(id string) (*Flight, error) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.flights[id]
	if !ok {
		return nil, ErrNotFound
	}
	return f, nil
}

// Remove removes a flight unless its id belongs to another flight by now.
func (r *Registry) Remove(f *Flight) {
	s := r.shard(f.Job.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flights[f.Job.ID] == f {
		delete(s.flights, f.Job.ID)
	}
}

// All returns the current flights. It is not an atomic snapshot.
func (r *Registry) All() []*Flight {
	var out []*Flight
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, f := range s.flights {
			out = append(out, f)
		}
		s.mu.Unlock()
	}
	return out
}

// Running returns the number of flights that have not ended.
func (r *Registry) Running() int {
	n := 0
	for _, f := range r.All() {
		if ended, _ := f.Log.Ended(); !ended {
			n++
		}
	}
	return n
}

// Sweep cancels flights that have had no reader for longer than the window and
// removes those that ended longer than Retention ago.
func (r *Registry) Sweep(window time.Duration) {
	now := r.now()
	for _, f := range r.All() {
		ended, _ := f.Log.Ended()
		if !ended && f.Abandoned(now, window) {
			f.Cancel(ErrAbandoned)
			continue
		}
		if ended && f.expired(now) {
			r.Remove(f)
		}
	}
}

// expired reports whether Retention has passed since the first call after the flight ended.
func (f *Flight) expired(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endedAt.IsZero() {
		f.endedAt = now
	}
	return now.Sub(f.endedAt) > Retention
}
