package controller

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/capacity"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// StateKey is the key of the object that holds the capacity state.
const StateKey = "capacity/state"

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
	if err := json.Unmarshal(o.Value, &state); err != nil {
		return state, 0, eris.Wrap(ErrNotStored, err.Error())
	}
	return state, o.Version, nil
}

// writeState replaces the stored state if it still has the given version, and returns
// the new version. If the outcome of the write is unknown, it reads the state to see
// whether the write took effect.
func writeState(ctx context.Context, s objectstore.Store, state capacity.State, fence, version uint64) (uint64, error) {
	state.Fence, state.WriteID = fence, uuid.NewString()
	value, err := json.Marshal(state)
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
