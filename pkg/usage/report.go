package usage

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/lease"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// stateKey is the key of the object that holds the state of the duty.
	stateKey = "usage/state"
	// stepInterval is the time between two steps of the duty.
	stepInterval = 300 * time.Millisecond
	// finalizeDelay is how long after a window's end its counts become final: peers
	// send their counts every few hundred milliseconds.
	finalizeDelay = 2 * time.Second
	// reportTimeout bounds one report. The lease must be held for at least that long.
	reportTimeout = 800 * time.Millisecond
)

// Lease is the lease of the duty. Do runs an action only if the lease is held for at
// least the time that the action needs.
type Lease interface {
	Held() (fence uint64, ok bool)
	Do(ctx context.Context, needs time.Duration, action func(ctx context.Context, fence uint64) error) error
}

// Platform receives the reports. A repeated report must be identical to the first.
type Platform interface {
	ReportUsage(ctx context.Context, fence uint64, window int64, counts Counts) error
}

// state is the stored state of the duty, which the next holder continues from. A
// window's final counts are stored before they are reported, so that all reports of
// the window are identical.
type state struct {
	// Counts holds the counts that are not final yet, by window and source.
	Counts map[int64]map[string]Counts `json:"counts"`
	// Final holds the final counts of windows, Reported the windows whose report was
	// accepted.
	Final    map[int64]Counts `json:"final"`
	Reported map[int64]bool   `json:"reported"`
	// SavedMS is the true time of the write in Unix milliseconds.
	SavedMS int64 `json:"saved_ms"`
	// History is the history number of the store when the state was written.
	History uint64 `json:"history,omitempty"`
}

// LastSaved returns when a holder of the duty last stored its state; instances were
// running at least until then. It is zero if that isn't known: no state is stored, or later ones were
// lost as the store was rolled back.
func LastSaved(ctx context.Context, store objectstore.Store) (time.Time, error) {
	var s state
	stored := lease.State{Store: store, Key: stateKey}
	if _, err := stored.Load(ctx, &s); err != nil || !s.isNewest(stored.Version()) {
		return time.Time{}, err
	}
	return time.UnixMilli(s.SavedMS), nil
}

// Reporter performs the duty of reporting the usage to the platform.
type Reporter struct {
	Ledger   *Ledger
	Store    objectstore.Store
	Lease    Lease
	Platform Platform
	Log      *slog.Logger
	// FirstStart is true if this process was started in the first start of the whole system, before
	// which no state was stored. StoreRolledBack reports whether the store has been rolled back since.
	FirstStart      bool
	StoreRolledBack func() bool

	// fence is the fencing token under which the state was loaded; 0 if it wasn't.
	fence  uint64
	object lease.State
	state  state
	// firstWindow is the window in which this process loaded the state.
	firstWindow int64
	// finalCounts holds the final counts that this process has stored, and reported
	// the windows whose report was accepted. They survive a rollback of the store.
	finalCounts map[int64]Counts
	reported    map[int64]bool
}

// Run reports the usage while this process holds the lease, until the context ends.
func (r *Reporter) Run(ctx context.Context) error {
	for sleep.For(ctx, stepInterval) {
		if err := r.step(ctx); err != nil {
			r.Log.Warn("failed to report usage", "error", err.Error())
		}
	}
	return nil
}

// step loads the state if the lease was newly acquired, then saves and reports.
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
		r.fence = 0 // the stored state is unknown: load it again
		return err
	}
	return r.report(ctx)
}

// load reads the state of the last holder.
func (r *Reporter) load(ctx context.Context) error {
	r.state = state{}
	r.object = lease.State{Store: r.Store, Key: stateKey}
	found, err := r.object.Load(ctx, &r.state)
	if errors.Is(err, lease.ErrStateUnreadable) {
		r.Log.Error("failed to decode usage state; starting empty", "error", err.Error())
		r.state = state{}
	} else if err != nil {
		return err
	}
	newest := found && r.state.isNewest(r.object.Version())
	for index, sources := range r.state.Counts {
		for source, c := range sources {
			if r.Ledger.Merge(source, map[int64]map[string]int{index: c}) > 0 {
				r.Log.Warn("stored usage counts ignored", "window", index, "source", source, "reason", "far from the current window")
			}
		}
	}
	r.firstWindow = r.Ledger.Index(r.Ledger.Now())
	r.recover(newest || !found && err == nil && r.neverStored())
	r.Log.Info("usage state loaded", "found", found, "newest", newest, "saved_ms", r.state.SavedMS, "final", len(r.state.Final))
	return nil
}

// recover corrects the loaded state. It restores the results that this process has stored and
// reported. If the state isn't known to be the one that was stored last, windows that may have been
// reported under a lost state are skipped, since a second report with other counts is worse than none.
func (r *Reporter) recover(complete bool) {
	if r.state.Final == nil {
		r.state.Final = make(map[int64]Counts)
	}
	if r.state.Reported == nil {
		r.state.Reported = make(map[int64]bool)
	}
	newest := r.Ledger.Index(r.Ledger.Now())
	for index := newest - KeptWindows; index <= newest; index++ {
		if counts, ok := r.finalCounts[index]; ok {
			r.state.Final[index] = counts
		}
		if r.reported[index] {
			r.state.Reported[index] = true
		}
		if !complete && r.mayHaveBeenReported(index) {
			r.Log.Warn("skipping usage window that may have been reported under a state that was lost", "window", index)
			r.state.Final[index] = Counts{}
			r.state.Reported[index] = true
		}
	}
}

// isNewest reports whether the state was the one that was stored last: the store hasn't been rolled
// back since.
func (s *state) isNewest(version uint64) bool {
	return s.SavedMS != 0 && objectstore.History(version) == s.History
}

// neverStored reports whether a missing state is known never to have been stored, rather than lost.
func (r *Reporter) neverStored() bool { return r.FirstStart && !r.StoreRolledBack() }

// mayHaveBeenReported reports whether a holder whose writes were lost may have stored
// and reported a window's final counts. That holder's clock may have been ahead.
func (r *Reporter) mayHaveBeenReported(index int64) bool {
	_, known := r.state.Final[index]
	return !known && r.Ledger.Now().Sub(r.Ledger.End(index)) > finalizeDelay/2
}

// save stores the current counts, and the final counts of windows that have ended.
func (r *Reporter) save(ctx context.Context) error {
	now := r.Ledger.Now()
	newest := r.Ledger.Index(now)
	next := state{Counts: make(map[int64]map[string]Counts), Final: make(map[int64]Counts), Reported: make(map[int64]bool), SavedMS: now.UnixMilli(), History: objectstore.History(r.object.Version())}
	for index := newest - KeptWindows; index <= newest; index++ {
		final, ok := r.state.Final[index]
		switch {
		case ok:
			next.Final[index] = final
		case now.Sub(r.Ledger.End(index)) > finalizeDelay && index >= r.firstWindow-2:
			next.Final[index] = r.Ledger.Sum(index)
		default:
			next.Counts[index] = r.Ledger.Sources(index)
		}
		if r.state.Reported[index] {
			next.Reported[index] = true
		}
	}
	if err := r.store(ctx, &next); err != nil {
		return err
	}
	r.state = next
	r.keepCopies()
	return nil
}

// store stores a state. The history of the first one is known only once it is stored.
func (r *Reporter) store(ctx context.Context, s *state) error {
	if err := r.object.Save(ctx, s); err != nil {
		return err
	}
	if s.isNewest(r.object.Version()) {
		return nil
	}
	s.History = objectstore.History(r.object.Version())
	return r.object.Save(ctx, s)
}

// keepCopies keeps the stored results in memory, since the store may be rolled back.
func (r *Reporter) keepCopies() {
	r.finalCounts = r.state.Final
	if r.reported == nil {
		r.reported = make(map[int64]bool)
	}
	for index := range r.state.Reported {
		r.reported[index] = true
	}
	maps.DeleteFunc(r.reported, func(index int64, _ bool) bool { return index < r.Ledger.Index(r.Ledger.Now())-KeptWindows })
}

// report sends the final counts whose report hasn't been accepted yet.
func (r *Reporter) report(ctx context.Context) error {
	for index, counts := range r.state.Final {
		if r.state.Reported[index] {
			continue
		}
		err := r.Lease.Do(ctx, reportTimeout, func(ctx context.Context, fence uint64) error {
			return r.Platform.ReportUsage(ctx, fence, index, counts)
		})
		if err != nil {
			return eris.Wrapf(err, "usage: report window %d", index)
		}
		r.state.Reported[index] = true
		r.reported[index] = true
		r.Log.Info("usage reported", "window", index, "counts", counts, "fence", r.fence)
	}
	return nil
}
