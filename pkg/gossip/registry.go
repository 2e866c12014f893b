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
	// retryInterval is the time before a failed read is repeated.
	retryInterval = 500 * time.Millisecond
	// RemoveAfter is how long a registered instance may stay unheard before the
	// holder of the duties removes it.
	RemoveAfter = 30 * time.Second
)

func sortAddrs(list []netip.AddrPort) { slices.SortFunc(list, netip.AddrPort.Compare) }

// registration is the stored form of a member.
type registration struct {
	Addr netip.AddrPort `json:"addr"`
}

// Registry keeps this instance registered and reads the others.
type Registry struct {
	Store objectstore.Store
	Node  *Node
	Log   *slog.Logger
	Now   func() time.Time
	// Remover tells whether this instance removes those that are gone.
	Remover func() bool

	// missing holds when a registered instance was first found silent.
	missing map[string]time.Time
}

// Run keeps the registrations up to date until the context ends.
func (r *Registry) Run(ctx context.Context) error {
	r.missing = make(map[string]time.Time)
	for ctx.Err() == nil {
		pause := listInterval
		if err := r.step(ctx); err != nil {
			r.Log.Warn("members not read", "error", err.Error())
			pause = retryInterval
		}
		sleep.For(ctx, pause)
	}
	return nil
}

func (r *Registry) step(ctx context.Context) error {
	objects, err := r.Store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	list := make(map[string]netip.AddrPort, len(objects))
	versions := make(map[string]uint64, len(objects))
	for _, o := range objects {
		id := strings.TrimPrefix(o.Key, Prefix)
		var reg registration
		if err := json.Unmarshal(o.Value, &reg); err != nil {
			r.Log.Warn("member ignored", "key", o.Key, "error", err.Error())
			continue
		}
		list[id], versions[id] = reg.Addr, o.Version
	}
	if list[r.Node.ID] != r.Node.Listen {
		r.register(ctx, versions[r.Node.ID])
	}
	r.Node.SetMembers(list)
	r.removeGone(ctx, versions)
	return nil
}

func (r *Registry) register(ctx context.Context, version uint64) {
	value, err := json.Marshal(registration{Addr: r.Node.Listen})
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

// removeGone deletes the registrations of instances that have long been silent.
func (r *Registry) removeGone(ctx context.Context, versions map[string]uint64) {
	now := r.Now()
	for id := range maps.Keys(versions) {
		if id == r.Node.ID || r.Node.HeardWithin(id, listInterval) {
			delete(r.missing, id)
			continue
		}
		since, known := r.missing[id]
		if !known {
			r.missing[id] = now
			continue
		}
		if now.Sub(since) < RemoveAfter || !r.Remover() {
			continue
		}
		err := r.Store.Delete(ctx, Prefix+id, versions[id])
		r.Log.Info("member removed", "member", id, "silent_s", int(now.Sub(since).Seconds()), "error", err)
	}
}
