package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// Prefix is the prefix of registration objects; the instance's id follows.
	Prefix = "gateways/"
	// listInterval is the time between two reads of the registrations.
	listInterval = 8 * time.Second
	// newInterval is the time from this instance's registration to its next read: others
	// that have started at the same moment weren't registered at the first.
	newInterval = time.Second
	// retryInterval is the time before a failed read is repeated.
	retryInterval = 500 * time.Millisecond
	// RemoveAfter is how long a registered instance may stay unheard before the
	// holder of the duties removes it.
	RemoveAfter = 30 * time.Second
)

func sortAddrs(list []netip.AddrPort) { slices.SortFunc(list, netip.AddrPort.Compare) }

// Registry keeps this instance registered and reads the others.
type Registry struct {
	Store objectstore.Store
	Node  *Node
	Log   *slog.Logger
	Now   func() time.Time
	// Remover tells whether this instance removes those that are gone.
	MayRemove func() bool

	// missing holds when a registered instance was first found silent.
	missing map[string]time.Time
}

// Run keeps the registrations up to date until the context ends.
func (r *Registry) Run(ctx context.Context) error {
	r.missing = make(map[string]time.Time)
	for ctx.Err() == nil {
		registered, err := r.step(ctx)
		pause := listInterval
		switch {
		case err != nil:
			r.Log.Warn("members not read", "error", err.Error())
			pause = retryInterval
		case registered:
			pause = newInterval
		}
		sleep.For(ctx, pause)
	}
	return nil
}

// step reads the registrations and tells whether this instance had to register.
func (r *Registry) step(ctx context.Context) (registered bool, err error) {
	objects, err := r.Store.List(ctx, Prefix)
	if err != nil {
		return false, err
	}
	list := make(map[string]Member, len(objects))
	versions := make(map[string]uint64, len(objects))
	for _, o := range objects {
		id := strings.TrimPrefix(o.Key, Prefix)
		var m Member
		if err := json.Unmarshal(o.Value, &m); err != nil {
			r.Log.Warn("member ignored", "key", o.Key, "error", err.Error())
			continue
		}
		list[id], versions[id] = m, o.Version
	}
	registered = list[r.Node.ID] != r.self()
	if registered {
		r.register(ctx, versions[r.Node.ID])
	}
	r.Node.SetMembers(list)
	r.removeGone(ctx, list, versions)
	return registered, nil
}

// self is this instance's registration.
func (r *Registry) self() Member { return Member{Addr: r.Node.Listen, Boot: r.Node.Boot} }

// Leave takes this instance's registration back, at the end of a planned stop.
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

func (r *Registry) register(ctx context.Context, version uint64) {
	value, err := json.Marshal(r.self())
	if err != nil {
		r.Log.Error("member not registered", "error", err.Error())
		return
	}
	key := Prefix + r.Node.ID
	if version == 0 {
		_, err = r.Store.Create(ctx, key, value)
	} else {
		_, err = r.Store.Update(ctx, key, value, version)
	}
	if err != nil && !errors.Is(err, objectstore.ErrConflict) {
		r.Log.Warn("member not registered", "error", err.Error())
		return
	}
	r.Log.Info("registered", "id", r.Node.ID, "addr", r.Node.Listen.String())
}

// removeGone deletes the registrations of instances that have left, or have long
// been silent.
func (r *Registry) removeGone(ctx context.Context, list map[string]Member, versions map[string]uint64) {
	now := r.Now()
	for id := range maps.Keys(versions) {
		if r.Node.Departed(id, list[id].Boot) {
			r.remove(ctx, id, versions[id], "left")
			continue
		}
		if id == r.Node.ID || r.Node.HeardWithin(id, listInterval) {
			delete(r.missing, id)
			continue
		}
		since, known := r.missing[id]
		if !known {
			r.missing[id] = now
			continue
		}
		if now.Sub(since) >= RemoveAfter {
			r.remove(ctx, id, versions[id], "silent")
		}
	}
}

// remove deletes a registration, if that is up to this instance.
func (r *Registry) remove(ctx context.Context, id string, version uint64, reason string) {
	if !r.MayRemove() {
		return
	}
	err := r.Store.Delete(ctx, Prefix+id, version)
	r.Log.Info("member removed", "member", id, "reason", reason, "error", err)
}
