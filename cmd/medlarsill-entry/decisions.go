package main

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/admit"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/loadview"
	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/place"
	"github.com/medlarsill/medlarsill/pkg/retry"
	"github.com/medlarsill/medlarsill/pkg/revision"
	"github.com/medlarsill/medlarsill/pkg/settings"
)

// decisions holds the parts that decide where and when requests run.
type decisions struct {
	view   *loadview.View
	poller *loadview.Poller
	placer place.Placer
	fair   *admit.Fair
	// retries bounds the retries of model requests and of plain calls.
	retries *retry.Policy
	// entries is the number of live entries as of the last refresh.
	entries atomic.Int64
}

// newDecisions wires the decisions of the entry with the given id.
func newDecisions(cfg settings.Entry, reg prometheus.Registerer, follower *revision.Follower, directory *peer.Directory, source loadview.Source) *decisions {
	self := cfg.ID
	document := func() *config.Document {
		if env := follower.Current(); env != nil {
			return &env.Document
		}
		return nil
	}
	d := &decisions{view: loadview.New(time.Now)}
	d.entries.Store(1)
	d.poller = &loadview.Poller{
		View: d.view, Source: source, Self: self,
		EntryIDs:   func() []string { return d.liveEntries(directory, self) },
		ShouldPoll: func(e *fleet.Endpoint) bool { return servesModels(document(), e.Service) },
	}
	d.fair = admit.NewFair(self, time.Now, 0)
	d.fair.Metrics = admit.NewMetrics(reg)
	d.retries = retry.NewPolicy(time.Now, rand.Float64)
	d.placer = place.NewPlacer(cfg.Policy, &place.Policy{
		View: d.view, Document: document, Self: self,
		EntryCount: func() int { return int(d.entries.Load()) },
		Now:        time.Now, Rand: rand.Uint64, Speeds: place.DefaultSpeeds,
		Metrics: place.NewMetrics(reg),
	})
	return d
}

// liveEntries returns the ids of the live entries and keeps their number for the placer.
func (d *decisions) liveEntries(directory *peer.Directory, self string) []string {
	ids := entryIDs(directory, self)
	d.entries.Store(int64(len(ids)))
	return ids
}

// entryIDs returns the ids of the live entries, this one included.
func entryIDs(directory *peer.Directory, self string) []string {
	return append(otherEntries(directory, self), self)
}

// otherEntries returns the ids of the other live entries.
func otherEntries(directory *peer.Directory, self string) []string {
	var out []string
	for _, p := range directory.All() {
		if p.ID != self {
			out = append(out, p.ID)
		}
	}
	return out
}

// runLimits keeps the capacities up to date until the context ends.
func (d *decisions) runLimits(ctx context.Context, follower *revision.Follower, table *fleet.Table) error {
	t := time.NewTicker(admit.TickInterval)
	defer t.Stop()
	for {
		if env := follower.Current(); env != nil {
			d.setCapacities(env, table.Snapshot())
		}
		d.fair.Tick()
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// setCapacities waits for the first instance list: before it nothing is known.
func (d *decisions) setCapacities(env *config.Envelope, s *fleet.Snapshot) {
	if len(s.Endpoints) == 0 {
		return
	}
	for i := range env.Document.Services {
		svc := &env.Document.Services[i]
		d.fair.SetCapacity(svc.Name, admit.CapacityOf(s, env, svc))
	}
}

// servesModels tells whether a service's endpoints report load.
func servesModels(doc *config.Document, service string) bool {
	if doc == nil {
		return false
	}
	s, ok := doc.ServiceByName(service)
	return ok && s.Kind == config.KindModel
}
