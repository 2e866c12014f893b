// Package memstore implements an in-memory object store with fault injection, for tests
// and the platform's stand-in.
package memstore

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// Fault is a failure injected into one call.
type Fault int

// The faults that a hook can inject.
const (
	// FaultNone injects no fault.
	FaultNone Fault = iota
	// FaultUnavailable fails the call with ErrUnavailable before it has any effect.
	FaultUnavailable
	// FaultLostAnswer applies a write, but fails with ErrUnknown.
	FaultLostAnswer
	// FaultLostRequest fails a write with ErrUnknown without applying it.
	FaultLostRequest
	// FaultInterrupted fails a read with ErrInterrupted and ErrUnavailable.
	FaultInterrupted
)

// errInterrupted is the error of a read whose connection has ended.
var errInterrupted = errors.Join(objectstore.ErrInterrupted, objectstore.ErrUnavailable)

// Op names a method of the store for fault hooks and counters.
type Op string

// The operations of a store.
const (
	OpGet    Op = "get"
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpList   Op = "list"
	OpWatch  Op = "watch"
)

// Hook returns the fault to inject into a call. It runs without the store's lock held.
type Hook func(op Op, key string) Fault

// Store is an in-memory object store. The zero value is not usable; call New.
type Store struct {
	mu      sync.Mutex
	objects map[string]objectstore.Object
	// version is the version of the newest write; history is the number of times that
	// the store has been rolled back.
	version uint64
	history uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	hook    Hook
	calls   map[Op]int
}

var _ objectstore.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[string]objectstore.Object),
		changed: make(chan struct{}),
		calls:   make(map[Op]int),
	}
}

// SetHook installs the fault hook; nil removes it.
func (s *Store) SetHook(h Hook) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = h
}

// Calls returns the number of calls per operation so far.
func (s *Store) Calls() map[Op]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[Op]int, len(s.calls))
	for op, n := range s.calls {
		out[op] = n
	}
	return out
}

// startCall counts a call and returns the fault to inject into it.
func (s *Store) startCall(op Op, key string) Fault {
	s.mu.Lock()
	s.calls[op]++
	hook := s.hook
	s.mu.Unlock()
	if hook == nil {
		return FaultNone
	}
	return hook(op, key)
}

// History returns the number of the store's history: the number of its rollbacks.
func (s *Store) History() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if s.startCall(OpGet, key) != FaultNone {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok || o.Deleted {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return clone(o), nil
}

// Create implements objectstore.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return s.write(OpCreate, objectstore.Object{Key: key, Value: value}, 0)
}

// Update implements objectstore.Store.
func (s *Store) Update(ctx context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	return s.write(OpUpdate, objectstore.Object{Key: key, Value: value}, version)
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	_, err := s.write(OpDelete, objectstore.Object{Key: key, Deleted: true}, version)
	return err
}

// write makes a conditional write, unless a fault is injected. Version 0 means that the
// key must not exist.
func (s *Store) write(op Op, o objectstore.Object, version uint64) (objectstore.Object, error) {
	fault := s.startCall(op, o.Key)
	switch fault {
	case FaultUnavailable:
		return objectstore.Object{}, objectstore.ErrUnavailable
	case FaultLostRequest:
		return objectstore.Object{}, objectstore.ErrUnknown
	}
	out, err := s.apply(o, version)
	if fault == FaultLostAnswer {
		return objectstore.Object{}, objectstore.ErrUnknown
	}
	return out, err
}

// apply makes a conditional write.
func (s *Store) apply(o objectstore.Object, version uint64) (objectstore.Object, error) {
	if len(o.Value) > objectstore.MaxValueBytes {
		return objectstore.Object{}, objectstore.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[o.Key]
	exists := ok && !old.Deleted
	if exists != (version != 0) || exists && old.Version != version {
		return objectstore.Object{}, objectstore.ErrConflict
	}
	s.version = objectstore.Version(s.history, objectstore.Revision(s.version)+1)
	o.Version = s.version
	s.objects[o.Key] = clone(o)
	close(s.changed)
	s.changed = make(chan struct{})
	return o, nil
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	if s.startCall(OpList, prefix) != FaultNone {
		return nil, objectstore.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.changedSince(prefix, 0)
	out = slices.DeleteFunc(out, func(o objectstore.Object) bool { return o.Deleted })
	slices.SortFunc(out, func(a, b objectstore.Object) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// Watch implements objectstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (objectstore.Changes, error) {
	switch s.startCall(OpWatch, prefix) {
	case FaultNone:
	case FaultInterrupted:
		return objectstore.Changes{}, errInterrupted
	default:
		return objectstore.Changes{}, objectstore.ErrUnavailable
	}
	for {
		s.mu.Lock()
		out := s.changedSince(prefix, after)
		version, changed := s.version, s.changed
		reset := after != 0 && objectstore.History(after) != s.history
		s.mu.Unlock()
		if reset {
			// All objects of a later history are newer than the position, so out holds all.
			return objectstore.Changes{Objects: out, Version: version, Reset: true}, nil
		}
		if len(out) > 0 || !objectstore.MayWait(ctx) {
			return objectstore.Changes{Objects: out, Version: version}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return objectstore.Changes{Version: version}, ctx.Err()
		}
	}
}

// changedSince returns the objects changed after a version, oldest version first. s.mu
// must be held.
func (s *Store) changedSince(prefix string, after uint64) []objectstore.Object {
	var out []objectstore.Object
	for key, o := range s.objects {
		if o.Version > after && strings.HasPrefix(key, prefix) {
			out = append(out, clone(o))
		}
	}
	slices.SortFunc(out, func(a, b objectstore.Object) int { return int(a.Version) - int(b.Version) })
	return out
}

func clone(o objectstore.Object) objectstore.Object {
	o.Value = slices.Clone(o.Value)
	return o
}
