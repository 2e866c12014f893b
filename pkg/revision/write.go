package revision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// writeRetryDelay is the mean delay before a write, or the read that resolves it, is retried.
const writeRetryDelay = 50 * time.Millisecond

// Errors of reads and writes of the configuration.
var (
	// ErrUnavailable means that the store could not be reached. A write had no effect.
	ErrUnavailable = eris.New("revision: store unavailable")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = eris.New("revision: outcome of the write unknown")
	// ErrInvalid means that a value is not a configuration, or is too large.
	ErrInvalid = eris.New("revision: invalid configuration")
)

// ConflictError means that a write had no effect because the stored revision was not
// the expected one.
type ConflictError struct {
	// Current is the stored revision; 0 if there is none or it could not be read.
	Current uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision: write conflict: the stored revision is %d", e.Current)
}

// Read returns the stored configuration, or nil if there is none, and the object's version.
func Read(ctx context.Context, store objectstore.Store) (*config.Envelope, uint64, error) {
	o, err := store.Get(ctx, config.Key)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, eris.Wrap(ErrUnavailable, err.Error())
	}
	e, err := decode(o.Value)
	return e, o.Version, err
}

// Write replaces the configuration if the stored revision is the expected one, where
// 0 means that there is none yet, and sets e.Revision to the next revision. e.WriteID
// must be unique to this call. If the outcome of the write is unknown, the write is
// retried until the outcome is known or the context ends; then the error is ErrUnknown.
func Write(ctx context.Context, store objectstore.Store, expected uint64, e *config.Envelope) error {
	old, version, err := Read(ctx, store)
	if err != nil {
		return err
	}
	if current := revisionOf(old); current != expected {
		return &ConflictError{Current: current}
	}
	e.Revision = expected + 1
	value, err := json.Marshal(e)
	if err != nil {
		return eris.Wrap(ErrInvalid, err.Error())
	}
	return put(ctx, store, e, value, version)
}

// put makes the conditional write. As the write is conditional, a retry after a lost
// response is safe: either the retry takes effect, or it meets a conflict, and a read
// shows which write came first.
func put(ctx context.Context, store objectstore.Store, e *config.Envelope, value []byte, version uint64) error {
	outcomeUnknown := false
	for {
		err := putOnce(ctx, store, value, version)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, objectstore.ErrConflict):
			return resolve(ctx, store, e, outcomeUnknown)
		case errors.Is(err, objectstore.ErrTooLarge):
			return eris.Wrap(ErrInvalid, err.Error())
		case errors.Is(err, objectstore.ErrUnavailable) && !outcomeUnknown:
			return eris.Wrap(ErrUnavailable, err.Error())
		}
		outcomeUnknown = true
		sleep.For(ctx, writeRetryDelay/2+rand.N(writeRetryDelay))
		if ctx.Err() != nil {
			return eris.Wrap(ErrUnknown, err.Error())
		}
	}
}

func putOnce(ctx context.Context, store objectstore.Store, value []byte, version uint64) error {
	if version == 0 {
		_, err := store.Create(ctx, config.Key, value)
		return err
	}
	_, err := store.Update(ctx, config.Key, value, version)
	return err
}

// resolve determines after a conflict whether this write or another one created the
// revision. If an earlier attempt had an unknown outcome, it reads the store until the
// answer is known or the context ends.
func resolve(ctx context.Context, store objectstore.Store, e *config.Envelope, outcomeUnknown bool) error {
	if !outcomeUnknown {
		return conflictError(ctx, store)
	}
	for {
		stored, _, err := Read(ctx, store)
		switch {
		case err == nil && stored != nil && stored.WriteID == e.WriteID:
			return nil
		case err == nil && revisionOf(stored) == e.Revision:
			return &ConflictError{Current: e.Revision}
		case err == nil:
			return eris.Wrap(ErrUnknown, "a later revision has been stored, so it is unknown which write created this one")
		}
		sleep.For(ctx, writeRetryDelay/2+rand.N(writeRetryDelay))
		if ctx.Err() != nil {
			return eris.Wrap(ErrUnknown, err.Error())
		}
	}
}

// conflictError returns a ConflictError with the stored revision.
func conflictError(ctx context.Context, store objectstore.Store) error {
	stored, _, err := Read(ctx, store)
	if err != nil {
		return &ConflictError{}
	}
	return &ConflictError{Current: revisionOf(stored)}
}

func revisionOf(e *config.Envelope) uint64 {
	if e == nil {
		return 0
	}
	return e.Revision
}

func decode(value []byte) (*config.Envelope, error) {
	var e config.Envelope
	if err := json.Unmarshal(value, &e); err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	return &e, nil
}
