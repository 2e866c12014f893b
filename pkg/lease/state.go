package lease

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// Errors of State.
var (
	// ErrStateUnreadable means that the stored state can't be decoded. The next Save
	// replaces it.
	ErrStateUnreadable = eris.New("lease: invalid state")
	// ErrStateConflict means that another process has written the state since it was read
	// or saved.
	ErrStateConflict = eris.New("lease: another holder wrote the state")
)

// State is the stored state of a duty, which each holder passes to the next. It isn't
// safe for concurrent use.
type State struct {
	Store objectstore.Store
	Key   string

	version uint64
}

// Version returns the version of the object that was last read or saved; 0 if there is
// none.
func (s *State) Version() uint64 { return s.version }

// Load reads the state into v. It returns false if none was stored yet. A new holder
// calls it first: Save then replaces the version that was read.
func (s *State) Load(ctx context.Context, v any) (found bool, err error) {
	s.version = 0
	o, err := s.Store.Get(ctx, s.Key)
	if errors.Is(err, objectstore.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	s.version = o.Version
	if err := json.Unmarshal(o.Value, v); err != nil {
		return false, eris.Wrap(ErrStateUnreadable, err.Error())
	}
	return true, nil
}

// Save replaces the state. It returns ErrStateConflict if another process has written the
// state since it was read or saved.
func (s *State) Save(ctx context.Context, v any) error {
	value, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "lease: encode state")
	}
	var o objectstore.Object
	if s.version == 0 {
		o, err = s.Store.Create(ctx, s.Key, value)
	} else {
		o, err = s.Store.Update(ctx, s.Key, value, s.version)
	}
	if errors.Is(err, objectstore.ErrConflict) {
		return ErrStateConflict
	}
	if err != nil {
		return err
	}
	s.version = o.Version
	return nil
}
