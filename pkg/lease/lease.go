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

// Prefix is the prefix of the keys of lease objects; the duty's name follows.
const Prefix = "leases/"

// DefaultDuration is the default duration of a lease.
const DefaultDuration = 10 * time.Second

// Timing of Run.
const (
	// idleInterval is how often a process that isn't a candidate calls Candidate again.
	idleInterval = time.Second
	// callTimeoutDivisor is the divisor of the lease's duration that gives the timeout of
	// one call to the store.
	callTimeoutDivisor = 6
)

// Errors of Do, and of reading a lease.
var (
	// ErrNotHeld means that the lease isn't held for long enough; the action was not run.
	ErrNotHeld = eris.New("lease: not held")
	// errInvalidRecord means that the stored lease can't be decoded, or has an impossible
	// fencing token.
	errInvalidRecord = eris.New("lease: invalid record")
)

// maxFence is the largest possible fencing token: larger ones aren't exact as floating point, and
// leave too few.
const maxFence = 1 << 53

// Options configures a Lease. All fields but FirstStart are required.
type Options struct {
	Config
	Duty  string
	Store objectstore.Store
	Log   *slog.Logger
	Now   func() time.Time
	// Candidate reports whether this process should acquire the lease when it is free,
	// so that only a few of many processes poll it. wasLastHolder is true if this process or
	// an earlier one on its instance was the last holder.
	Candidate func(wasLastHolder bool) bool
	// FirstStart is true at the first start of the whole system, when no process has held the
	// lease before.
	FirstStart bool
}

// Lease acquires and renews the lease of one duty for one process.
type Lease struct {
	Options
	mu          sync.Mutex
	machine     *Machine
	loggedFence uint64
	// loggedInvalid is the version of the last invalid record that was logged.
	loggedInvalid uint64
	// hasRead is true once the lease has been read.
	hasRead bool
}

// New returns a lease that isn't held.
func New(o Options) *Lease {
	return &Lease{Options: o, machine: NewMachine(o.Config), hasRead: o.FirstStart}
}

// Held returns the fencing token and whether this process holds the lease now. It also
// detects a lease that has expired while the process was paused.
func (l *Lease) Held() (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fence, _, ok = l.machine.Held(l.Now())
	return fence, ok
}

// Do runs an action if the lease is held for at least minRemaining longer, and returns
// ErrNotHeld otherwise. The action's context ends when the lease expires.
func (l *Lease) Do(ctx context.Context, minRemaining time.Duration, action func(ctx context.Context, fence uint64) error) error {
	l.mu.Lock()
	fence, remaining, ok := l.machine.Held(l.Now())
	l.mu.Unlock()
	if !ok || remaining < minRemaining {
		return ErrNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return action(ctx, fence)
}

// ObserveFence records a fencing token that a peer knows of, so that later tokens are
// larger even if the store has lost it in a rollback.
func (l *Lease) ObserveFence(fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.ObserveFence(fence)
}

// HighestFence returns the largest known fencing token; 0 if none is known.
func (l *Lease) HighestFence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.HighestFence()
}

// Run acquires and renews the lease until the context ends. It doesn't release the lease;
// see Release.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.step(ctx)
	}
	return nil
}

// step performs the machine's next action.
func (l *Lease) step(ctx context.Context) {
	l.mu.Lock()
	wasLastHolder := l.machine.WasLastHolder(l.Now())
	l.mu.Unlock()
	candidate := l.Candidate(wasLastHolder)
	if _, held := l.Held(); !held && !candidate {
		l.logHolderChange()
		if !l.hasRead {
			// The last holder may be an earlier process on this instance.
			l.hasRead = true
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
	l.logHolderChange()
}

// key returns the key of the lease object.
func (l *Lease) key() string { return Prefix + l.Duty }

// read reads the lease and passes the result to the machine.
func (l *Lease) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.Duration/callTimeoutDivisor)
	defer cancel()
	s, err := load(ctx, l.Store, l.key())
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(err, errInvalidRecord) {
		l.logInvalid(s.Version, err)
		err = nil // as if it were of an unknown holder
	}
	if err != nil {
		l.machine.OnUnknown(l.Now())
		return
	}
	l.machine.OnRead(l.Now(), s)
}

// logInvalid logs an invalid record once. The caller holds the lock.
func (l *Lease) logInvalid(version uint64, err error) {
	if l.loggedInvalid == version {
		return
	}
	l.loggedInvalid = version
	l.Log.Error("invalid lease; it counts as held until it expires", "duty", l.Duty, "store_version", version, "error", err.Error())
}

// load reads a lease. It returns version 0 if the object doesn't exist, and errInvalidRecord
// with the object's version and an empty record if it is invalid.
func load(ctx context.Context, store objectstore.Store, key string) (Stored, error) {
	o, err := store.Get(ctx, key)
	if errors.Is(err, objectstore.ErrNotFound) {
		return Stored{}, nil
	}
	if err != nil {
		return Stored{}, err
	}
	s := Stored{Version: o.Version}
	if err := json.Unmarshal(o.Value, &s.Record); err != nil {
		return Stored{Version: o.Version}, eris.Wrapf(errInvalidRecord, "%.200s", err.Error())
	}
	if s.Fence > maxFence {
		return Stored{Version: o.Version}, eris.Wrapf(errInvalidRecord, "fence %d", s.Fence)
	}
	return s, nil
}

// write performs a conditional write and passes the result to the machine.
func (l *Lease) write(ctx context.Context, a Action) error {
	ctx, cancel := context.WithTimeout(ctx, l.Duration/callTimeoutDivisor)
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
		l.machine.OnWritten(now, Stored{Record: a.Record, Version: o.Version})
	case errors.Is(err, objectstore.ErrConflict):
		l.machine.OnRejected(now, a.Record.WriteID, true)
	case errors.Is(err, objectstore.ErrUnavailable):
		l.machine.OnRejected(now, a.Record.WriteID, false)
	default:
		l.machine.OnUnknown(now)
	}
	return err
}

// Release releases the lease at a planned stop. The caller must have ended Run and all
// work under the lease. If the write fails, the lease expires.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	a, held := l.machine.Release(l.Now())
	l.mu.Unlock()
	l.logHolderChange()
	if !held {
		return nil
	}
	return l.write(ctx, a)
}

// logHolderChange logs when this process acquires the lease or no longer holds it.
func (l *Lease) logHolderChange() {
	fence, _ := l.Held()
	l.mu.Lock()
	previous := l.loggedFence
	l.loggedFence = fence
	l.mu.Unlock()
	switch {
	case fence != 0 && fence != previous:
		l.Log.Info("lease acquired", "duty", l.Duty, "fence", fence)
	case fence == 0 && previous != 0:
		l.Log.Info("lease no longer held", "duty", l.Duty, "fence", previous)
	}
}
