package sharedwatch

import (
	"sync"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

const (
	// largeValueBytes is the size above which a value is kept as the base of deltas.
	largeValueBytes = 2 << 10
	// maxKnownBytes bounds the size of all values that are kept for a prefix.
	maxKnownBytes = 4 << 20
)

// knownValues holds the newest large values of a prefix that this instance has received. It
// is safe for concurrent use.
type knownValues struct {
	mu     sync.Mutex
	values map[string]objectstore.Object
	bytes  int
}

func newKnownValues() *knownValues {
	return &knownValues{values: make(map[string]objectstore.Object)}
}

// object returns the newest known object with a key.
func (k *knownValues) object(key string) (objectstore.Object, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o, ok := k.values[key]
	return o, ok
}

// value returns the newest known value of a key.
func (k *knownValues) value(key string) ([]byte, bool) {
	o, ok := k.object(key)
	return o.Value, ok
}

// version returns the version of the newest known value of a key, or 0.
func (k *knownValues) version(key string) uint64 {
	o, _ := k.object(key)
	return o.Version
}

// record records the newest values of objects.
func (k *knownValues) record(objects []objectstore.Object) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, o := range objects {
		old := k.values[o.Key]
		if o.Version < old.Version {
			continue
		}
		delete(k.values, o.Key)
		k.bytes -= len(old.Value)
		if o.Deleted || len(o.Value) <= largeValueBytes || k.bytes+len(o.Value) > maxKnownBytes {
			continue
		}
		k.values[o.Key] = o
		k.bytes += len(o.Value)
	}
}
