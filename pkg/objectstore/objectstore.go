// Package objectstore defines the interface to the platform's object API: versioned
// values, conditional writes and watches. Adapters for a wire format return only the
// errors declared here.
package objectstore

import (
	"context"

	"github.com/rotisserie/eris"
)

// MaxValueBytes is the largest value the platform stores, in bytes.
const MaxValueBytes = 1 << 20

// Errors that every Store returns, possibly wrapped.
var (
	// ErrNotFound means that the key has no value.
	ErrNotFound = eris.New("object store: not found")
	// ErrConflict means that the object did not have the version that a write expected.
	// The write had no effect.
	ErrConflict = eris.New("object store: version conflict")
	// ErrTooLarge means that the value is larger than MaxValueBytes. The write had no effect.
	ErrTooLarge = eris.New("object store: value too large")
	// ErrUnavailable means that the call was refused before it had any effect.
	ErrUnavailable = eris.New("object store: unavailable")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = eris.New("object store: outcome unknown")
	// ErrInterrupted comes with ErrUnavailable or ErrUnknown if the call's connection ended before
	// the whole response. Alone it doesn't tell that the store is unavailable: the store may close
	// connections, also those on which a watch waits.
	ErrInterrupted = eris.New("object store: connection ended before the response")
	// ErrNoResponse comes with ErrUnavailable or ErrUnknown if the call's response wasn't received in
	// time. Either the store or the connection is silent.
	ErrNoResponse = eris.New("object store: no response in time")
)

// historyShift is the bit position of the history number in a version.
const historyShift = 40

// maxRevision is the largest revision within a history.
const maxRevision = 1<<historyShift - 1

// Version returns the version of the n-th write of a history; 0 if n is 0. A store
// that is rolled back to an older copy loses its newest writes and continues to count
// from the revision of the copy. It then begins a new history, with the next higher
// number. Versions of later histories are larger, so that versions always grow and
// are never reused.
func Version(history, n uint64) uint64 {
	if n == 0 {
		return 0
	}
	return history<<historyShift | n&maxRevision
}

// History returns the number of the history that a version belongs to.
func History(version uint64) uint64 { return version >> historyShift }

// Revision returns the revision of a version: the number of the write within its history.
func Revision(version uint64) uint64 { return version & maxRevision }

// MayBeLost reports whether the store has been rolled back since an object had a version, given the
// number of its newest history, so that it may lack what was written. It returns false for version 0,
// that of no object.
func MayBeLost(version, newestHistory uint64) bool {
	return version != 0 && History(version) < newestHistory
}

// Object is one stored value with the version of its last write.
type Object struct {
	Key string `json:"key"`
	// Version grows with every write to the store and is never reused.
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	// Deleted marks a deletion in the result of a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// Changes is the result of a call of Watch.
type Changes struct {
	// Objects holds the newest state of each changed key, oldest version first.
	Objects []Object `json:"objects"`
	// Version is the position from which the next watch continues.
	Version uint64 `json:"version"`
	// Reset is true if the position was too old or of an earlier history: Objects then
	// holds all objects with the prefix.
	Reset bool `json:"reset,omitempty"`
}

// Store is the platform's object store. All methods are safe for concurrent use.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Create stores a value under a key that must not exist yet, else ErrConflict.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update replaces the value if the object still has the given version, else ErrConflict.
	Update(ctx context.Context, key string, value []byte, version uint64) (Object, error)
	// Delete removes the object if it still has the given version, else ErrConflict.
	Delete(ctx context.Context, key string, version uint64) error
	// List returns the objects whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until a key with the prefix has changed after the given
	// position, or the context ends. The waiting call counts as one call. With a context of
	// WithoutWaiting it returns at once.
	Watch(ctx context.Context, prefix string, after uint64) (Changes, error)
}
