// Package rewatch keeps watches that end without a response apart from outages of the object store. The
// store may close the connection of a watch that waits, and a connection may go silent while others
// work. So such a watch is repeated at once, without waiting: if the store answers, it was available,
// and the answer continues where the watch was.
package rewatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// minInterval is the least time from the start of a repeated watch to its result, if nothing has
	// changed, so that a store that closes each connection isn't called without pause.
	minInterval = 200 * time.Millisecond
	// maxSilence is the time without an answer to any call after which a watch without a response is
	// taken for an outage. Registrations of endpoints expire no sooner in an outage.
	maxSilence = 2 * time.Second
)

// Store forwards calls to another store and repeats watches. It is safe for concurrent use.
type Store struct {
	inner objectstore.Store
	now   func() time.Time
	// answeredAt is when the store last answered a call; nil if it never has.
	answeredAt atomic.Pointer[time.Time]
}

var _ objectstore.Store = (*Store)(nil)

// New returns a store that forwards calls to inner.
func New(inner objectstore.Store, now func() time.Time) *Store {
	return &Store{inner: inner, now: now}
}

// Watch implements objectstore.Store. An error means that the store was unavailable, as far as this
// instance can tell.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (objectstore.Changes, error) {
	began := s.now()
	c, err := s.watch(ctx, prefix, after)
	if ctx.Err() != nil || !s.mayBeAvailable(err) {
		return c, err
	}
	c, err = s.watch(objectstore.WithoutWaiting(ctx), prefix, after)
	if err == nil && len(c.Objects) == 0 {
		sleep.For(ctx, minInterval-s.now().Sub(began))
	}
	return c, err
}

func (s *Store) watch(ctx context.Context, prefix string, after uint64) (objectstore.Changes, error) {
	c, err := s.inner.Watch(ctx, prefix, after)
	s.record(err)
	return c, err
}

// mayBeAvailable reports whether the store may have been available all the time, although a watch has
// failed.
func (s *Store) mayBeAvailable(err error) bool {
	if errors.Is(err, objectstore.ErrInterrupted) {
		return true
	}
	at := s.answeredAt.Load()
	return errors.Is(err, objectstore.ErrNoResponse) && at != nil && s.now().Sub(*at) < maxSilence
}

// record records the time of a call's result if the store has answered it.
func (s *Store) record(err error) {
	if errors.Is(err, objectstore.ErrUnavailable) || errors.Is(err, objectstore.ErrUnknown) || errors.Is(err, context.Canceled) {
		return
	}
	now := s.now()
	s.answeredAt.Store(&now)
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, key string) (objectstore.Object, error) {
	o, err := s.inner.Get(ctx, key)
	s.record(err)
	return o, err
}

// Create implements objectstore.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	o, err := s.inner.Create(ctx, key, value)
	s.record(err)
	return o, err
}

// Update implements objectstore.Store.
func (s *Store) Update(ctx context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	o, err := s.inner.Update(ctx, key, value, version)
	s.record(err)
	return o, err
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	err := s.inner.Delete(ctx, key, version)
	s.record(err)
	return err
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	out, err := s.inner.List(ctx, prefix)
	s.record(err)
	return out, err
}
