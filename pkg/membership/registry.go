package membership

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Prefix is the prefix of registration objects; the member's id follows.
const Prefix = "members/"

// Times and numbers of the registry.
const (
	// watchersPerDataCentre is how many members of a data centre watch the registrations.
	watchersPerDataCentre = 2
	// minReaders and membersPerReader set how many members of a data centre read the configuration.
	minReaders       = 2
	membersPerReader = 32
	// groupTolerance is the factor by which the group may change before a member registers again.
	groupTolerance = 2
	// smallGroup is the size of a group up to which members don't register again when it shrinks.
	smallGroup = 6
	// registerRetry is the pause after a failed call, before jitter.
	registerRetry = time.Second
	// watcherCheck is how often a member checks whether it is a watcher.
	watcherCheck = 5 * time.Second
)

// ErrRegistration means that a registration couldn't be read or written.
var ErrRegistration = eris.New("membership: registration failed")

// Registration is the stored form of a member.
type Registration struct {
	Member
	// Group is a number of members. While the member can't reach the object API,
	// it confirms configuration only through a share of it (package revision).
	Group int `json:"group"`
	// WriteID is unique to the write; it tells after a lost answer whether the write took effect.
	WriteID string `json:"write_id"`
}

// List reads all registrations, sorted by id.
func List(ctx context.Context, store objectstore.Store) ([]Registration, error) {
	objects, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, eris.Wrap(ErrRegistration, err.Error())
	}
	out := make([]Registration, 0, len(objects))
	for _, o := range objects {
		if r, err := decode(o); err == nil {
			out = append(out, r)
		}
	}
	return out, nil
}

func decode(o objectstore.Object) (Registration, error) {
	var r Registration
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return r, eris.Wrapf(ErrRegistration, "%s: %s", o.Key, err)
	}
	return r, nil
}

// Registry keeps a service's registration and reads those of others.
type Registry struct {
	store   objectstore.Store
	service *Service
	writeID func() string

	mu      sync.Mutex
	version uint64
	// group is the group size in the registration, and at is when it was last written.
	group int
	at    time.Time
}

// NewRegistry returns a registry. writeID returns a new unique string at each call.
func NewRegistry(store objectstore.Store, service *Service, writeID func() string) *Registry {
	return &Registry{store: store, service: service, writeID: writeID}
}

// Registered tells whether this process is registered, when that was last
// written on its own clock, and the group size in it.
func (r *Registry) Registered() (at time.Time, group int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at, r.group, !r.at.IsZero()
}

// outdated tells whether the registration is missing, or its group size is far
// from the present one.
func (r *Registry) outdated() bool {
	_, group, ok := r.Registered()
	n := len(r.service.Present())
	return !ok || n > groupTolerance*group || n*groupTolerance < group && group > smallGroup
}

// Run registers, reads the others' registrations once and then watches them
// while this member is one of its data centre's watchers.
func (r *Registry) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.outdated() && r.Register(ctx) != nil {
			sleep.For(ctx, r.jitter())
			continue
		}
		after, err := r.read(ctx)
		if err != nil {
			sleep.For(ctx, r.jitter())
			continue
		}
		r.watch(ctx, after)
	}
	return nil
}

func (r *Registry) jitter() time.Duration {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	return registerRetry/2 + time.Duration(r.service.Rand.Int64N(int64(registerRetry)))
}

// Register writes the registration with an incarnation above that of any earlier process.
func (r *Registry) Register(ctx context.Context) error {
	key := Prefix + r.service.Self().ID
	o, err := r.store.Get(ctx, key)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return eris.Wrap(ErrRegistration, err.Error())
	}
	if err == nil {
		old, err := decode(o)
		if err != nil {
			return err
		}
		r.service.Learn([]Note{{Member: old.Member}})
	}
	return r.write(ctx, key, o.Version)
}

// write stores the registration if the object still has the given version.
func (r *Registry) write(ctx context.Context, key string, version uint64) error {
	reg := Registration{Member: r.service.Self(), Group: len(r.service.Present()), WriteID: r.writeID()}
	value, err := json.Marshal(reg)
	if err != nil {
		return eris.Wrap(ErrRegistration, err.Error())
	}
	// Whichever registration is stored while the outcome is unknown, its group is no larger.
	r.mu.Lock()
	r.group = max(r.group, reg.Group)
	r.mu.Unlock()
	var o objectstore.Object
	if version == 0 {
		o, err = r.store.Create(ctx, key, value)
	} else {
		o, err = r.store.Update(ctx, key, value, version)
	}
	if errors.Is(err, objectstore.ErrUnknown) {
		o, err = r.resolve(ctx, key, reg.WriteID)
	}
	if err != nil {
		return eris.Wrap(ErrRegistration, err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.group, r.at = o.Version, reg.Group, r.service.Now()
	return nil
}

// resolve finds out whether a write with a lost answer took effect.
func (r *Registry) resolve(ctx context.Context, key, writeID string) (objectstore.Object, error) {
	o, err := r.store.Get(ctx, key)
	if err != nil {
		return o, err
	}
	if reg, err := decode(o); err != nil || reg.WriteID != writeID {
		return o, objectstore.ErrConflict
	}
	return o, nil
}

// Deregister removes the registration on a planned stop.
func (r *Registry) Deregister(ctx context.Context) error {
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	if version == 0 {
		return nil
	}
	if err := r.store.Delete(ctx, Prefix+r.service.Self().ID, version); err != nil {
		return eris.Wrap(ErrRegistration, err.Error())
	}
	return nil
}

// read learns all registrations and returns the position for a watch.
func (r *Registry) read(ctx context.Context) (uint64, error) {
	objects, err := r.store.List(ctx, Prefix)
	if err != nil {
		return 0, eris.Wrap(ErrRegistration, err.Error())
	}
	var after uint64
	for _, o := range objects {
		after = max(after, o.Version)
	}
	r.learn(objects)
	return after, nil
}

// learn passes registrations on to the service. A removal by a planned stop
// ends the incarnation that was registered.
func (r *Registry) learn(objects []objectstore.Object) {
	notes := make([]Note, 0, len(objects))
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		if reg, err := decode(o); err == nil {
			notes = append(notes, Note{Member: reg.Member})
		}
	}
	r.service.Learn(notes)
}

// watch follows the registrations while this member is a watcher, and returns on a failure.
func (r *Registry) watch(ctx context.Context, after uint64) {
	for ctx.Err() == nil && !r.outdated() {
		if !IsWatcher(r.service.Self(), r.service.Present()) {
			sleep.For(ctx, watcherCheck)
			continue
		}
		changes, err := r.store.Watch(ctx, Prefix, after)
		if err != nil {
			sleep.For(ctx, r.jitter())
			return
		}
		r.learn(changes.Objects)
		after = max(after, changes.Version)
	}
}

// IsWatcher tells whether a member is one of its data centre's watchers of the registrations.
func IsWatcher(self Member, present []Member) bool {
	return slices.ContainsFunc(first(self.DataCentre, present, watchersPerDataCentre), sameID(self.ID))
}

// Readers returns the members of a data centre that read the configuration
// from the store for the others: two, and one more for each membersPerReader members.
func ConfigReaders(dataCentre string, present []Member) []Member {
	n := 0
	for _, p := range present {
		if p.DataCentre == dataCentre {
			n++
		}
	}
	return first(dataCentre, present, max(minReaders, (n+membersPerReader-1)/membersPerReader))
}

// first returns the n members of a data centre with the highest rendezvous weight.
func first(dataCentre string, present []Member, n int) []Member {
	var local []Member
	for _, p := range present {
		if p.DataCentre == dataCentre {
			local = append(local, p)
		}
	}
	key := rendezvous.Key(dataCentre)
	slices.SortFunc(local, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rendezvous.Weight(key, b.ID), rendezvous.Weight(key, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return local[:min(n, len(local))]
}
