package usage

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/lease"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// stateKey is the object that holds what holders of the duty hand on.
	stateKey = "usage/state"
	// stepInterval is the time between two steps of the duty.
	stepInterval = 300 * time.Millisecond
	// settleTime is how long after a window's end its counts are taken as final:
	// peers tell theirs every few hundred milliseconds.
	settleTime = 2 * time.Second
	// callTime is the longest time of one report, for which the lease must last.
	callTime = 800 * time.Millisecond
)

// Lease tells whether this process holds the duty.
type Lease interface {
	Held() (fence uint64, ok bool)
	Do(ctx context.Context, needs time.Duration, action func(ctx context.Context, fence uint64) error) error
}

// Platform takes the reports. A repeated report must be the same.
type Platform interface {
	ReportUsage(ctx context.Context, fence uint64, window int64, counts Counts) error
}

// state is what holders of the duty hand on. A window's final counts are stored
// before they are reported, so that every report of it is the same.
type state struct {
	// Counts holds counts by window and source that are not final yet.
	Counts map[int64]map[string]Counts `json:"counts"`
	// Final holds the final counts of windows, Reported those that were accepted.
	Final    map[int64]Counts `json:"final"`
	Reported map[int64]bool   `json:"reported"`
	// SavedMS is the true time of the write in Unix milliseconds.
	SavedMS int64 `json:"saved_ms"`
}

// LastSaved returns when a holder of the duty last stored its state: until then
// instances were surely at work. It is zero if none ever did.
func LastSaved(ctx context.Context, store objectstore.Store) (time.Time, error) {
	var s state
	stored := lease.State{Store: store, Key: stateKey}
	if _, err := stored.Load(ctx, &s); err != nil || s.SavedMS == 0 {
		return time.Time{}, err
	}
	return time.UnixMilli(s.SavedMS), nil
}

// Reporter carries out the duty of reporting the usage.
type Reporter struct {
	Ledger   *Ledger
	Store    objectstore.Store
	Lease    Lease
	Platform Platform
	Log      *slog.Logger

	// fence is the hold for which the state was read; 0 if none was.
	fence  uint64
	stored lease.State
	state  state
	// first is the window in which this duty was first held.
	first int64
}

// Run reports the usage, while this process holds the duty, until the context ends.
func (r *Reporter) Run(ctx context.Context) error {
	for sleep.For(ctx, stepInterval) {
		if err := r.step(ctx); err != nil {
			r.Log.Warn("usage not reported", "error", err.Error())
		}
	}
	return nil
}

func (r *Reporter) step(ctx context.Context) error {
	fence, held := r.Lease.Held()
	if !held {
		r.fence = 0
		return nil
	}
	if fence != r.fence {
		if err := r.load(ctx); err != nil {
			return err
		}
		r.fence = fence
	}
	if err := r.save(ctx); err != nil {
		r.fence = 0 // what is stored isn't known: read it again
		return err
	}
	return r.report(ctx)
}

// load reads what the last holder handed on.
func (r *Reporter) load(ctx context.Context) error {
	r.state = state{}
	r.stored = lease.State{Store: r.Store, Key: stateKey}
	_, err := r.stored.Load(ctx, &r.state)
	if errors.Is(err, lease.ErrStateUnreadable) {
		r.Log.Error("usage state not taken over", "error", err.Error())
		r.state = state{}
	} else if err != nil {
		return err
	}
	for index, sources := range r.state.Counts {
		for source, c := range sources {
			r.Ledger.Merge(source, map[int64]map[string]int{index: c})
		}
	}
	r.first = r.Ledger.Index(r.Ledger.Now())
	r.Log.Info("usage state read", "saved_ms", r.state.SavedMS, "final", len(r.state.Final))
	return nil
}

// save stores the counts so far, and the final ones of windows that have ended.
func (r *Reporter) save(ctx context.Context) error {
	now := r.Ledger.Now()
	newest := r.Ledger.Index(now)
	next := state{Counts: make(map[int64]map[string]Counts), Final: make(map[int64]Counts), Reported: make(map[int64]bool), SavedMS: now.UnixMilli()}
	for index := newest - Kept; index <= newest; index++ {
		final, ok := r.state.Final[index]
		switch {
		case ok:
			next.Final[index] = final
		case now.Sub(r.Ledger.End(index)) > settleTime && index >= r.first-2:
			next.Final[index] = r.Ledger.Sum(index)
		default:
			next.Counts[index] = r.Ledger.Sources(index)
		}
		if r.state.Reported[index] {
			next.Reported[index] = true
		}
	}
	if err := r.stored.Save(ctx, next); err != nil {
		return err
	}
	r.state = next
	return nil
}

// report sends the final counts that were not accepted yet.
func (r *Reporter) report(ctx context.Context) error {
	for index, counts := range r.state.Final {
		if r.state.Reported[index] {
			continue
		}
		err := r.Lease.Do(ctx, callTime, func(ctx context.Context, fence uint64) error {
			return r.Platform.ReportUsage(ctx, fence, index, counts)
		})
		if err != nil {
			return eris.Wrapf(err, "window %d", index)
		}
		r.state.Reported[index] = true
		r.Log.Info("usage reported", "window", index, "counts", counts, "fence", r.fence)
	}
	return nil
}
