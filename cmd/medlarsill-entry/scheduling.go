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

// scheduling holds the components that decide where and when requests run.
type scheduling struct {
	view     *loadview.View
	poller   *loadview.Poller
	placer   place.Placer
	admitter *admit.FairAdmitter
	// retries limits retries of requests to models and plain services.
	retries *retry.Policy
	// entries is the number of live entries at the last call of liveEntries.
	entries atomic.Int64
}

// newScheduling creates the scheduling components of an entry.
func newScheduling(cfg settings.Entry, reg prometheus.Registerer, follower *revision.Follower, directory *peer.Directory, source loadview.Source) *scheduling {
	self := cfg.ID
	document := func() *config.Document {
		if env := follower.Current(); env != nil {
			return &env.Document
		}
		return nil
	}
	s := &scheduling{view: loadview.New(time.Now)}
	s.entries.Store(1)
	s.poller = &loadview.Poller{
		View: s.view, Source: source, Self: self,
		EntryIDs:   func() []string { return s.liveEntries(directory, self) },
		ShouldPoll: func(e *fleet.Endpoint) bool { return servesModels(document(), e.Service) },
	}
	s.admitter = admit.NewFairAdmitter(self, time.Now, 0)
	s.admitter.Metrics = admit.NewMetrics(reg)
	s.retries = retry.NewPolicy(time.Now, rand.Float64)
	s.placer = place.NewPlacer(cfg.Policy, &place.Policy{
		View: s.view, Document: document, Self: self,
		EntryCount: func() int { return int(s.entries.Load()) },
		Now:        time.Now, Rand: rand.Uint64, Speeds: place.DefaultSpeeds,
		Metrics: place.NewMetrics(reg),
	})
	return s
}

// liveEntries returns the ids of the live entries and stores their number for the placer.
func (s *scheduling) liveEntries(directory *peer.Directory, self string) []string {
	ids := entryIDs(directory, self)
	s.entries.Store(int64(len(ids)))
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

// runLimits updates the admission limits periodically until the context ends.
func (s *scheduling) runLimits(ctx context.Context, follower *revision.Follower, table *fleet.Table) error {
	t := time.NewTicker(admit.TickInterval)
	defer t.Stop()
	for {
		if env := follower.Current(); env != nil {
			s.setCapacities(env, table.Snapshot())
		}
		s.admitter.Tick()
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// setCapacities sets the capacity of each service. It does nothing until the
// first instance list is known.
func (s *scheduling) setCapacities(env *config.Envelope, snapshot *fleet.Snapshot) {
	if len(snapshot.Endpoints) == 0 {
		return
	}
	for i := range env.Document.Services {
		svc := &env.Document.Services[i]
		s.admitter.SetCapacity(svc.Name, admit.CapacityOf(snapshot, env, svc))
	}
}

// servesModels reports whether a service is a model service; only endpoints of
// those report load.
func servesModels(doc *config.Document, service string) bool {
	if doc == nil {
		return false
	}
	s, ok := doc.ServiceByName(service)
	return ok && s.Kind == config.KindModel
}
