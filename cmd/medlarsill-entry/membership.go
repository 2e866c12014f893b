package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/membership"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/revision"
	"github.com/medlarsill/medlarsill/pkg/settings"
	"github.com/medlarsill/medlarsill/pkg/storebudget"
)

// leaveGrace limits the time for leaving the membership and deregistering at the
// end of a planned stop.
const leaveGrace = 2 * time.Second

// fetchTimeout limits a fetch of the configuration from a peer that has a newer one.
const fetchTimeout = time.Second

// withBudget limits calls to the object store to this entry's request budget.
func withBudget(store objectstore.Store, reg prometheus.Registerer) objectstore.Store {
	return storebudget.New(storebudget.Options{
		Inner: store, Role: "entry", Budget: storebudget.DefaultBudget, Metrics: storebudget.NewMetrics(reg),
		Now: time.Now, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

// localMember is this entry as a member: its membership service and its
// registration in the object store.
type localMember struct {
	service  *membership.Service
	registry *membership.Registry
}

// newLocalMember creates the membership service, which also updates the directory.
func newLocalMember(cfg settings.Entry, store objectstore.Store, directory *peer.Directory, peers *peer.Client, reg prometheus.Registerer, log *slog.Logger) *localMember {
	self := membership.Member{
		ID: cfg.ID, DataCentre: cfg.DataCentre, Addr: cfg.PeerListen,
		Incarnation: 1, Boot: rand.Uint64(),
	}
	service := membership.NewService(membership.Options{
		Self: self, Directory: directory, Caller: peers, Log: log, Metrics: membership.NewMetrics(reg),
		Now: time.Now, Rand: rand.New(rand.NewPCG(self.Boot, rand.Uint64())),
	})
	return &localMember{
		service:  service,
		registry: membership.NewRegistry(store, service, uuid.NewString),
	}
}

// connectTable marks endpoints in the table as leaving when peers report them.
func (m *localMember) connectTable(table *fleet.Table) {
	m.service.OnLeaving = func(id string, left time.Duration) {
		if left == membership.UnknownGrace {
			table.MarkLeaving(id, time.Time{})
			return
		}
		table.MarkLeaving(id, time.Now().Add(left))
	}
}

// announceLeaving tells peers that an instance is leaving.
func (m *localMember) announceLeaving(id string, stopAt time.Time) {
	if stopAt.IsZero() {
		m.service.AnnounceLeaving(id, membership.UnknownGrace)
		return
	}
	m.service.AnnounceLeaving(id, max(0, time.Until(stopAt)))
}

// leave ends the membership at the end of a planned stop. The registration is
// kept for the wait time, during which unregistered processes may still rely on
// this one.
func (m *localMember) leave(log *slog.Logger, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait+leaveGrace)
	defer cancel()
	m.service.Leave(ctx)
	time.Sleep(wait)
	if err := m.registry.Deregister(ctx); err != nil {
		log.Warn("failed to remove registration", "error", err.Error())
	}
}

// connectFollower gives the follower its peers, and makes heartbeats that report
// a newer revision trigger a fetch.
func (m *localMember) connectFollower(f *revision.Follower, caller revision.Caller) {
	f.SetPeers(revision.Peers{
		Caller: caller, Sources: m.configSources, Reader: m.readsConfig, All: m.others, Registered: m.registry.Registered,
	})
	m.service.Revision = f.Revision
	var fetching atomic.Bool
	m.service.OnRevision = func(from peer.Info, _ uint64) {
		if fetching.CompareAndSwap(false, true) {
			go fetchConfig(f, from, &fetching)
		}
	}
}

// fetchConfig fetches a newer configuration from the peer that reported it.
func fetchConfig(f *revision.Follower, from peer.Info, fetching *atomic.Bool) {
	defer fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	_ = f.Fetch(ctx, from)
}

// configSources returns the peers of this data centre that read the
// configuration from the object store.
func (m *localMember) configSources() []peer.Info {
	self := m.service.Self()
	return otherInfos(self.ID, membership.ConfigReaders(self.DataCentre, m.service.Present()))
}

// readsConfig reports whether this entry reads the configuration from the object store.
func (m *localMember) readsConfig() bool {
	self := m.service.Self()
	readers := membership.ConfigReaders(self.DataCentre, m.service.Present())
	return len(otherInfos(self.ID, readers)) < len(readers)
}

func (m *localMember) others() []peer.Info {
	return otherInfos(m.service.Self().ID, m.service.Present())
}

// otherInfos returns the members other than self.
func otherInfos(self string, members []membership.Member) []peer.Info {
	out := make([]peer.Info, 0, len(members))
	for _, m := range members {
		if m.ID != self {
			out = append(out, m.Info())
		}
	}
	return out
}
