package handover

import (
	"context"
	"slices"

	"github.com/medlarsill/medlarsill/pkg/dispatch"
	"github.com/medlarsill/medlarsill/pkg/flight"
)

// maxKeepers bounds how many peers are tried for one copy.
const maxHolderTries = 3

// Replicator copies one flight to a peer while its answer grows.
type Replicator struct {
	m      *Manager
	f      *flight.Flight
	holder string
	tried  []string
	copied int
}

// Protect stores the first copy of a flight on a peer, before its work starts.
// Without any allowed peer the flight goes on without a copy.
func (m *Manager) StartReplication(ctx context.Context, f *flight.Flight) *Replicator {
	r := &Replicator{m: m, f: f}
	if r.copyToNewHolder(ctx) != SyncStored {
		m.Metrics.unprotected()
		f.Log.ReleaseAll()
	}
	return r
}

// Keeper returns the peer that holds the copy, or "".
func (r *Replicator) Holder() string { return r.holder }

// Run copies the answer's pieces and releases them to readers once copied,
// until the answer has ended. It returns dispatch.ErrTakenOver if the keeper
// has taken the answer over.
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
		e := Extension{ID: r.f.Job.ID, From: r.copied, Tokens: tokens, Point: r.f.Point()}
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
			r.m.Metrics.unprotected()
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

// extend copies pieces to the keeper, or a whole copy to another peer if the keeper is lost.
func (r *Replicator) extend(ctx context.Context, e Extension) SyncState {
	state, err := r.m.sender(r.holder).send(ctx, e)
	if ctx.Err() != nil || err == nil && state != SyncMissing {
		return state
	}
	r.m.Metrics.holderLost()
	return r.copyToNewHolder(ctx)
}

// rekeep stores a whole copy on the best peer not tried yet.
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
		e := Extension{ID: r.f.Job.ID, Job: &job, Tokens: r.f.Log.Tokens(0), Point: r.f.Point()}
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
