package routing

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/watch"
)

// FollowerOptions holds what a follower is made of. All fields are needed.
type FollowerOptions struct {
	Store  objectstore.Store
	Prefix string
	// Newest tells whether an object holds the newest configuration.
	Newest func(o objectstore.Object) bool
	Decode func(value []byte) (Config, error)
	// Changed is called with each configuration that comes into force.
	Changed func(*Table)
	Log     *slog.Logger
	Now     func() time.Time
}

// Follower keeps the newest configuration that this process has seen. It never
// goes back to an older one.
type Follower struct {
	FollowerOptions
	loop    watch.Loop
	current atomic.Pointer[Table]
	mu      sync.Mutex
}

// NewFollower returns a follower that knows no configuration yet.
func NewFollower(o FollowerOptions) *Follower {
	f := &Follower{FollowerOptions: o}
	f.loop = watch.Loop{Store: o.Store, Prefix: o.Prefix, Name: "configuration", Apply: f.apply, Log: o.Log, Now: o.Now}
	return f
}

// Current returns the configuration in force, or nil while none is known.
func (f *Follower) Current() *Table { return f.current.Load() }

// Age is the time since the store last confirmed the configuration.
func (f *Follower) Age() time.Duration { return f.loop.Age() }

// Run follows the configuration until the context ends.
func (f *Follower) Run(ctx context.Context) error { return f.loop.Run(ctx) }

func (f *Follower) apply(c objectstore.Changes, _ bool) {
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
