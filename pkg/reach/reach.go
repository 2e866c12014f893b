// Package reach tells whether this instance reaches the endpoints of a service, from the
// outcomes of its connections. An instance can lose its links to all endpoints while callers, the
// object store and the other instances still reach it.
package reach

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// cutOffAfter is the number of different endpoints that could not be reached, one after the
	// other, after which a service counts as cut off; all of them, if it has fewer.
	cutOffAfter = 3
	// probeInterval is the time between two probes of the endpoints of a service that is cut off.
	probeInterval = 200 * time.Millisecond
)

// Endpoints lists the endpoints of a service that accept new requests.
type Endpoints interface {
	Service(name string) []*endpoints.Endpoint
}

// Options holds the dependencies of a Tracker. All fields are required.
type Options struct {
	Endpoints Endpoints
	// Connects reports whether a connection to an address can be opened, and stays open.
	Connects func(addr string) bool
	Log      *slog.Logger
}

// Tracker knows which services this instance doesn't reach. It is safe for concurrent use.
type Tracker struct {
	Options

	mu sync.Mutex
	// missed holds, by service, the endpoints that could not be reached since one was.
	missed map[string]map[string]bool
	cutOff map[string]bool
}

// New returns a tracker of services that are all reached.
func New(o Options) *Tracker {
	return &Tracker{Options: o, missed: make(map[string]map[string]bool), cutOff: make(map[string]bool)}
}

// Reached records that an endpoint of a service has answered.
func (t *Tracker) Reached(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.missed, service)
	if t.cutOff[service] {
		delete(t.cutOff, service)
		t.Log.Info("endpoints reachable again", "service", service)
	}
}

// Missed records that an endpoint of a service could not be reached, or ended a connection without
// an answer.
func (t *Tracker) Missed(service, id string) {
	enough := min(cutOffAfter, len(t.Endpoints.Service(service)))
	t.mu.Lock()
	defer t.mu.Unlock()
	ids, ok := t.missed[service]
	if !ok {
		ids = make(map[string]bool, cutOffAfter)
		t.missed[service] = ids
	}
	if len(ids) < cutOffAfter {
		ids[id] = true
	}
	if len(ids) < enough || t.cutOff[service] {
		return
	}
	t.cutOff[service] = true
	t.Log.Warn("endpoints unreachable", "service", service)
}

// CutOff reports whether this instance reaches none of the endpoints of a service.
func (t *Tracker) CutOff(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutOff[service]
}

// Services returns the names of the services that are cut off, in order.
func (t *Tracker) Services() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.cutOff))
}

// Run probes the endpoints of services that are cut off until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	for sleep.For(ctx, probeInterval) {
		for _, service := range t.Services() {
			t.probe(service)
		}
	}
	return nil
}

// probe opens a connection to one of a service's endpoints. A service without any isn't cut off.
func (t *Tracker) probe(service string) {
	list := t.Endpoints.Service(service)
	if len(list) == 0 || t.Connects(list[rand.IntN(len(list))].Addr) {
		t.Reached(service)
	}
}
