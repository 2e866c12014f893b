package endpoints

import (
	"context"
	"log/slog"
	"time"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/watch"
)

// Times of following the registrations.
const (
	// groupPause is the time after a change in which further ones gather: changes
	// come in groups, and each call is paid for.
	groupPause = 200 * time.Millisecond
	// lapseGrace is how long after the store's return a missing registration may
	// come back: the platform restores those of living endpoints in about two seconds.
	lapseGrace = 2100 * time.Millisecond
)

// Decode reads one registration; an error means that it names no endpoint to use.
type Decode func(key string, value []byte) (Info, error)

// FollowerOptions holds what a follower is made of. All fields are needed.
type FollowerOptions struct {
	Store  objectstore.Store
	Prefix string
	Decode Decode
	Table  *Table
	Log    *slog.Logger
	Now    func() time.Time
}

// Follower keeps a table up to date from the object store.
type Follower struct {
	FollowerOptions
	loop   watch.Loop
	synced chan struct{}
	// back is when the store answered again after a failed call.
	back time.Time
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(o FollowerOptions) *Follower {
	f := &Follower{FollowerOptions: o, synced: make(chan struct{})}
	f.loop = watch.Loop{Store: o.Store, Prefix: o.Prefix, Name: "endpoint list", Apply: f.apply, CoalesceDelay: groupPause, Log: o.Log, Now: o.Now}
	return f
}

// Synced closes when the registrations have been read once.
func (f *Follower) Synced() <-chan struct{} { return f.synced }

// Age is the time since the store last confirmed the list.
func (f *Follower) Age() time.Duration { return f.loop.Age() }

// Run follows the registrations until the context ends.
func (f *Follower) Run(ctx context.Context) error { return f.loop.Run(ctx) }

func (f *Follower) apply(c objectstore.Changes, back bool) {
	if back {
		f.back = f.Now()
	}
	if c.Reset {
		f.replace(c)
	} else {
		for _, o := range c.Objects {
			f.change(o)
		}
	}
	select {
	case <-f.synced:
	default:
		close(f.synced)
	}
}

// replace takes a full list after a start or lost history.
func (f *Follower) replace(c objectstore.Changes) {
	list := make([]Info, 0, len(c.Objects))
	for _, o := range c.Objects {
		if i, ok := f.decode(o); ok {
			list = append(list, i)
		}
	}
	for _, id := range f.Table.Replace(list) {
		f.missing(id)
	}
	f.Log.Info("endpoints listed", "count", len(list), "position", c.Version)
}

func (f *Follower) change(o objectstore.Object) {
	id := o.Key[len(f.Prefix):]
	if o.Deleted {
		f.missing(id)
		return
	}
	i, ok := f.decode(o)
	if !ok {
		f.missing(id)
		return
	}
	f.note(i)
	f.Table.Put(i)
}

// note logs what a registration changes in the list of usable endpoints.
func (f *Follower) note(i Info) {
	known, ok := f.Table.ByID(i.ID)
	switch {
	case !ok || !known.Info().sameProcess(i):
		f.Log.Info("endpoint registered", "endpoint", i.ID, "service", i.Service, "data_centre", i.DataCentre, "leaving", i.Leaving, "reclaimable", i.Reclaimable)
	case i.Leaving && !known.Info().Leaving:
		f.Log.Info("endpoint leaving", "endpoint", i.ID, "service", i.Service, "left", i.LeavesIn)
	}
}

func (f *Follower) decode(o objectstore.Object) (Info, bool) {
	i, err := f.Decode(o.Key, o.Value)
	if err != nil {
		f.Log.Warn("registration ignored", "key", o.Key, "version", o.Version, "error", err.Error())
		return i, false
	}
	return i, true
}

// missing takes the end of a registration: at once in health, with a grace
// where the store was away and may have dropped it by mistake.
func (f *Follower) missing(id string) {
	if _, known := f.Table.ByID(id); !known {
		return
	}
	left := lapseGrace - f.Now().Sub(f.back)
	if !f.back.IsZero() && left > 0 {
		f.Log.Info("registration lapsed", "endpoint", id, "grace_ms", left.Milliseconds())
		f.Table.Lapse(id, f.Now().Add(left))
		time.AfterFunc(left+time.Millisecond, f.expire)
		return
	}
	f.Log.Info("endpoint gone", "endpoint", id, "reason", "registration removed")
	f.Table.Remove(id)
}

// expire removes the endpoints whose registration has not come back.
func (f *Follower) expire() {
	for _, id := range f.Table.Expire(f.Now()) {
		f.Log.Info("endpoint gone", "endpoint", id, "reason", "registration lapsed")
	}
}
