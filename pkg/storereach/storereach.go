// Package storereach tells whether this instance's calls to the object store reach it. An instance
// that is cut off from the store, but not from its peers, has to leave to others what only an
// instance that reaches the store can do.
package storereach

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

const (
	// minFailures is the number of calls in a row that must have failed.
	minFailures = 2
	// minFailing is the time over which calls must have failed: shorter faults don't matter to
	// a lease of some seconds.
	minFailing = 500 * time.Millisecond
	// forgetAfter is the time without a call after which nothing is known any more.
	forgetAfter = 3 * time.Second
)

// Store forwards calls to another store and records which of them fail. It is safe for concurrent
// use.
type Store struct {
	inner objectstore.Store
	log   *slog.Logger
	now   func() time.Time

	mu sync.Mutex
	// failures is the number of failed calls since the last one that succeeded; firstFailure and
	// lastFailure are the times of the first and last of them.
	failures                  int
	firstFailure, lastFailure time.Time
	// logged is true while the log says that the store isn't reached.
	logged bool
}

var _ objectstore.Store = (*Store)(nil)

// New returns a store that forwards calls to inner.
func New(inner objectstore.Store, log *slog.Logger, now func() time.Time) *Store {
	return &Store{inner: inner, log: log, now: now}
}

// CutOff reports whether the calls of this instance have failed for some time and none has
// succeeded since.
func (s *Store) CutOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failing() && s.now().Sub(s.lastFailure) <= forgetAfter
}

// failing reports whether enough calls have failed. The caller holds the lock.
func (s *Store) failing() bool {
	return s.failures >= minFailures && s.lastFailure.Sub(s.firstFailure) >= minFailing
}

// record records the outcome of a call. One that the caller has given up says nothing.
func (s *Store) record(ctx context.Context, err error) {
	failed := errors.Is(err, objectstore.ErrUnavailable) || errors.Is(err, objectstore.ErrUnknown)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !failed {
		s.failures = 0
		s.logChange(false, nil)
		return
	}
	now := s.now()
	if s.failures == 0 || now.Sub(s.lastFailure) > forgetAfter {
		s.failures, s.firstFailure = 0, now
	}
	s.failures++
	s.lastFailure = now
	if s.failing() {
		s.logChange(true, err)
	}
}

// logChange logs when the store isn't reached any more, and when it is again. The caller holds the
// lock.
func (s *Store) logChange(cutOff bool, err error) {
	if s.logged == cutOff {
		return
	}
	s.logged = cutOff
	if cutOff {
		s.log.Warn("object store not reached; duties are left to others", "error", err.Error())
		return
	}
	s.log.Info("object store reached again")
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, key string) (objectstore.Object, error) {
	o, err := s.inner.Get(ctx, key)
	s.record(ctx, err)
	return o, err
}

// Create implements objectstore.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	o, err := s.inner.Create(ctx, key, value)
	s.record(ctx, err)
	return o, err
}

// Update implements objectstore.Store.
func (s *Store) Update(ctx context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	o, err := s.inner.Update(ctx, key, value, version)
	s.record(ctx, err)
	return o, err
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	err := s.inner.Delete(ctx, key, version)
	s.record(ctx, err)
	return err
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	out, err := s.inner.List(ctx, prefix)
	s.record(ctx, err)
	return out, err
}

// Watch implements objectstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (objectstore.Changes, error) {
	out, err := s.inner.Watch(ctx, prefix, after)
	s.record(ctx, err)
	return out, err
}
