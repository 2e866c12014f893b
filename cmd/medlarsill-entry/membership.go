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

// leaveGrace bounds what an entry does at the end of a planned stop to tell that it leaves.
const leaveGrace = 2 * time.Second

// fetchTimeout bounds fetching the configuration from a peer that has a newer one.
const fetchTimeout = time.Second

// budgeted keeps the calls to the object API within this entry's budget.
func budgeted(store objectstore.Store, reg prometheus.Registerer) objectstore.Store {
	return storebudget.New(storebudget.Options{
		Inner: store, Role: "entry", Budget: storebudget.DefaultBudget, Metrics: storebudget.NewMetrics(reg),
		Now: time.Now, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

// group is this entry's part in the membership.
type group struct {
	service  *membership.Service
	registry *membership.Registry
}

// newGroup wires the membership. The directory is filled from it.
func newGroup(cfg settings.Entry, store objectstore.Store, directory *peer.Directory, peers *peer.Client, reg prometheus.Registerer, log *slog.Logger) *group {
	self := membership.Member{
		ID: cfg.ID, DataCentre: cfg.DataCentre, Addr: cfg.PeerListen,
		Incarnation: 1, Boot: rand.Uint64(),
	}
	service := membership.NewService(membership.Options{
		Self: self, Directory: directory, Caller: peers, Log: log, Metrics: membership.NewMetrics(reg),
		Now: time.Now, Rand: rand.New(rand.NewPCG(self.Boot, rand.Uint64())),
	})
	return &group{
		service:  service,
		registry: membership.NewRegistry(store, service, uuid.NewString),
	}
}

// connect joins the spread of leaving endpoints to the table.
func (g *group) connect(table *fleet.Table) {
	g.service.OnLeaving = func(id string, left time.Duration) {
		if left == membership.UnknownGrace {
			table.MarkLeaving(id, time.Time{})
			return
		}
		table.MarkLeaving(id, time.Now().Add(left))
	}
}

// leaving spreads what the table has learned first.
func (g *group) leaving(id string, stopAt time.Time) {
	if stopAt.IsZero() {
		g.service.AnnounceLeaving(id, membership.UnknownGrace)
		return
	}
	g.service.AnnounceLeaving(id, max(0, time.Until(stopAt)))
}

// leave ends the membership at the end of a planned stop. The registration
// stays for as long as a process that isn't registered may rely on this one.
func (g *group) leave(log *slog.Logger, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait+leaveGrace)
	defer cancel()
	g.service.Leave(ctx)
	time.Sleep(wait)
	if err := g.registry.Deregister(ctx); err != nil {
		log.Warn("registration not removed", "error", err.Error())
	}
}

// follow joins the follower to the peers, and the heartbeats to the follower.
func (g *group) follow(f *revision.Follower, caller revision.Caller) {
	f.SetPeers(revision.Peers{
		Caller: caller, Sources: g.sources, Reader: g.reader, All: g.others, Registered: g.registry.Registered,
	})
	g.service.Revision = f.Revision
	var fetching atomic.Bool
	g.service.OnRevision = func(from peer.Info, _ uint64) {
		if fetching.CompareAndSwap(false, true) {
			go fetch(f, from, &fetching)
		}
	}
}

// fetch takes a newer configuration that a heartbeat told of.
func fetch(f *revision.Follower, from peer.Info, fetching *atomic.Bool) {
	defer fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	_ = f.Fetch(ctx, from)
}

// sources lists the peers of this data centre that read the configuration.
func (g *group) sources() []peer.Info {
	self := g.service.Self()
	return infos(self.ID, membership.ConfigReaders(self.DataCentre, g.service.Present()))
}

// reader tells whether this entry reads the configuration itself.
func (g *group) reader() bool {
	self := g.service.Self()
	readers := membership.ConfigReaders(self.DataCentre, g.service.Present())
	return len(infos(self.ID, readers)) < len(readers)
}

func (g *group) others() []peer.Info { return infos(g.service.Self().ID, g.service.Present()) }

// infos returns the members other than self.
func infos(self string, members []membership.Member) []peer.Info {
	out := make([]peer.Info, 0, len(members))
	for _, m := range members {
		if m.ID != self {
			out = append(out, m.Info())
		}
	}
	return out
}
