package sharedwatch

import (
	"github.com/medlarsill/medlarsill/pkg/delta"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// compact is the short form of changes that are too large for a datagram.
type compact struct {
	_ struct{} `cbor:",toarray"`
	// Objects holds the small objects in full, and Deltas the large ones as differences
	// from an earlier value. References names those of which neither fits: followers read
	// them from the store.
	Objects    []object
	Deltas     []objectDelta
	References []reference
}

// objectDelta is an object whose value is encoded as the difference from an earlier one.
type objectDelta struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Version uint64
	Delta   delta.Delta
}

// reference names an object that has changed.
type reference struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Version uint64
}

// packCompact returns the packed short form of changes: with deltas from the values that
// are known if these are small enough, without otherwise. It returns nil if both are too
// large.
func packCompact(objects []object, known *knownValues) ([]byte, error) {
	for _, bases := range []*knownValues{known, newKnownValues()} {
		packed, err := packValue(newCompact(objects, bases))
		if err != nil {
			return nil, err
		}
		if packed.fits {
			return packed.data, nil
		}
	}
	return nil, nil
}

// newCompact returns changes with each large object as a delta from the value that is
// known, or as a reference if none is.
func newCompact(objects []object, known *knownValues) compact {
	var c compact
	for _, o := range objects {
		base, ok := known.value(o.Key)
		switch {
		case len(o.Value) <= largeValueBytes:
			c.Objects = append(c.Objects, o)
		case ok:
			c.Deltas = append(c.Deltas, objectDelta{Key: o.Key, Version: o.Version, Delta: delta.New(base, o.Value)})
		default:
			c.References = append(c.References, reference{Key: o.Key, Version: o.Version})
		}
	}
	return c
}

// change is a changed object as a follower receives it: in full, as a delta from an earlier
// value, or only its name and version.
type change struct {
	objectstore.Object
	delta *delta.Delta
	// unread is true if the value has to be read from the store.
	unread bool
}

// fullChanges returns objects as changes.
func fullChanges(objects []object) []change {
	out := make([]change, 0, len(objects))
	for _, o := range objects {
		out = append(out, change{Object: objectstore.Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted}})
	}
	return out
}

// changes returns the changes. Each key occurs once, so that their order doesn't matter.
func (c *compact) changes() []change {
	out := fullChanges(c.Objects)
	for i := range c.Deltas {
		d := &c.Deltas[i]
		out = append(out, change{Object: objectstore.Object{Key: d.Key, Version: d.Version}, delta: &d.Delta})
	}
	for _, r := range c.References {
		out = append(out, change{Object: objectstore.Object{Key: r.Key, Version: r.Version}, unread: true})
	}
	return out
}
