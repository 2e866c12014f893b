package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// Prefix is the prefix of registration objects; the instance's id follows.
	Prefix = "gateways/"
	// listInterval is the time between two reads of the registrations.
	listInterval = 8 * time.Second
	// rereadInterval is the time from this instance's registration to its next read.
	// Instances that started at the same time weren't registered at the first read.
	rereadInterval = time.Second
	// maxStaleness is the largest age of a list that may be stale.
	maxStaleness = 5 * time.Second
	// settleTime is the time from a new instance's registration until all others have read it.
	settleTime = listInterval + maxStaleness + 2*time.Second
	// firstSettleTime is the same time at the first start of the whole system, when all read
	// the registrations at about the same time.
	firstSettleTime = listInterval + 2*time.Second
	// retryInterval is the time before a failed read is repeated.
	retryInterval = 500 * time.Millisecond
	// removalMargin is the time since this instance last read its own registration in which
	// it can't have been removed as unreachable.
	removalMargin = RemoveAfter - 10*time.Second
	// RemoveAfter is how long a registered instance may be unreachable before the
	// holder of the duties removes its registration.
	RemoveAfter = 30 * time.Second
	// maxLoggedInvalid bounds the number of invalid registrations that are logged.
	maxLoggedInvalid = 1000
)

// Registry keeps this instance registered and reads the registrations of the others.
type Registry struct {
	Store objectstore.Store
	Node  *Node
	Log   *slog.Logger
	Now   func() time.Time
	// MayRemove reports whether this instance may remove stale registrations.
	MayRemove func() bool
	// FirstStart is true at the first start of the whole system, when nothing is registered.
	FirstStart bool

	// isRegistered is true once this instance has read its own registration.
	isRegistered bool
	// settledFrom is the time from which the others know this instance as a member; nil
	// before its first read of the registrations. listedAt is when it last read its own.
	settledFrom, listedAt atomic.Pointer[time.Time]
	// loggedInvalid holds the versions of the invalid registrations that were logged, by key.
	loggedInvalid map[string]uint64
	// unseenSince holds when a registered instance was first found unreachable.
	unseenSince map[string]time.Time
}

// Run keeps the registrations up to date until the context ends.
func (r *Registry) Run(ctx context.Context) error {
	r.unseenSince = make(map[string]time.Time)
	if r.FirstStart {
		from := r.Now().Add(firstSettleTime)
		r.settledFrom.Store(&from)
		r.register(ctx, 0)
		sleep.For(ctx, rereadInterval)
	}
	for ctx.Err() == nil {
		registered, err := r.sync(ctx)
		pause := listInterval
		switch {
		case err != nil:
			r.Log.Warn("failed to read registrations", "error", err.Error())
			pause = retryInterval
		case registered:
			pause = rereadInterval
		}
		sleep.For(ctx, pause)
	}
	return nil
}

// sync reads the registrations and reports whether this instance had to register.
func (r *Registry) sync(ctx context.Context) (registered bool, err error) {
	list, versions, err := r.read(ctx)
	if err != nil {
		return false, err
	}
	r.recordSettled(list)
	registered = list[r.Node.ID] != r.registration()
	if registered {
		r.register(ctx, versions[r.Node.ID])
	}
	r.Node.SetMembers(list)
	r.removeStale(ctx, list, versions)
	return registered, nil
}

// read reads the registrations and their versions. Once this instance has read its own, a
// list may be stale, unless that one is missing in it.
func (r *Registry) read(ctx context.Context) (list map[string]Member, versions map[string]uint64, err error) {
	if r.isRegistered {
		list, versions, err = r.list(objectstore.AllowStale(ctx))
		if err != nil {
			return nil, nil, err
		}
		if r.recordOwn(list, r.Now().Add(-maxStaleness)) {
			return list, versions, nil
		}
	}
	list, versions, err = r.list(ctx)
	if err == nil {
		r.isRegistered = r.recordOwn(list, r.Now())
	}
	return list, versions, err
}

// recordOwn records that this instance was registered at a time, if a list says so.
func (r *Registry) recordOwn(list map[string]Member, at time.Time) bool {
	if list[r.Node.ID] != r.registration() {
		return false
	}
	r.listedAt.Store(&at)
	return true
}

// list reads the registrations from the store, and the versions of all, valid or not.
func (r *Registry) list(ctx context.Context) (list map[string]Member, versions map[string]uint64, err error) {
	objects, err := r.Store.List(ctx, Prefix)
	if err != nil {
		return nil, nil, err
	}
	list = make(map[string]Member, len(objects))
	versions = make(map[string]uint64, len(objects))
	for _, o := range objects {
		id := strings.TrimPrefix(o.Key, Prefix)
		// The version of an invalid one, too, so that it can be replaced or removed.
		versions[id] = o.Version
		m, err := decodeMember(o.Value)
		if err != nil {
			r.logInvalid(o, err)
			continue
		}
		list[id] = m
	}
	return list, versions, nil
}

// errInvalidMember means that a registration can't be decoded or has no usable address.
var errInvalidMember = eris.New("gossip: invalid registration")

// decodeMember decodes a registration.
func decodeMember(value []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, eris.Wrapf(errInvalidMember, "%.200s", err.Error())
	}
	if !m.Addr.IsValid() || m.Addr.Port() == 0 {
		return Member{}, eris.Wrapf(errInvalidMember, "address %s", m.Addr)
	}
	return m, nil
}

// logInvalid logs an invalid registration, once for each write of it.
func (r *Registry) logInvalid(o objectstore.Object, err error) {
	if r.loggedInvalid[o.Key] == o.Version || len(r.loggedInvalid) >= maxLoggedInvalid {
		return
	}
	if r.loggedInvalid == nil {
		r.loggedInvalid = make(map[string]uint64)
	}
	r.loggedInvalid[o.Key] = o.Version
	r.Log.Warn("ignoring invalid registration", "key", o.Key, "error", err.Error())
}

// recordSettled records at the first read when the others will know this instance: at
// once if its id was registered before this start, or else when all have read the
// registrations again.
func (r *Registry) recordSettled(list map[string]Member) {
	if r.settledFrom.Load() != nil {
		return
	}
	from := r.Now()
	if _, known := list[r.Node.ID]; !known {
		from = from.Add(settleTime)
	}
	r.settledFrom.Store(&from)
}

// Settled reports whether the other instances know this one as a member: they had the
// time to read its registration, and can't have removed it since.
func (r *Registry) Settled() bool {
	from := r.settledFrom.Load()
	if from == nil || r.Now().Before(*from) {
		return false
	}
	listed := r.listedAt.Load()
	if listed != nil && r.Now().Sub(*listed) <= removalMargin {
		return true
	}
	reachable := r.Node.ReachablePeers()
	return reachable > 0 && 2*reachable >= r.Node.Members()-1
}

// registration returns this instance's registration.
func (r *Registry) registration() Member { return Member{Addr: r.Node.Listen, Boot: r.Node.Boot} }

// Unregister deletes this instance's registration at the end of a planned stop.
func (r *Registry) Unregister(ctx context.Context) error {
	o, err := r.Store.Get(ctx, Prefix+r.Node.ID)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return r.Store.Delete(ctx, o.Key, o.Version)
}

// register creates or updates this instance's registration.
func (r *Registry) register(ctx context.Context, version uint64) {
	value, err := json.Marshal(r.registration())
	if err != nil {
		r.Log.Error("failed to encode registration", "error", err.Error())
		return
	}
	key := Prefix + r.Node.ID
	if version == 0 {
		_, err = r.Store.Create(ctx, key, value)
	} else {
		_, err = r.Store.Update(ctx, key, value, version)
	}
	if err != nil && !errors.Is(err, objectstore.ErrConflict) {
		r.Log.Warn("failed to register", "error", err.Error())
		return
	}
	r.Log.Info("registered", "id", r.Node.ID, "addr", r.Node.Listen.String())
}

// removeStale deletes the registrations of instances that have left or have been
// unreachable for RemoveAfter.
func (r *Registry) removeStale(ctx context.Context, list map[string]Member, versions map[string]uint64) {
	now := r.Now()
	for id := range maps.Keys(versions) {
		if r.Node.HasLeft(id, list[id].Boot) {
			r.remove(ctx, id, versions[id], "left")
			continue
		}
		if id == r.Node.ID || r.Node.SeenWithin(id, listInterval) {
			delete(r.unseenSince, id)
			continue
		}
		since, known := r.unseenSince[id]
		if !known {
			r.unseenSince[id] = now
			continue
		}
		if now.Sub(since) >= RemoveAfter {
			r.remove(ctx, id, versions[id], "silent")
		}
	}
}

// remove deletes a registration if this instance may do so.
func (r *Registry) remove(ctx context.Context, id string, version uint64, reason string) {
	if !r.MayRemove() {
		return
	}
	if err := r.Store.Delete(ctx, Prefix+id, version); err != nil {
		r.Log.Warn("failed to remove registration of member", "member", id, "reason", reason, "error", err.Error())
		return
	}
	r.Log.Info("registration removed", "member", id, "reason", reason)
}
