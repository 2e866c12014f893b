package handover

import (
	"context"
	"slices"

	"github.com/medlarsill/medlarsill/pkg/dispatch"
	"github.com/medlarsill/medlarsill/pkg/flight"
)

// maxHolderTries is the largest number of peers that are tried as holder of a
// flight's copy.
const maxHolderTries = 3

// Replicator copies one flight and its growing answer to a peer, the holder.
type Replicator struct {
	m      *Manager
	f      *flight.Flight
	holder string
	tried  []string
	copied int
}

// StartReplication stores the first copy of a flight on a peer, before its work
// starts. If no allowed peer takes it, the flight runs without a copy.
func (m *Manager) StartReplication(ctx context.Context, f *flight.Flight) *Replicator {
	r := &Replicator{m: m, f: f}
	if r.copyToNewHolder(ctx) != SyncStored {
		m.Metrics.countUnprotected()
		f.Log.ReleaseAll()
	}
	return r
}

// Holder returns the id of the peer that holds the copy, or "".
func (r *Replicator) Holder() string { return r.holder }

// Run copies the answer's tokens and releases them to readers once copied, until
// the answer has ended. It returns dispatch.ErrTakenOver if the holder has taken
// over the answer.
func (r *Replicator) Run(ctx context.Context) error {
	if r.holder == "" {
		return nil
	}
	for {
		if err := r.f.Log.WaitForMore(ctx, r.copied); err != nil {
			return err
		}
		ended, failure := r.f.Log.Ended()
		tokens := r.f.Log.Tokens(r.copied)
		e := Extension{ID: r.f.Job.ID, From: r.copied, Tokens: tokens, Point: r.f.Attempt()}
		if ended {
			e.Code = dispatch.CodeOf(failure)
		}
		state := r.extend(ctx, e)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		switch state {
		case SyncTakenOver:
			return dispatch.ErrTakenOver
		case SyncMissing:
			r.m.Metrics.countUnprotected()
			r.f.Log.ReleaseAll()
			return nil
		}
		r.copied = e.From + len(tokens)
		r.f.Log.Release(r.copied)
		if ended {
			return nil
		}
	}
}

// extend sends an extension to the holder. If the holder fails or has lost the
// copy, it stores a complete copy on another peer.
func (r *Replicator) extend(ctx context.Context, e Extension) SyncState {
	state, err := r.m.sender(r.holder).send(ctx, e)
	if ctx.Err() != nil || err == nil && state != SyncMissing {
		return state
	}
	r.m.Metrics.countHolderLost()
	return r.copyToNewHolder(ctx)
}

// copyToNewHolder stores a complete copy on the first peer by rank that takes it,
// among those not tried yet.
func (r *Replicator) copyToNewHolder(ctx context.Context) SyncState {
	r.holder = ""
	for _, id := range r.m.rankHolders(&r.f.Job) {
		if len(r.tried) >= maxHolderTries {
			break
		}
		if slices.Contains(r.tried, id) {
			continue
		}
		r.tried = append(r.tried, id)
		r.f.NextGeneration()
		job := newJobCopy(r.f, r.m.Now())
		e := Extension{ID: r.f.Job.ID, Job: &job, Tokens: r.f.Log.Tokens(0), Point: r.f.Attempt()}
		if ended, failure := r.f.Log.Ended(); ended {
			e.Code = dispatch.CodeOf(failure)
		}
		state, err := r.m.sender(id).send(ctx, e)
		if err != nil || state == SyncMissing {
			continue
		}
		r.holder = id
		return state
	}
	return SyncMissing
}
