package poison

import (
	"context"
	"errors"
	"log/slog"
	"slices"
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
	// exchangeInterval is the time between two reads of the object while instances don't reach
	// each other.
	exchangeInterval = time.Second
)

// Keeper keeps the traits in quarantine in the object store, for a start of all instances and
// for instances that don't reach each other: others hear of them from their peers.
type Keeper struct {
	Guard *Guard
	Store objectstore.Store
	// Writes reports whether this instance is the one that writes the object, among those that
	// reach each other.
	Writes func() bool
	// Incomplete reports whether this instance doesn't reach all others.
	Incomplete func() bool
	// FirstStart is true at the first start of the whole system, when nothing is stored.
	FirstStart bool
	Log        *slog.Logger

	stored lease.State
	// saved is what the object holds as far as this instance knows.
	saved []Entry
}

// record is the stored object.
type record struct {
	Parts []Entry `json:"parts"`
}

// Run reads the stored traits once, and then exchanges changes with the store until the
// context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.stored = lease.State{Store: k.Store, Key: stateKey}
	loaded := k.FirstStart
	var read time.Time
	for sleep.For(ctx, saveInterval) {
		writes := k.Writes()
		if !loaded || writes && k.Incomplete() && time.Since(read) >= exchangeInterval {
			loaded = k.load(ctx) || loaded
			read = time.Now()
		}
		if loaded && writes {
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
	return true
}

// save stores the traits if they have changed.
func (k *Keeper) save(ctx context.Context) {
	list := k.Guard.Entries()
	if sameEntries(list, k.saved) {
		return
	}
	err := k.stored.Save(ctx, record{Parts: list})
	if errors.Is(err, lease.ErrStateConflict) {
		// Another instance has written the object; the next save holds the traits of both.
		k.load(ctx)
		return
	}
	if err == nil {
		k.saved = list
	}
	if err != nil {
		k.Log.Warn("failed to store quarantined traits of requests", "error", err.Error())
	}
}

// sameEntries reports whether two lists are the same but for the times of the probes.
func sameEntries(a, b []Entry) bool {
	return slices.EqualFunc(a, b, func(x, y Entry) bool { return x.Trait == y.Trait && x.Epoch == y.Epoch && x.Probes == y.Probes })
}
