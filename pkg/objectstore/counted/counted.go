// Package counted counts the calls to an object store by kind of object, operation and
// outcome, and the bytes that were read.
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
	// readBytes counts the bytes of the values that were read, by kind of object.
	readBytes *prometheus.CounterVec
}

var _ objectstore.Store = (*Store)(nil)

// New returns a store that forwards calls to inner and counts them in reg.
func New(inner objectstore.Store, reg prometheus.Registerer) *Store {
	s := &Store{inner: inner, calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "medlarsill_store_calls_total", Help: "Calls to the object store, by kind of object, operation and outcome.",
	}, []string{"kind", "operation", "outcome"}), readBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "medlarsill_store_read_bytes_total", Help: "Bytes of the values that were read from the object store, by kind of object.",
	}, []string{"kind"})}
	reg.MustRegister(s.calls, s.readBytes)
	return s
}

// outcomes maps the errors of a store to values of the outcome label, the first that matches; other
// errors are counted as "error".
var outcomes = []struct {
	err  error
	name string
}{
	{objectstore.ErrInterrupted, "interrupted"}, {objectstore.ErrNoResponse, "no response"},
	{objectstore.ErrNotFound, "not found"}, {objectstore.ErrConflict, "conflict"}, {objectstore.ErrTooLarge, "too large"},
	{objectstore.ErrUnavailable, "unavailable"}, {objectstore.ErrUnknown, "unknown"},
}

// count counts a call.
func (s *Store) count(operation, key string, err error) {
	s.calls.WithLabelValues(kindOf(key), operation, outcome(err)).Inc()
}

// countBytes counts the values that a call has read.
func (s *Store) countBytes(key string, objects ...objectstore.Object) {
	size := 0
	for _, o := range objects {
		size += len(o.Value)
	}
	s.readBytes.WithLabelValues(kindOf(key)).Add(float64(size))
}

// kindOf returns the kind of object of a key: the part up to the first slash.
func kindOf(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
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
	s.countBytes(key, o)
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
	s.countBytes(prefix, out...)
	return out, err
}

// Watch implements objectstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (objectstore.Changes, error) {
	out, err := s.inner.Watch(ctx, prefix, after)
	s.count("watch", prefix, err)
	s.countBytes(prefix, out.Objects...)
	return out, err
}
