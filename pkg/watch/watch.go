// Package watch follows the objects under a prefix of the object store through
// outages, lost answers and lost history, and tells how old what is known is.
package watch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// retryPause is the mean pause after a failed call; it is drawn from half to
// one and a half, so that many processes don't call together after an outage. It
// is part of the time in which a follower that was cut off knows what has changed.
const retryPause = 150 * time.Millisecond

// Loop follows the objects under a prefix. Fill in all fields before use.
type Loop struct {
	Store  objectstore.Store
	Prefix string
	// What names the objects in the log, such as "configuration".
	Name string
	// Apply takes changes; after an outage they are a full list. back is true for
	// the first ones after an outage, or after the store has lost its newest writes.
	Apply func(c objectstore.Changes, back bool)
	// Group is a pause after changes, in which further ones gather; 0 for none.
	CoalesceDelay time.Duration
	Log           *slog.Logger
	Now           func() time.Time

	at        uint64
	down      bool
	confirmed atomic.Pointer[time.Time]
}

// Age is the time since the store last confirmed what is known; 0 before that.
func (l *Loop) Age() time.Duration {
	at := l.confirmed.Load()
	if at == nil {
		return 0
	}
	return l.Now().Sub(*at)
}

// Run follows the objects until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changes, err := l.Store.Watch(ctx, l.Prefix, l.position())
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			l.failed(ctx, err)
			continue
		}
		l.answered(changes)
		if len(changes.Objects) > 0 && !changes.Reset {
			sleep.For(ctx, l.CoalesceDelay)
		}
	}
	return nil
}

// position is where the next watch goes on. After a failed call it is the
// start: a full list is answered at once, so that the store's return is noticed
// before the next change.
func (l *Loop) position() uint64 {
	if l.down {
		return 0
	}
	return l.at
}

func (l *Loop) failed(ctx context.Context, err error) {
	if !l.down {
		l.Log.Warn(l.Name+" lost", "error", err.Error(), "position", l.at, "age_ms", l.Age().Milliseconds())
	}
	l.down = true
	sleep.For(ctx, retryPause/2+rand.N(retryPause))
}

func (l *Loop) answered(c objectstore.Changes) {
	now := l.Now()
	l.confirmed.Store(&now)
	back := l.down || l.at != 0 && objectstore.History(c.Version) != objectstore.History(l.at)
	if back {
		l.Log.Info(l.Name+" regained", "position", c.Version)
	}
	l.down = false
	l.at = c.Version
	l.Apply(c, back)
}
