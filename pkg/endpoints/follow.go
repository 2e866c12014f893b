package endpoints

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Times of following the registrations.
const (
	// retryPause is the mean pause after a failed call; it is drawn from half to one and a half.
	retryPause = 150 * time.Millisecond
	// groupPause is the time after a change in which further ones gather.
	groupPause = 200 * time.Millisecond
	// lapseGrace is how long after the store's return a missing registration may
	// come back: the platform restores those of living endpoints in about two seconds.
	lapseGrace = 2400 * time.Millisecond
)

// Decode reads one registration; an error means that it names no endpoint to use.
type Decode func(key string, value []byte) (Info, error)

// Follower keeps a table up to date from the object store.
type Follower struct {
	Store  objectstore.Store
	Prefix string
	Decode Decode
	Table  *Table
	Log    *slog.Logger
	Now    func() time.Time

	confirmed atomic.Pointer[time.Time]
	at        uint64
	down      bool
	synced    chan struct{}
	// back is when the store answered again after a failed call.
	back time.Time
}

// Synced closes when the registrations have been read once. Call it before Run.
func (f *Follower) Synced() <-chan struct{} {
	if f.synced == nil {
		f.synced = make(chan struct{})
	}
	return f.synced
}

// Age is the time since the store last confirmed the list.
func (f *Follower) Age() time.Duration {
	at := f.confirmed.Load()
	if at == nil {
		return 0
	}
	return f.Now().Sub(*at)
}

// Run follows the registrations until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	f.Synced()
	first := true
	for ctx.Err() == nil {
		changes, err := f.Store.Watch(ctx, f.Prefix, f.position())
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.apply(changes)
		if len(changes.Objects) > 0 && !changes.Reset {
			// Changes come in groups; a short pause takes a group in one call.
			sleep.For(ctx, groupPause)
		}
		if first {
			close(f.synced)
			first = false
		}
	}
	return nil
}

// position is where the next watch goes on. After a failed call it is the
// start: a full list is answered at once, so that the store's return is noticed
// before the next change.
func (f *Follower) position() uint64 {
	if f.down {
		return 0
	}
	return f.at
}

func (f *Follower) failed(ctx context.Context, err error) {
	if !f.down {
		f.Log.Warn("endpoint list lost", "error", err.Error(), "version", f.at)
	}
	f.down = true
	sleep.For(ctx, retryPause/2+rand.N(retryPause))
}

func (f *Follower) apply(c objectstore.Changes) {
	now := f.Now()
	f.confirmed.Store(&now)
	if f.down {
		f.Log.Info("endpoint list regained", "version", c.Version, "reset", c.Reset)
		f.down = false
		f.back = f.Now()
	}
	f.at = c.Version
	if c.Reset {
		f.replace(c.Objects)
		return
	}
	for _, o := range c.Objects {
		f.change(o)
	}
}

// replace takes a full list after a start or lost history.
func (f *Follower) replace(objects []objectstore.Object) {
	list := make([]Info, 0, len(objects))
	for _, o := range objects {
		if i, ok := f.decode(o); ok {
			list = append(list, i)
		}
	}
	for _, id := range f.Table.Replace(list) {
		f.missing(id)
	}
	f.Log.Info("endpoints listed", "count", len(list), "version", f.at)
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
