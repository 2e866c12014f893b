// Package watch tracks the objects under a prefix of the object store, through outages,
// lost responses and rollbacks, and reports the age of the known state.
package watch

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/elapsed"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// retryPause is the mean pause after a failed call. The pause is random between half and
// one and a half times this value, so that many processes don't call at the same moment
// after an outage. It adds to the delay with which a process that was cut off from the
// store learns of changes.
const retryPause = 150 * time.Millisecond

const (
	// ReceiveTime is the longest time that passes from a watch's response to its receipt and use.
	ReceiveTime = 250 * time.Millisecond
	// maxClockDrift is the largest difference between the clocks over a call that is not due to a
	// suspension or a step of a clock.
	maxClockDrift = 50 * time.Millisecond
	// membersPerRetryPause is the number of instances up to which that pause holds. It grows in
	// proportion for more, up to maxRetryFactor: every call costs money, also one that is refused.
	membersPerRetryPause = 40
	maxRetryFactor       = 8
)

// Loop tracks the objects under a prefix. All exported fields must be set before use.
type Loop struct {
	Store  objectstore.Store
	Prefix string
	// Name describes the objects in log messages, such as "configuration".
	Name string
	// Apply is called with changes, which are a full list after an outage. resync is true
	// for the first call after an outage or a rollback of the store.
	Apply func(c objectstore.Changes, resync bool)
	// Confirmed is called after Apply with the time up to which Apply has been told of all changes;
	// nil for none.
	Confirmed func(at time.Time)
	// Failed is called after each failed call with the time at which it ended; nil for none.
	Failed func(at time.Time)
	// CoalesceDelay is a pause after changes, so that the next call covers several; 0 for
	// none.
	CoalesceDelay time.Duration
	// Members returns the number of instances that watch the store; nil stands for a few. Many
	// repeat failed calls less often.
	Members func() int
	// RetryPause is the mean pause after a failed call, for a few instances; 0 means retryPause. A longer one is
	// for objects whose changes may be known later after an outage.
	RetryPause time.Duration
	Log        *slog.Logger
	Now        func() time.Time

	version     uint64
	down        bool
	confirmedAt atomic.Pointer[time.Time]
}

// Age returns the time since the store last confirmed the known state; 0 if it never has.
func (l *Loop) Age() time.Duration {
	at := l.confirmedAt.Load()
	if at == nil {
		return 0
	}
	return l.Now().Sub(*at)
}

// Run tracks the objects until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		began := l.Now()
		changes, err := l.Store.Watch(ctx, l.Prefix, l.watchFrom())
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			l.handleError(ctx, err)
			continue
		}
		l.handleChanges(changes)
		if l.Confirmed != nil {
			l.Confirmed(confirmedAt(began, l.Now(), changes.Reset))
		}
		if len(changes.Objects) > 0 && !changes.Reset {
			sleep.For(ctx, l.CoalesceDelay)
		}
	}
	return nil
}

// confirmedAt returns the time up to which a call's result tells of all changes: shortly before
// its end, or its beginning if it was a full list or the process was suspended meanwhile, as the
// response may have waited then.
func confirmedAt(began, ended time.Time, list bool) time.Time {
	at := ended.Add(-ReceiveTime)
	suspended := elapsed.Between(began, ended)-ended.Sub(began) > maxClockDrift
	if list || suspended || at.Before(began) {
		return began
	}
	return at
}

// watchFrom returns the version after which the next watch starts. After a failed call it
// is 0: the store returns a full list immediately, so that its recovery is noticed before
// the next change.
func (l *Loop) watchFrom() uint64 {
	if l.down {
		return 0
	}
	return l.version
}

// handleError logs the first error of an outage and pauses before the next call.
func (l *Loop) handleError(ctx context.Context, err error) {
	if !l.down {
		l.Log.Warn(l.Name+" watch failed", "error", err.Error(), "position", l.version, "age_ms", l.Age().Milliseconds())
	}
	l.down = true
	if l.Failed != nil {
		l.Failed(l.Now())
	}
	pause := l.retryPause()
	sleep.For(ctx, pause/2+rand.N(pause))
}

// retryPause returns the mean pause after a failed call.
func (l *Loop) retryPause() time.Duration {
	pause := cmp.Or(l.RetryPause, retryPause)
	if l.Members == nil {
		return pause
	}
	return time.Duration(min(max(1, float64(l.Members())/membersPerRetryPause), maxRetryFactor) * float64(pause))
}

// handleChanges records the new version and applies the changes.
func (l *Loop) handleChanges(c objectstore.Changes) {
	now := l.Now()
	l.confirmedAt.Store(&now)
	resync := l.down || l.version != 0 && objectstore.History(c.Version) != objectstore.History(l.version)
	if resync {
		l.Log.Info(l.Name+" watch restored", "position", c.Version)
	}
	l.down = false
	l.version = c.Version
	l.Apply(c, resync)
}
