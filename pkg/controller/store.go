package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/capacity"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

const (
	// StateKey is the key of the object that holds the capacity state.
	StateKey = "capacity/state"
	// stateFormat names the format of the controller's state. Package scaling has another
	// format under the same key, for another deployment.
	stateFormat = "controller"
)

// ErrStateFormat means that the stored state has another format than the controller's. It
// is neither used nor replaced.
var ErrStateFormat = eris.New("controller: the stored capacity state isn't a controller's")

// stateRecord is the stored form of the capacity state.
type stateRecord struct {
	// Format is stateFormat, or "" in states that older builds stored.
	Format string `json:"format"`
	capacity.State
}

// decodeState decodes a stored state. Older builds stored no name of its format, but
// always the id of the write.
func decodeState(value []byte) (capacity.State, error) {
	var r stateRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return capacity.State{}, err
	}
	if r.Format == stateFormat || r.Format == "" && r.WriteID != "" {
		return r.State, nil
	}
	return capacity.State{}, eris.Wrapf(ErrStateFormat, "format %q", r.Format)
}

// readState returns the stored state and its version. Version 0 means that there is none.
func readState(ctx context.Context, s objectstore.Store) (capacity.State, uint64, error) {
	var state capacity.State
	o, err := s.Get(ctx, StateKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return state, 0, nil
	}
	if err != nil {
		return state, 0, eris.Wrap(ErrNotStored, err.Error())
	}
	state, err = decodeState(o.Value)
	if err != nil {
		return state, 0, fmt.Errorf("%w: %w", ErrNotStored, err)
	}
	return state, o.Version, nil
}

// writeState replaces the stored state if it still has the given version, and returns
// the new version. If the outcome of the write is unknown, it reads the state to see
// whether the write took effect.
func writeState(ctx context.Context, s objectstore.Store, state capacity.State, fence, version uint64) (uint64, error) {
	state.Fence, state.WriteID = fence, uuid.NewString()
	value, err := json.Marshal(stateRecord{Format: stateFormat, State: state})
	if err != nil {
		return 0, eris.Wrap(ErrNotStored, err.Error())
	}
	var o objectstore.Object
	if version == 0 {
		o, err = s.Create(ctx, StateKey, value)
	} else {
		o, err = s.Update(ctx, StateKey, value, version)
	}
	switch {
	case err == nil:
		return o.Version, nil
	case errors.Is(err, objectstore.ErrUnknown):
		return confirmWrite(ctx, s, state.WriteID)
	}
	return 0, eris.Wrap(ErrNotStored, err.Error())
}

// confirmWrite returns the version of the stored state if it was written by the write
// with an ID, and an error otherwise.
func confirmWrite(ctx context.Context, s objectstore.Store, id string) (uint64, error) {
	state, version, err := readState(ctx, s)
	if err != nil {
		return 0, err
	}
	if state.WriteID != id {
		return 0, eris.Wrap(ErrNotStored, "write had no effect or was overwritten")
	}
	return version, nil
}
