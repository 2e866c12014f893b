// Package platform simulates the cloud platform: the cloud API with a delayed
// instance list and reclaim notices, and faults of the cloud and the object
// API. Each instance that it starts is an HTTP server in the same process.
package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/engine/httpengine"
)

// Endpoint is the server that runs on an instance.
type Endpoint interface {
	Handler() http.Handler
	// SetLeaving tells the endpoint that its instance will be reclaimed.
	SetLeaving()
}

// Factory creates the endpoint of a new instance.
type Factory func(r cloud.StartRequest) Endpoint

// PriceFunc returns the price per hour of a machine class in a data centre, and
// whether the class is offered there.
type PriceFunc func(class, dataCentre string, reclaimable bool) (float64, bool)

// Config configures the simulated cloud.
type Config struct {
	// ListLag is the delay after which changes appear in the instance list.
	ListLag time.Duration
	// Host is the IP address that instances listen on.
	Host string
	// StartDelay is the time from a start until Boot runs.
	StartDelay time.Duration
	// Boot runs after StartDelay; the instance is ready when it returns. It may be nil.
	Boot func(r cloud.StartRequest)
	// Price returns instance prices for cost reports; if nil, all instances are free.
	Price PriceFunc
	// Speed is the number of simulated seconds per real second; 0 means 1.
	Speed float64
}

// instance is one simulated instance with its endpoint.
type instance struct {
	info     cloud.Instance
	endpoint Endpoint
	server   *http.Server
	ready    atomic.Bool
	started  time.Time
	// ended is zero while the instance runs.
	ended time.Time
	// price is in currency units per hour.
	price float64
}

// Cloud is a simulated cloud. It implements cloud.Cloud.
type Cloud struct {
	cfg     Config
	factory Factory

	mu        sync.Mutex
	instances map[string]*instance
	ended     []*instance
	byToken   map[string]*instance // by start token, including ended instances
	history   []listSnapshot
	notices   []cloud.Notice
	changed   chan struct{}
	faults    faults
	seq       int
	starts    int
	refusals  int
}

// listSnapshot is the instance list from a point in time on.
type listSnapshot struct {
	at   time.Time
	list []cloud.Instance
}

var _ cloud.Cloud = (*Cloud)(nil)

// NewCloud returns a cloud without instances.
func NewCloud(cfg Config, factory Factory) *Cloud {
	if cfg.Speed == 0 {
		cfg.Speed = 1
	}
	return &Cloud{
		cfg:       cfg,
		factory:   factory,
		instances: make(map[string]*instance),
		byToken:   make(map[string]*instance),
		changed:   make(chan struct{}),
		faults:    newFaults(),
	}
}

// Start implements cloud.Cloud.
func (c *Cloud) Start(ctx context.Context, r cloud.StartRequest) (cloud.Instance, error) {
	info, created, err := c.create(r)
	if err != nil || !created {
		return info, err
	}
	go c.boot(info.ID, r)
	return info, nil
}

// StartReady starts an instance that is ready immediately.
func (c *Cloud) StartReady(r cloud.StartRequest) (cloud.Instance, error) {
	info, created, err := c.create(r)
	if err == nil && created {
		c.setReady(info.ID)
		info.State = cloud.StateReady
	}
	return info, err
}

// create adds an instance in the starting state and reports whether it did; if
// an instance with the same token exists, create returns that one.
func (c *Cloud) create(r cloud.StartRequest) (cloud.Instance, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in, ok := c.byToken[r.Token]; ok && r.Token != "" {
		return in.info, false, nil
	}
	price, offered := c.price(r)
	if !offered || c.faults.refusesStart(r) {
		c.refusals++
		return cloud.Instance{}, false, cloud.ErrRefused
	}
	l, err := net.Listen("tcp", net.JoinHostPort(c.cfg.Host, "0"))
	if err != nil {
		return cloud.Instance{}, false, cloud.ErrUnavailable
	}
	c.seq++
	c.starts++
	in := c.newInstance(r, l.Addr().String())
	in.price = price
	c.instances[in.info.ID] = in
	c.byToken[r.Token] = in
	go func() { _ = in.server.Serve(l) }()
	c.recordLocked()
	return in.info, true, nil
}

func (c *Cloud) newInstance(r cloud.StartRequest, addr string) *instance {
	in := &instance{
		info: cloud.Instance{
			ID: fmt.Sprintf("%s-%s-%d", r.Service, r.DataCentre, c.seq), Service: r.Service, DataCentre: r.DataCentre,
			Class: r.Class, Reclaimable: r.Reclaimable, Addr: addr, State: cloud.StateStarting, Token: r.Token,
		},
		endpoint: c.factory(r),
		started:  time.Now(),
	}
	in.server = &http.Server{Handler: in.requireReady(in.endpoint.Handler())}
	return in
}

// requireReady wraps a handler so that requests are refused until the instance is ready.
func (in *instance) requireReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !in.ready.Load() {
			w.Header().Set(httpengine.NotRunHeader, "starting")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (c *Cloud) price(r cloud.StartRequest) (float64, bool) {
	if c.cfg.Price == nil {
		return 0, true
	}
	return c.cfg.Price(r.Class, r.DataCentre, r.Reclaimable)
}

// boot waits for the start delay, runs Config.Boot and makes the instance ready.
func (c *Cloud) boot(id string, r cloud.StartRequest) {
	time.Sleep(c.cfg.StartDelay)
	if c.cfg.Boot != nil {
		c.cfg.Boot(r)
	}
	c.setReady(id)
}

func (c *Cloud) setReady(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in, ok := c.instances[id]
	if !ok {
		return
	}
	in.ready.Store(true)
	if in.info.State == cloud.StateStarting {
		in.info.State = cloud.StateReady
	}
	c.recordLocked()
}

// Stop implements cloud.Cloud.
func (c *Cloud) Stop(ctx context.Context, id string) error {
	c.Kill(id)
	return nil
}

// Instances returns the current list without delay, sorted by id.
func (c *Cloud) Instances() []cloud.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listLocked()
}

// Endpoint returns the endpoint of an instance.
func (c *Cloud) Endpoint(id string) (Endpoint, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in, ok := c.instances[id]
	if !ok {
		return nil, false
	}
	return in.endpoint, true
}

// List implements cloud.Cloud. The list is delayed by Config.ListLag.
func (c *Cloud) List(ctx context.Context) ([]cloud.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.frozenList != nil {
		return c.faults.frozenList, nil
	}
	return c.laggedListLocked(), nil
}

// laggedListLocked returns the list as of ListLag ago and drops older snapshots.
func (c *Cloud) laggedListLocked() []cloud.Instance {
	limit := time.Now().Add(-c.cfg.ListLag)
	n := 0
	for n < len(c.history) && !c.history[n].at.After(limit) {
		n++
	}
	if n == 0 {
		return nil
	}
	c.history = c.history[n-1:]
	return c.history[0].list
}

// Notices implements cloud.Cloud.
func (c *Cloud) Notices(ctx context.Context, after uint64) ([]cloud.Notice, error) {
	for {
		c.mu.Lock()
		n := uint64(len(c.notices))
		out := slices.Clone(c.notices[min(after, n):])
		changed, withheld := c.changed, c.faults.noticesWithheld
		c.mu.Unlock()
		if len(out) > 0 && !withheld {
			return out, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// Close ends all instances.
func (c *Cloud) Close() {
	for _, in := range c.Instances() {
		c.Kill(in.ID)
	}
}

// Kill ends an instance immediately, closes all its connections and reports
// whether the instance existed.
func (c *Cloud) Kill(id string) bool {
	c.mu.Lock()
	in, ok := c.instances[id]
	if ok {
		delete(c.instances, id)
		in.info.State = cloud.StateGone
		in.ended = time.Now()
		c.ended = append(c.ended, in)
		c.recordLocked()
	}
	c.mu.Unlock()
	if ok {
		_ = in.server.Close()
	}
	return ok
}

// recordLocked adds the current list to the history and wakes up waiting calls of Notices.
func (c *Cloud) recordLocked() {
	c.history = append(c.history, listSnapshot{at: time.Now(), list: c.listLocked()})
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Cloud) listLocked() []cloud.Instance {
	out := make([]cloud.Instance, 0, len(c.instances))
	for _, in := range c.instances {
		out = append(out, in.info)
	}
	slices.SortFunc(out, func(a, b cloud.Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}
