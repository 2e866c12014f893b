package admin

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/entrystate"
	"github.com/medlarsill/medlarsill/pkg/membership"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/revision"
)

// queryTimeout bounds one call to an entry.
const queryTimeout = 500 * time.Millisecond

// Caller makes calls to entries; peer.Client implements it.
type Caller interface {
	CallAddr(ctx context.Context, addr, method string, args, reply any) error
}

// InForce describes on which entries a revision is in force.
type InForce struct {
	// Everywhere is true if no entry takes new work under an older revision.
	Everywhere bool
	// Missing lists the entries that aren't known to have the revision. If
	// Everywhere is true, these entries are unreachable and refuse new work.
	Missing []api.Entry
}

// Fleet gives access to the registered entries and the revision in force on each.
type Fleet interface {
	// Entries queries every registered entry. Entries that don't respond have Error
	// set. If the registrations can't be read, it queries the entries of the last
	// successful read and returns them with the error.
	Entries(ctx context.Context) ([]api.Entry, error)
	// Distribute pushes a stored configuration to every registered entry until it
	// is in force everywhere or the context ends.
	Distribute(ctx context.Context, env *config.Envelope) (InForce, error)
}

// polledFleet is a Fleet that calls every entry directly.
type polledFleet struct {
	store  objectstore.Store
	caller Caller
	log    *slog.Logger
	// known holds the entries of the last successful read of the registrations,
	// which are queried during an outage.
	known atomic.Pointer[[]api.Entry]
}

// NewFleet returns a Fleet of the entries registered in an object store.
func NewFleet(store objectstore.Store, caller Caller, log *slog.Logger) Fleet {
	return &polledFleet{store: store, caller: caller, log: log}
}

// Entries implements Fleet.
func (f *polledFleet) Entries(ctx context.Context) ([]api.Entry, error) {
	_, err := f.registrations(ctx)
	var entries []api.Entry
	if known := f.known.Load(); known != nil {
		entries = slices.Clone(*known)
	}
	f.queryAll(ctx, entries)
	return entries, err
}

// registrations reads the registrations, sorted by id, and stores them in known.
func (f *polledFleet) registrations(ctx context.Context) ([]membership.Registration, error) {
	list, err := membership.List(ctx, f.store, f.log)
	if err != nil {
		return nil, eris.Wrap(ErrStore, err.Error())
	}
	known := make([]api.Entry, len(list))
	for i, r := range list {
		known[i] = api.Entry{ID: r.ID, DataCentre: r.DataCentre, Addr: r.Addr}
	}
	f.known.Store(&known)
	return list, nil
}

// queryAll queries all entries concurrently and fills in the results.
func (f *polledFleet) queryAll(ctx context.Context, entries []api.Entry) {
	var wg sync.WaitGroup
	for i := range entries {
		wg.Go(func() { f.query(ctx, &entries[i]) })
	}
	wg.Wait()
}

func (f *polledFleet) query(ctx context.Context, e *api.Entry) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	report, err := entrystate.Get(ctx, f.caller, e.Addr)
	if err != nil {
		e.Error = "no answer: " + err.Error()
		return
	}
	if report.ID != e.ID {
		e.Error = "another entry answers at this address: " + report.ID
		return
	}
	e.Error, e.Revision, e.Preset, e.Ready = "", report.Revision, report.Preset, report.Ready
}

// Distribute implements Fleet.
func (f *polledFleet) Distribute(ctx context.Context, env *config.Envelope) (InForce, error) {
	result, err := revision.Await(ctx, f.caller, f.targets, env, time.Now)
	if err != nil {
		return InForce{}, err
	}
	out := InForce{Everywhere: result.InForce}
	for _, id := range result.Missing {
		out.Missing = append(out.Missing, f.missing(id))
	}
	return out, nil
}

// targets returns the registered entries, which a change must reach.
func (f *polledFleet) targets(ctx context.Context) ([]revision.Entry, error) {
	list, err := f.registrations(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]revision.Entry, len(list))
	for i, r := range list {
		out[i] = revision.Entry{Info: r.Info(), Group: r.Group}
	}
	return out, nil
}

// missing describes an entry that isn't known to have a revision.
func (f *polledFleet) missing(id string) api.Entry {
	out := api.Entry{ID: id}
	if known := f.known.Load(); known != nil {
		at := slices.IndexFunc(*known, func(e api.Entry) bool { return e.ID == id })
		if at >= 0 {
			out = (*known)[at]
		}
	}
	out.Error = "not known to have the revision"
	return out
}
