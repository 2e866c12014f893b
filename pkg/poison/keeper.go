package poison

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/lease"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// stateKey is the key of the object that holds the traits in quarantine.
	stateKey = "poison/parts"
	// saveInterval is the least time between two writes of the object, and between two
	// attempts to read it.
	saveInterval = 500 * time.Millisecond
	// clearedInterval is the time after a write in which evidence that is no longer there is not
	// removed from the object.
	clearedInterval = 5 * time.Second
	// exchangeInterval is the time between two reads of the object while instances don't reach
	// each other.
	exchangeInterval = time.Second
)

// Keeper keeps the traits in quarantine in the object store, and the crashes that speak against
// others, for a start of all instances and for instances that don't reach each other: others
// hear of them from their peers.
type Keeper struct {
	Guard *Guard
	Store objectstore.Store
	// StoreHistory returns the number of the store's newest known history. A rollback begins a new one.
	StoreHistory func() uint64
	// Writes reports whether this instance is the one that writes the object, among those that
	// reach each other.
	Writes func() bool
	// Incomplete reports whether this instance doesn't reach all others.
	Incomplete func() bool
	// FirstStart is true at the first start of the whole system, when nothing is stored.
	FirstStart bool
	Log        *slog.Logger
	// TrueTime returns the true time of day.
	TrueTime func() time.Time

	stored lease.State
	// saved and savedCrashes are what the object holds as far as this instance knows, and savedAt
	// is when it was last written.
	saved        []Entry
	savedCrashes []storedCrash
	savedAt      time.Time
	loaded       atomic.Bool
}

// record is the stored object. Crashes is encoded as encodeCrashes does.
type record struct {
	Parts   []Entry `json:"parts"`
	Crashes []byte  `json:"crashes,omitempty"`
}

// Loaded reports whether the stored traits have been read since the start.
func (k *Keeper) Loaded() bool { return k.FirstStart || k.loaded.Load() }

// Run reads the stored traits once, and then exchanges changes with the store until the
// context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.stored = lease.State{Store: k.Store, Key: stateKey}
	var read time.Time
	for ok := true; ok; ok = sleep.For(ctx, saveInterval) {
		writes := k.Writes()
		if !k.Loaded() || writes && k.Incomplete() && time.Since(read) >= exchangeInterval {
			if k.load(ctx) {
				k.loaded.Store(true)
			}
			read = time.Now()
		}
		if k.Loaded() && writes {
			k.save(ctx)
		}
	}
	return nil
}

// load reads the stored traits. It reports whether that is done.
func (k *Keeper) load(ctx context.Context) bool {
	var r record
	_, err := k.stored.Load(ctx, &r)
	if errors.Is(err, lease.ErrStateUnreadable) {
		k.Log.Error("failed to decode quarantined traits of requests; starting without them", "error", err.Error())
		return true
	}
	if err != nil {
		k.Log.Warn("failed to read quarantined traits of requests", "error", err.Error())
		return false
	}
	k.saved = r.Parts
	k.Guard.Merge(r.Parts)
	crashes, err := decodeCrashes(r.Crashes)
	if err != nil {
		k.Log.Error("failed to decode stored crashes; going on without them", "error", err.Error())
		return true
	}
	k.savedCrashes = crashes
	// At the start all instances read the object; later only the one that writes it.
	k.Guard.mergeCrashes(crashes, k.TrueTime(), k.Loaded())
	return true
}

// save stores the traits and the crashes if they have changed, or if the store may have lost them.
func (k *Keeper) save(ctx context.Context) {
	if objectstore.MayBeLost(k.stored.Version(), k.StoreHistory()) {
		k.saved, k.savedCrashes = nil, nil
		if !k.load(ctx) {
			return
		}
	}
	list, crashes := k.Guard.Entries(), k.Guard.suspectedCrashes(k.TrueTime())
	if sameEntries(list, k.saved) && !k.crashesChanged(crashes) {
		return
	}
	encoded, err := encodeCrashes(crashes)
	if err != nil {
		k.Log.Error("failed to encode crashes", "error", err.Error())
	}
	err = k.stored.Save(ctx, record{Parts: list, Crashes: encoded})
	if errors.Is(err, lease.ErrStateConflict) {
		// Another instance has written the object; the next save holds the traits of both.
		k.load(ctx)
		return
	}
	if err == nil {
		k.saved, k.savedCrashes, k.savedAt = list, crashes, time.Now()
	}
	if err != nil {
		k.Log.Warn("failed to store quarantined traits of requests", "error", err.Error())
	}
}

// crashesChanged reports whether there is evidence that isn't stored, or none any more of what
// was stored some time ago.
func (k *Keeper) crashesChanged(crashes []storedCrash) bool {
	stored := make(map[process]int, len(k.savedCrashes))
	for _, c := range k.savedCrashes {
		stored[c.Process] = len(c.Requests)
	}
	for _, c := range crashes {
		if len(c.Requests) > stored[c.Process] {
			return true
		}
	}
	return len(crashes) < len(k.savedCrashes) && time.Since(k.savedAt) >= clearedInterval
}

// sameEntries reports whether two lists are the same but for the times of the probes.
func sameEntries(a, b []Entry) bool {
	return slices.EqualFunc(a, b, func(x, y Entry) bool { return x.Trait == y.Trait && x.Epoch == y.Epoch && x.Probes == y.Probes })
}
