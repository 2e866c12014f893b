package lease

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Prefix is the prefix of lease objects; the duty's name follows.
const Prefix = "leases/"

// DefaultDuration is the usual duration of a duty's lease.
const DefaultDuration = 10 * time.Second

// Times of the loop.
const (
	// idleInterval is how often a process that isn't a candidate looks whether it has become one.
	idleInterval = time.Second
	// callShare is the share of the duration that bounds one call to the store.
	callShare = 6
)

// Errors of guarded actions.
var (
	// ErrNotHeld means that the lease isn't held for long enough; nothing was done.
	ErrNotHeld = eris.New("lease: not held")
)

// Options holds what a lease is made of. All fields are needed.
type Options struct {
	Config
	Duty  string
	Store objectstore.Store
	Log   *slog.Logger
	Now   func() time.Time
	// Candidate tells whether this process should hold the lease if it is free,
	// so that only a few of many processes watch it. returning is true if this
	// process or an earlier start of it held it last.
	Candidate func(returning bool) bool
}

// Lease keeps one duty's lease for one process.
type Lease struct {
	Options
	mu      sync.Mutex
	machine *Machine
	fence   uint64
	// looked is true once the lease was read.
	looked bool
}

// New returns a lease that isn't held.
func New(o Options) *Lease {
	return &Lease{Options: o, machine: NewMachine(o.Config)}
}

// Held returns the fencing number if this process may act now. A process that
// was paused finds out here.
func (l *Lease) Held() (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fence, _, ok = l.machine.Held(l.Now())
	return fence, ok
}

// Do runs an action under the lease if it is held for at least the time that
// the action needs. The action's context ends with the hold.
func (l *Lease) Do(ctx context.Context, needs time.Duration, action func(ctx context.Context, fence uint64) error) error {
	l.mu.Lock()
	fence, left, ok := l.machine.Held(l.Now())
	l.mu.Unlock()
	if !ok || left < needs {
		return ErrNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return action(ctx, fence)
}

// Learn takes a fencing number that a peer knows of, so that later ones are larger
// even if the store has lost it.
func (l *Lease) ObserveFence(fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Learn(fence)
}

// Highest is the largest fencing number known; 0 if none is.
func (l *Lease) HighestFence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Highest()
}

// WaitOut is how much longer a holder must wait for the last holder's orders,
// which take at most longest, before it relies on endpoints that ignore the fencing number.
func (l *Lease) WaitOut(longest time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.WaitOut(l.Now(), longest)
}

// Run keeps the lease until the context ends. It doesn't release it: see Release.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.step(ctx)
	}
	return nil
}

// step makes the machine's next call.
func (l *Lease) step(ctx context.Context) {
	l.mu.Lock()
	returning := l.machine.Returning(l.Now())
	l.mu.Unlock()
	candidate := l.Candidate(returning)
	if _, held := l.Held(); !held && !candidate {
		l.note()
		if !l.looked {
			// An earlier start may have held the lease.
			l.looked = true
			l.read(ctx)
			return
		}
		sleep.For(ctx, idleInterval)
		return
	}
	l.mu.Lock()
	a := l.machine.Next(l.Now(), candidate)
	l.mu.Unlock()
	switch a.Kind {
	case Wait:
		sleep.For(ctx, min(a.After, idleInterval))
	case Read:
		l.read(ctx)
	case Write:
		_ = l.write(ctx, a)
	}
	l.note()
}

func (l *Lease) key() string { return Prefix + l.Duty }

func (l *Lease) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.Duration/callShare)
	defer cancel()
	s, err := load(ctx, l.Store, l.key())
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.machine.Lost(l.Now())
		return
	}
	l.machine.Saw(l.Now(), s)
}

// load reads a lease; a missing object has version 0.
func load(ctx context.Context, store objectstore.Store, key string) (Stored, error) {
	o, err := store.Get(ctx, key)
	if errors.Is(err, objectstore.ErrNotFound) {
		return Stored{}, nil
	}
	if err != nil {
		return Stored{}, err
	}
	s := Stored{Version: o.Version}
	err = json.Unmarshal(o.Value, &s.Record)
	return s, err
}

// write makes a conditional write and tells the machine its outcome.
func (l *Lease) write(ctx context.Context, a Action) error {
	ctx, cancel := context.WithTimeout(ctx, l.Duration/callShare)
	defer cancel()
	value, err := json.Marshal(a.Record)
	if err != nil {
		return err
	}
	var o objectstore.Object
	if a.Version == 0 {
		o, err = l.Store.Create(ctx, l.key(), value)
	} else {
		o, err = l.Store.Update(ctx, l.key(), value, a.Version)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	switch {
	case err == nil:
		l.machine.Wrote(now, Stored{Record: a.Record, Version: o.Version})
	case errors.Is(err, objectstore.ErrConflict):
		l.machine.Refused(now, a.Record.WriteID, true)
	case errors.Is(err, objectstore.ErrUnavailable):
		l.machine.Refused(now, a.Record.WriteID, false)
	default:
		l.machine.Lost(now)
	}
	return err
}

// Release gives the lease up on a planned stop. The caller has ended Run and
// all work under the lease. If the write fails, the lease lapses by itself.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	a, held := l.machine.Release(l.Now())
	l.mu.Unlock()
	l.note()
	if !held {
		return nil
	}
	return l.write(ctx, a)
}

// note logs changes of the holder.
func (l *Lease) note() {
	fence, _ := l.Held()
	l.mu.Lock()
	before := l.fence
	l.fence = fence
	l.mu.Unlock()
	switch {
	case fence != 0 && fence != before:
		l.Log.Info("lease acquired", "duty", l.Duty, "fence", fence)
	case fence == 0 && before != 0:
		l.Log.Info("lease ended", "duty", l.Duty, "fence", before)
	}
}
