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
	least = 3
	most  = 5
)

// fakeCloud keeps instances in memory. It fails the test's check if the same
// slot has two instances at once.
type fakeCloud struct {
	mu        sync.Mutex
	instances map[string]*cloud.Instance
	tokens    map[string]string
	refused   map[string]bool
	// lost makes the answers of starts get lost after their effect.
	loseAnswers bool
	// hidden is the number of newest instances that the list doesn't show yet.
	hidden     int
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

// caller is one controller's way to the cloud. While it is paused, its calls
// wait before they have an effect: the process is stopped there.
type cloudClient struct {
	*fakeCloud
	// reads and writes hold up the calls of their kind.
	reads, writes gate
}

// gate holds up calls while it is shut.
type gate struct {
	mu   sync.Mutex
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

// resume lets all calls go on.
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

// lease grants the duty to one holder at a time; a holder may go on believing
// that it holds a lease that has lapsed.
type fakeLease struct {
	mu    sync.Mutex
	fence uint64
	held  bool
}

// Held implements controller.Guard.
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

// engines reports a constant load and takes every order.
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

// fixed is a configuration that can be replaced.
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
		return config.Preset{Name: name, ClosedDataCentres: closed, Capacity: []config.Capacity{{Service: "m", Min: least, Max: most, ReclaimableShare: 0.6}}}
	}
	return &config.Envelope{Revision: 1, Preset: "all", Document: config.Document{
		DataCentres: dcs, Classes: []config.MachineClass{{Name: "gpu", Prices: prices}},
		Services: []config.Service{{Name: "m", Kind: config.KindModel, Class: "gpu", BatchLimit: 8, DeadlineMS: 2000, ChecksFencing: checksFencing}},
		Presets:  []config.Preset{preset("all"), preset("without c", "c")},
	}}
}

// node is one controller with its own view of lease and cloud.
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

// step runs a step unless one is still paused.
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
