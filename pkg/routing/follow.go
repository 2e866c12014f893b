package routing

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// retryPause is the mean pause after a failed call to the store; it is drawn
// from half to one and a half.
const retryPause = 150 * time.Millisecond

// Follower keeps the newest configuration that this process has seen. It never
// goes back to an older one.
type Follower struct {
	Store  objectstore.Store
	Prefix string
	// Newest tells whether an object holds the newest configuration.
	Newest func(o objectstore.Object) bool
	Decode func(value []byte) (Config, error)
	Log    *slog.Logger
	Now    func() time.Time
	// Changed is called with each configuration that comes into force.
	Changed func(*Table)

	current   atomic.Pointer[Table]
	confirmed atomic.Pointer[time.Time]
	mu        sync.Mutex
	at        uint64
	down      bool
}

// Current returns the configuration in force, or nil while none is known.
func (f *Follower) Current() *Table { return f.current.Load() }

// Age is the time since the store last confirmed the configuration.
func (f *Follower) Age() time.Duration {
	at := f.confirmed.Load()
	if at == nil {
		return 0
	}
	return f.Now().Sub(*at)
}

// Run follows the configuration until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changes, err := f.Store.Watch(ctx, f.Prefix, f.at)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.apply(changes)
	}
	return nil
}

func (f *Follower) failed(ctx context.Context, err error) {
	if !f.down {
		f.Log.Warn("configuration lost", "error", err.Error(), "version", f.version(), "age_ms", f.Age().Milliseconds())
	}
	f.down = true
	sleep.For(ctx, retryPause/2+rand.N(retryPause))
}

func (f *Follower) apply(c objectstore.Changes) {
	now := f.Now()
	f.confirmed.Store(&now)
	if f.down {
		f.Log.Info("configuration regained", "version", f.version(), "reset", c.Reset)
		f.down = false
	}
	f.at = c.Version
	for _, o := range c.Objects {
		if !f.Newest(o) {
			continue
		}
		config, err := f.Decode(o.Value)
		if err != nil {
			f.Log.Error("configuration ignored", "store_version", o.Version, "error", err.Error())
			continue
		}
		f.Take(config, "store")
	}
}

// Take brings a configuration into force if it is newer, and tells whether it was.
func (f *Follower) Take(c Config, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.version()
	if f.current.Load() != nil && c.Version <= before {
		return false
	}
	t := NewTable(c)
	f.current.Store(t)
	f.Changed(t)
	f.Log.Info("configuration in force", "version", c.Version, "before", before, "source", source,
		"routes", len(c.Routes), "services", len(c.Services), "workspaces", len(c.Workspaces))
	return true
}

func (f *Follower) version() uint64 {
	if t := f.current.Load(); t != nil {
		return t.Version
	}
	return 0
}
