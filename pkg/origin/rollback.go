package origin

import (
	"context"
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// The store may be rolled back to an older copy, which lacks the newest builds of the record. The
// instances that ran meanwhile know them, as an instance uses no build that it doesn't know to be
// recorded while others serve. So the record is complete again once it holds what all of them know.

// Announcement is what an instance tells its peers of the record of builds.
type Announcement struct {
	// Record is the newest known record; nil if there is none.
	Record *Builds
	// Unrecorded holds builds that the instance knows from before a rollback of the store and that
	// the record lacks.
	Unrecorded []ServiceBuilds
}

// rollback is what an instance knows from before rollbacks of the store.
type rollback struct {
	// unrecorded holds the builds that the record lacks, by service.
	unrecorded Builds
	// wasComplete is true if the record was complete before, from sinceMS on, and isn't known to be
	// so again.
	wasComplete bool
	sinceMS     int64
	// confirmedBy holds the versions of the records that peers have and that hold all that they know,
	// by peer.
	confirmedBy map[string]uint64
	// readySince is when all peers were first known to have confirmed the record; zero if they aren't.
	readySince time.Time
}

// replaced notes that a record takes the place of an older one.
func (r *rollback) replaced(older, newer Builds) {
	r.readySince = time.Time{}
	if older.Version != 0 && objectstore.History(newer.Version) > objectstore.History(older.Version) {
		if !r.wasComplete && !older.rolledBack() {
			r.wasComplete, r.sinceMS = true, older.SinceMS
		}
		for _, s := range older.Services {
			r.unrecorded = r.unrecorded.with(s)
		}
	}
	r.wasComplete = r.wasComplete && (newer.rolledBack() || newer.SinceMS > r.sinceMS)
	r.dropRecorded(newer)
}

// add adds builds that a peer knows from before a rollback.
func (r *rollback) add(list []ServiceBuilds, record Builds) {
	for _, s := range list {
		r.unrecorded = r.unrecorded.with(s)
	}
	r.dropRecorded(record)
}

// dropRecorded drops the builds that a record holds.
func (r *rollback) dropRecorded(record Builds) {
	r.unrecorded = r.unrecorded.without(record.has)
	r.unrecorded.Services = slices.DeleteFunc(r.unrecorded.Services, record.contains)
}

// Announcement returns what to tell the peers with this instance's n-th message; its record is nil in
// messages without it.
func (a *Archive) Announcement(n uint64) Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.builds.Version == 0 || n%announceInterval != 1 && a.Now().Sub(a.changedAt) > announceTime {
		return Announcement{}
	}
	b := a.builds
	return Announcement{Record: &b, Unrecorded: slices.Clone(a.rollback.unrecorded.Services)}
}

// Merge takes over what a peer has announced.
func (a *Archive) Merge(peer string, n Announcement) {
	if n.Record == nil {
		return
	}
	a.setBuilds(*n.Record)
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(n.Unrecorded) > 0 {
		a.rollback.add(n.Unrecorded, a.builds)
		return
	}
	a.rollback.confirmedBy[peer] = n.Record.Version
}

// outdated reports whether the store has been rolled back since the known record was written. The
// caller must hold mu.
func (a *Archive) outdated() bool {
	return a.builds.Version != 0 && (a.builds.rolledBack() || a.mayBeLost(a.builds.Version))
}

// keepComplete says in the stored record that it is complete again after a rollback, once it holds all
// that the running instances know. It reports whether it has tried to.
func (a *Archive) keepComplete(ctx context.Context) bool {
	peers, all := a.Peers()
	a.mu.Lock()
	now, r := a.Now(), &a.rollback
	switch {
	case !all || !a.confirmedBy(peers):
		r.readySince = time.Time{}
	case r.readySince.IsZero():
		r.readySince = now
	}
	ready := !r.readySince.IsZero()
	late := ready && now.Sub(r.readySince) >= confirmTimeout
	wait := now.Sub(a.recordedAt) < recordInterval
	a.mu.Unlock()
	if !ready || wait || !late && !a.IsWriter() {
		return false
	}
	a.mu.Lock()
	a.recordedAt = now
	a.mu.Unlock()
	a.logOutcome("failed to record that builds are complete", a.recordComplete(ctx))
	return true
}

// confirmedBy reports whether the record was complete before a rollback, and holds all that this
// instance and the given peers know. The caller must hold mu.
func (a *Archive) confirmedBy(peers []string) bool {
	r := &a.rollback
	if !r.wasComplete || a.outdated() || len(r.unrecorded.Services) > 0 {
		return false
	}
	return !slices.ContainsFunc(peers, func(peer string) bool { return r.confirmedBy[peer] != a.builds.Version })
}

// recordComplete stores the known record with the time from which on it is complete.
func (a *Archive) recordComplete(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	stored, err := a.loadBuilds(ctx)
	if err != nil {
		return err
	}
	a.mu.Lock()
	next, known := a.builds, a.rollback.wasComplete && stored.Version == a.builds.Version
	next.SinceMS = a.rollback.sinceMS
	a.mu.Unlock()
	if !known {
		a.setBuilds(stored)
		return nil
	}
	if next, err = a.saveBuilds(ctx, next); err != nil {
		return err
	}
	a.setBuilds(next)
	a.Log.Info("builds complete again after a rollback of the store", "builds", len(next.all()), "version", next.Version, "since_ms", next.SinceMS)
	return nil
}

// mayBeLost reports whether the store has been rolled back since an object had a version.
func (a *Archive) mayBeLost(version uint64) bool {
	return objectstore.MayBeLost(version, a.StoreHistory())
}
