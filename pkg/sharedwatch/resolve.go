package sharedwatch

import (
	"context"
	"errors"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// resolve returns the newest state of each changed object. It applies deltas to the values
// that are known, and reads from the store what can't be had otherwise. A value that is known in
// the version of a change is returned once more, as its caller may not have got it.
func (s *Store) resolve(ctx context.Context, known *knownValues, changes []change) ([]objectstore.Object, error) {
	var out []objectstore.Object
	unread := make(map[string]uint64)
	for _, c := range changes {
		if c.Version < known.version(c.Key) {
			continue // the object was read at a later version
		}
		o, ok := resolveKnown(known, c)
		if !ok {
			unread[c.Key] = c.Version
			continue
		}
		delete(unread, c.Key)
		known.record([]objectstore.Object{o})
		out = append(out, o)
	}
	for key, version := range unread {
		o, err := s.read(ctx, key, version)
		if err != nil {
			return nil, err
		}
		out = append(out, o)
	}
	known.record(out)
	return newest(out), nil
}

// resolveKnown returns the object of a change from what is known, unless it has to be read.
func resolveKnown(known *knownValues, c change) (objectstore.Object, bool) {
	if o, ok := known.object(c.Key); ok && o.Version == c.Version {
		return o, true
	}
	return applyChange(known, c)
}

// applyChange returns the object of a change, unless its value has to be read.
func applyChange(known *knownValues, c change) (objectstore.Object, bool) {
	if c.delta == nil {
		return c.Object, !c.unread
	}
	base, ok := known.value(c.Key)
	if !ok || c.delta.Size > objectstore.MaxValueBytes {
		return objectstore.Object{}, false
	}
	value, err := c.delta.Apply(base)
	if err != nil {
		return objectstore.Object{}, false // made for another value: the object is read instead
	}
	return objectstore.Object{Key: c.Key, Version: c.Version, Value: value}, true
}

// read reads an object that has changed at the given version.
func (s *Store) read(ctx context.Context, key string, version uint64) (objectstore.Object, error) {
	s.metrics.direct.WithLabelValues(reasonLarge).Inc()
	o, err := s.Get(ctx, key)
	if errors.Is(err, objectstore.ErrNotFound) {
		return objectstore.Object{Key: key, Version: version, Deleted: true}, nil
	}
	return o, err
}
