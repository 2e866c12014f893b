package controller_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/capacity"
	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/controller"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

const (
	minInstances = 3
	maxInstances = 5
)

// fakeCloud keeps instances in memory. It records starts of a second instance for the
// same slot in duplicates.
type fakeCloud struct {
	mu        sync.Mutex
	instances map[string]*cloud.Instance
	tokens    map[string]string
	// refused holds the data centres that refuse starts.
	refused map[string]bool
	// loseAnswers makes starts return ErrUnknown although they take effect.
	loseAnswers bool
	// hidden is the number of newest instances that the list doesn't show yet.
	hidden int
	// ids holds the instance IDs in the order of their starts.
	ids        []string
	duplicates []string
}

func newFakeCloud() *fakeCloud {
	return &fakeCloud{instances: make(map[string]*cloud.Instance), tokens: make(map[string]string), refused: make(map[string]bool)}
}

func (c *fakeCloud) list() []cloud.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []cloud.Instance
	for _, id := range c.ids[:max(0, len(c.ids)-c.hidden)] {
		if in := c.instances[id]; in.State != cloud.StateGone {
			out = append(out, *in)
		}
	}
	return out
}

func (c *fakeCloud) start(r cloud.StartRequest) (cloud.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, ok := c.tokens[r.Token]; ok {
		return *c.instances[id], nil
	}
	if c.refused[r.DataCentre] {
		return cloud.Instance{}, cloud.ErrRefused
	}
	slot := r.Token[:strings.LastIndexByte(r.Token, '/')]
	for _, in := range c.instances {
		if in.State != cloud.StateGone && strings.HasPrefix(in.Token, slot+"/") {
			c.duplicates = append(c.duplicates, r.Token+" beside "+in.Token)
		}
	}
	in := &cloud.Instance{
		ID: fmt.Sprintf("i%d", len(c.ids)), Service: r.Service, DataCentre: r.DataCentre, Class: r.Class,
		Reclaimable: r.Reclaimable, State: cloud.StateReady, Token: r.Token, Addr: fmt.Sprintf("i%d", len(c.ids)),
	}
	c.instances[in.ID], c.tokens[r.Token] = in, in.ID
	c.ids = append(c.ids, in.ID)
	if c.loseAnswers {
		return cloud.Instance{}, cloud.ErrUnknown
	}
	return *in, nil
}

func (c *fakeCloud) end(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in, ok := c.instances[id]; ok {
		in.State = cloud.StateGone
	}
}

// cloudClient is one controller's client of the cloud. A closed gate blocks calls
// before they take effect, as a pause of the process does.
type cloudClient struct {
	*fakeCloud
	// reads blocks List, writes blocks Start and Stop.
	reads, writes gate
}

// gate blocks calls while it is closed.
type gate struct {
	mu sync.Mutex
	// shut is nil while the gate is open.
	shut chan struct{}
}

func (x *gate) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.shut == nil {
		x.shut = make(chan struct{})
	}
}

func (x *gate) open() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.shut != nil {
		close(x.shut)
		x.shut = nil
	}
}

func (x *gate) wait() {
	x.mu.Lock()
	shut := x.shut
	x.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// resume unblocks all calls.
func (c *cloudClient) resume() {
	c.reads.open()
	c.writes.open()
}

// List implements cloud.Cloud.
func (c *cloudClient) List(context.Context) ([]cloud.Instance, error) {
	c.reads.wait()
	return c.list(), nil
}

// Start implements cloud.Cloud.
func (c *cloudClient) Start(_ context.Context, r cloud.StartRequest) (cloud.Instance, error) {
	c.writes.wait()
	return c.start(r)
}

// Stop implements cloud.Cloud.
func (c *cloudClient) Stop(_ context.Context, id string) error {
	c.writes.wait()
	c.end(id)
	return nil
}

// Notices implements cloud.Cloud.
func (c *cloudClient) Notices(context.Context, uint64) ([]cloud.Notice, error) { return nil, nil }

// fakeLease is one controller's view of the lease, set by the test. It may show an
// expired lease as held.
type fakeLease struct {
	mu    sync.Mutex
	fence uint64
	held  bool
}

// Held implements controller.Lease.
func (l *fakeLease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.held
}

func (l *fakeLease) set(fence uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence, l.held = fence, held
}

// fakeEngines reports a constant load and treats every order as a drain.
type fakeEngines struct {
	mu      sync.Mutex
	running int
	drained map[string]bool
	orders  []engine.Order
}

// Load implements controller.Endpoints.
func (e *fakeEngines) Load(_ context.Context, addr string) (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Load{Running: e.running, BatchLimit: 8, Leaving: e.drained[addr]}, nil
}

// Order implements controller.Endpoints.
func (e *fakeEngines) Order(_ context.Context, addr string, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.drained == nil {
		e.drained = make(map[string]bool)
	}
	e.drained[addr] = true
	e.orders = append(e.orders, o)
	return nil
}

// fixedConfig returns a configuration set by the test.
type fixedConfig struct{ env *config.Envelope }

// Current implements controller.Configuration.
func (f *fixedConfig) Current() *config.Envelope { return f.env }

func envelope(checksFencing bool) *config.Envelope {
	var prices []config.Price
	var dcs []config.DataCentre
	for _, dc := range []string{"a", "b", "c"} {
		prices = append(prices, config.Price{DataCentre: dc, OnDemand: 3, Reclaimable: 1})
		dcs = append(dcs, config.DataCentre{Name: dc})
	}
	preset := func(name string, closed ...string) config.Preset {
		return config.Preset{Name: name, ClosedDataCentres: closed, Capacity: []config.Capacity{{Service: "m", Min: minInstances, Max: maxInstances, ReclaimableShare: 0.6}}}
	}
	return &config.Envelope{Revision: 1, Preset: "all", Document: config.Document{
		DataCentres: dcs, Classes: []config.MachineClass{{Name: "gpu", Prices: prices}},
		Services: []config.Service{{Name: "m", Kind: config.KindModel, Class: "gpu", BatchLimit: 8, DeadlineMS: 2000, ChecksFencing: checksFencing}},
		Presets:  []config.Preset{preset("all"), preset("without c", "c")},
	}}
}

// node is one controller with its own lease and cloud client.
type node struct {
	*controller.Controller
	lease  *fakeLease
	client *cloudClient
	busy   sync.WaitGroup
	active bool
}

func newNode(id int, store *memstore.Store, c *fakeCloud, e *fakeEngines, f *fixedConfig) *node {
	n := &node{lease: &fakeLease{}, client: &cloudClient{fakeCloud: c}}
	rng := rand.New(rand.NewPCG(uint64(id), 1))
	tuning := capacity.DefaultTuning().Faster(10)
	tuning.EmptyListGrace = 0
	n.Controller = controller.New(controller.Options{
		Store: store, Cloud: n.client, Engine: e, Config: f, Lease: n.lease, Tuning: tuning,
		Log: slog.New(slog.DiscardHandler), Metrics: controller.NewMetrics(prometheus.NewRegistry()), Now: time.Now, Random: rng.Float64,
	})
	return n
}

// step starts a step unless one is still blocked, and waits until it ends or blocks.
func (n *node) step() {
	if n.active {
		return
	}
	n.active = true
	n.busy.Go(func() {
		_ = n.Step(context.Background())
		n.active = false
	})
	synctest.Wait()
}
