package membership

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Prefix is the key prefix of registration objects; the member's id follows.
const Prefix = "members/"

// Parameters of the registry.
const (
	// watchersPerDataCentre is the number of members per data centre that watch the registrations.
	watchersPerDataCentre = 2
	// minReaders and membersPerReader set the number of ConfigReaders per data centre.
	minReaders       = 2
	membersPerReader = 32
	// groupTolerance is the factor by which the group size may change before a member
	// updates its registration.
	groupTolerance = 2
	// smallGroupSize is the registered group size up to which a registration is not
	// updated when the group shrinks.
	smallGroupSize = 6
	// registerRetryDelay is the mean delay after a failed call.
	registerRetryDelay = time.Second
	// watcherCheckInterval is how often a member checks whether it has become a watcher.
	watcherCheckInterval = 5 * time.Second
)

// ErrRegistration means that a registration could not be read or written.
var ErrRegistration = eris.New("membership: registration failed")

// Registration is the stored form of a member.
type Registration struct {
	Member
	// Group is the number of present members at the time of the write. While the
	// member can't reach the object store, it needs a quorum of this group to confirm
	// the configuration (see package revision).
	Group int `json:"group"`
	// WriteID is unique to the write. After a lost response it shows whether the write
	// took effect.
	WriteID string `json:"write_id"`
}

// List reads all registrations, sorted by id. Those that can't be decoded are logged and
// left out.
func List(ctx context.Context, store objectstore.Store, log *slog.Logger) ([]Registration, error) {
	objects, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, eris.Wrap(ErrRegistration, err.Error())
	}
	out := make([]Registration, 0, len(objects))
	for _, o := range objects {
		if r, ok := decodeOrLog(o, log); ok {
			out = append(out, r)
		}
	}
	return out, nil
}

// decodeOrLog decodes a registration, or logs why that failed.
func decodeOrLog(o objectstore.Object, log *slog.Logger) (Registration, bool) {
	r, err := decode(o)
	if err != nil {
		log.Warn("ignoring invalid registration", "key", o.Key, "version", o.Version, "error", err.Error())
	}
	return r, err == nil
}

func decode(o objectstore.Object) (Registration, error) {
	var r Registration
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return r, eris.Wrapf(ErrRegistration, "%s: %s", o.Key, err)
	}
	return r, nil
}

// Registry maintains this process's registration and passes those of others to its
// Service.
type Registry struct {
	store   objectstore.Store
	service *Service
	writeID func() string

	mu      sync.Mutex
	version uint64
	// group is the group size in the registration; writtenAt is the time of its last write.
	group     int
	writtenAt time.Time
}

// NewRegistry returns a registry. writeID must return a new unique string at each call.
func NewRegistry(store objectstore.Store, service *Service, writeID func() string) *Registry {
	return &Registry{store: store, service: service, writeID: writeID}
}

// Registered returns when this process last wrote its registration, by its own
// clock, and the group size in it. ok is false if it isn't registered.
func (r *Registry) Registered() (at time.Time, group int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writtenAt, r.group, !r.writtenAt.IsZero()
}

// outdated reports whether the registration is missing, or its group size differs
// too much from the current one.
func (r *Registry) outdated() bool {
	_, group, ok := r.Registered()
	n := len(r.service.Present())
	return !ok || n > groupTolerance*group || n*groupTolerance < group && group > smallGroupSize
}

// Run registers this process, reads all registrations, and watches them while this
// member is one of its data centre's watchers.
func (r *Registry) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.outdated() && r.Register(ctx) != nil {
			sleep.For(ctx, r.retryDelay())
			continue
		}
		after, err := r.readAll(ctx)
		if err != nil {
			sleep.For(ctx, r.retryDelay())
			continue
		}
		r.watch(ctx, after)
	}
	return nil
}

// retryDelay returns the delay after a failed call, with jitter.
func (r *Registry) retryDelay() time.Duration {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	return registerRetryDelay/2 + time.Duration(r.service.Rand.Int64N(int64(registerRetryDelay)))
}

// Register writes the registration with a higher incarnation than that of any
// earlier process with the same id.
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
		r.service.Merge([]Note{{Member: old.Member}})
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
	// While the outcome of the write is unknown, either registration may be stored;
	// the larger group is the safe assumption.
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
	r.version, r.group, r.writtenAt = o.Version, reg.Group, r.service.Now()
	return nil
}

// resolve returns the object if the write with the given id took effect, else ErrConflict.
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

// Deregister removes this process's registration, on a planned stop.
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

// readAll merges all registrations and returns the position to watch from.
func (r *Registry) readAll(ctx context.Context) (uint64, error) {
	objects, err := r.store.List(ctx, Prefix)
	if err != nil {
		return 0, eris.Wrap(ErrRegistration, err.Error())
	}
	var after uint64
	for _, o := range objects {
		after = max(after, o.Version)
	}
	r.mergeRegistrations(objects)
	return after, nil
}

// mergeRegistrations passes registrations to the service. Deleted ones are
// skipped: a member that deregisters has announced its stop with Leave.
func (r *Registry) mergeRegistrations(objects []objectstore.Object) {
	notes := make([]Note, 0, len(objects))
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		if reg, ok := decodeOrLog(o, r.service.Log); ok {
			notes = append(notes, Note{Member: reg.Member})
		}
	}
	r.service.Merge(notes)
}

// watch merges changes of the registrations while this member is a watcher. It
// returns on a failure, or when the registration is outdated.
func (r *Registry) watch(ctx context.Context, after uint64) {
	for ctx.Err() == nil && !r.outdated() {
		if !IsWatcher(r.service.Self(), r.service.Present()) {
			sleep.For(ctx, watcherCheckInterval)
			continue
		}
		changes, err := r.store.Watch(ctx, Prefix, after)
		if err != nil {
			sleep.For(ctx, r.retryDelay())
			return
		}
		r.mergeRegistrations(changes.Objects)
		after = max(after, changes.Version)
	}
}

// IsWatcher reports whether a member is one of its data centre's watchers of the
// registrations.
func IsWatcher(self Member, present []Member) bool {
	return slices.ContainsFunc(topRanked(self.DataCentre, present, watchersPerDataCentre), hasID(self.ID))
}

// ConfigReaders returns the members of a data centre that read the configuration
// from the store on behalf of the others: one per membersPerReader members, at
// least minReaders.
func ConfigReaders(dataCentre string, present []Member) []Member {
	n := 0
	for _, p := range present {
		if p.DataCentre == dataCentre {
			n++
		}
	}
	return topRanked(dataCentre, present, max(minReaders, (n+membersPerReader-1)/membersPerReader))
}

// topRanked returns the n members of a data centre with the highest rendezvous weight.
func topRanked(dataCentre string, present []Member, n int) []Member {
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
