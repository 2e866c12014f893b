// Package counted counts the calls to an object store by kind of object, operation and
// outcome.
package counted

import (
	"context"
	"errors"
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// Store forwards calls to another store and counts them.
type Store struct {
	inner objectstore.Store
	calls *prometheus.CounterVec
}

var _ objectstore.Store = (*Store)(nil)

// New returns a store that forwards calls to inner and counts them in reg.
func New(inner objectstore.Store, reg prometheus.Registerer) *Store {
	s := &Store{inner: inner, calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "medlarsill_store_calls_total", Help: "Calls to the object store, by kind of object, operation and outcome.",
	}, []string{"kind", "operation", "outcome"})}
	reg.MustRegister(s.calls)
	return s
}

// outcomes maps the errors of a store to values of the outcome label; other errors are
// counted as "error".
var outcomes = []struct {
	err  error
	name string
}{
	{objectstore.ErrNotFound, "not found"}, {objectstore.ErrConflict, "conflict"}, {objectstore.ErrTooLarge, "too large"},
	{objectstore.ErrUnavailable, "unavailable"}, {objectstore.ErrUnknown, "unknown"},
}

// count counts a call. The kind of object is the key up to the first slash.
func (s *Store) count(operation, key string, err error) {
	kind, _, _ := strings.Cut(key, "/")
	s.calls.WithLabelValues(kind, operation, outcome(err)).Inc()
}

func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	for _, o := range outcomes {
		if errors.Is(err, o.err) {
			return o.name
		}
	}
	return "error"
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, key string) (objectstore.Object, error) {
	o, err := s.inner.Get(ctx, key)
	s.count("get", key, err)
	return o, err
}

// Create implements objectstore.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	o, err := s.inner.Create(ctx, key, value)
	s.count("create", key, err)
	return o, err
}

// Update implements objectstore.Store.
func (s *Store) Update(ctx context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	o, err := s.inner.Update(ctx, key, value, version)
	s.count("update", key, err)
	return o, err
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	err := s.inner.Delete(ctx, key, version)
	s.count("delete", key, err)
	return err
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	out, err := s.inner.List(ctx, prefix)
	s.count("list", prefix, err)
	return out, err
}

// Watch implements objectstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (objectstore.Changes, error) {
	out, err := s.inner.Watch(ctx, prefix, after)
	s.count("watch", prefix, err)
	return out, err
}
