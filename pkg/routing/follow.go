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

// FollowerOptions configures a Follower. All fields but Members are required.
type FollowerOptions struct {
	Store  objectstore.Store
	Prefix string
	// IsNewest reports whether an object holds the newest configuration.
	IsNewest func(o objectstore.Object) bool
	Decode   func(value []byte) (Config, error)
	// OnChange is called with each configuration that takes effect.
	OnChange func(*Table)
	// Members returns the number of instances; nil stands for a few.
	Members func() int
	Log     *slog.Logger
	Now     func() time.Time
}

// Follower watches the object store and keeps the newest configuration that it
// has seen. It never replaces a configuration by an older one.
type Follower struct {
	FollowerOptions
	loop    watch.Loop
	current atomic.Pointer[Table]
	mu      sync.Mutex
}

// NewFollower returns a Follower without a configuration; Run obtains it.
func NewFollower(o FollowerOptions) *Follower {
	f := &Follower{FollowerOptions: o}
	f.loop = watch.Loop{Store: o.Store, Prefix: o.Prefix, Name: "configuration", Apply: f.apply, Members: o.Members, Log: o.Log, Now: o.Now}
	return f
}

// Current returns the configuration in force, or nil if none has been read yet.
func (f *Follower) Current() *Table { return f.current.Load() }

// Age returns the time since the store last confirmed the configuration.
func (f *Follower) Age() time.Duration { return f.loop.Age() }

// Run watches the configuration until the context ends.
func (f *Follower) Run(ctx context.Context) error { return f.loop.Run(ctx) }

// Refresh reads the configuration apart from the watch, and puts it in force if it is newer.
func (f *Follower) Refresh(ctx context.Context) error {
	objects, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.install(objects, "store, after a peer")
	return nil
}

// apply installs the configuration among changed objects.
func (f *Follower) apply(c objectstore.Changes, _ bool) { f.install(c.Objects, "store") }

// install installs the configuration among objects. The log line names their source.
func (f *Follower) install(objects []objectstore.Object, source string) {
	for _, o := range objects {
		if !f.IsNewest(o) {
			continue
		}
		config, err := f.Decode(o.Value)
		if err != nil {
			f.Log.Error("failed to decode configuration; keeping the current one", "store_version", o.Version, "error", err.Error())
			continue
		}
		f.Install(config, source)
	}
}

// Install replaces the configuration in force by c if c is newer, and reports
// whether it did. The log line names source as the origin of c.
func (f *Follower) Install(c Config, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.Version()
	if f.current.Load() != nil && c.Version <= before {
		return false
	}
	t := NewTable(c)
	f.current.Store(t)
	f.OnChange(t)
	f.Log.Info("configuration in force", "version", c.Version, "before", before, "source", source,
		"routes", len(c.Routes), "services", len(c.Services), "workspaces", len(c.Workspaces))
	return true
}

// Version returns the version in force, or 0 if there is none.
func (f *Follower) Version() uint64 {
	if t := f.current.Load(); t != nil {
		return t.Version
	}
	return 0
}
