package rollout

import (
	"context"
	"errors"

	"github.com/medlarsill/medlarsill/pkg/lease"
)

// stateKey is the key of the object that holds the holder's progress.
const stateKey = "rollout/state"

// load reads the progress of the last holder, if this process has just become the holder. It returns
// false if that isn't possible now.
func (h *Holder) load(ctx context.Context, fence uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if fence == h.fence {
		return true
	}
	if h.Now().Sub(h.loadedAt) < retryInterval {
		return false
	}
	h.loadedAt = h.Now()
	records := make(map[string]Record)
	state := lease.State{Store: h.Store, Key: stateKey}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := state.Load(ctx, &records)
	if errors.Is(err, lease.ErrStateUnreadable) {
		h.Log.Error("failed to decode rollout state; starting empty", "error", err.Error())
		records = make(map[string]Record)
	} else if err != nil {
		h.logFailure("load", "failed to load rollout state", err)
		return false
	}
	delete(h.failures, "load")
	h.fence, h.stored, h.unsaved = fence, state, false
	h.machines = make(map[string]*Machine)
	for name, record := range records {
		h.machines[name] = &Machine{Config: h.Registry.Config, Record: record}
	}
	h.Log.Info("rollout state loaded", "fence", fence, "services", len(records))
	return true
}

// save begins to store the progress if it has changed. The caller holds the lock.
func (h *Holder) save(ctx context.Context) {
	if !h.unsaved || h.saving || h.failures["save"] && h.Now().Sub(h.savedAt) < retryInterval {
		return
	}
	h.savedAt = h.Now()
	records := make(map[string]Record, len(h.machines))
	for name, m := range h.machines {
		if m.Record.Service != "" {
			records[name] = m.Record
		}
	}
	h.saving, h.unsaved = true, false
	state, fence := h.stored, h.fence
	h.finished.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		err := state.Save(ctx, records)
		if err != nil {
			h.reload(ctx, &state)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.saving = false
		if fence != h.fence {
			return
		}
		h.stored = state
		if err != nil {
			h.logFailure("save", "failed to save rollout state", err)
			h.unsaved = true
			return
		}
		delete(h.failures, "save")
	})
}

// reload reads the version of the stored progress, which isn't known after a failed write. What this
// process has decided stays: no other process holds the lease.
func (h *Holder) reload(ctx context.Context, state *lease.State) {
	var ignored map[string]Record
	_, _ = state.Load(ctx, &ignored) // if it fails, the next write fails too and is logged
}
