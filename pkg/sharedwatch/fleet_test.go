package sharedwatch

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	"github.com/medlarsill/medlarsill/pkg/watch"
)

// prefix is the prefix of the objects that a test's fleet watches.
const prefix = "servers/"

// fleet is a group of instances that watch the same objects.
type fleet struct {
	store     *memstore.Store
	instances []*instance
	// drop reports whether the next datagram is lost.
	drop  func() bool
	calls atomic.Int64
	// readBytes counts the bytes of the values that were read from the store.
	readBytes atomic.Int64
	// isolated is true while no instance reaches its peers; batches counts the
	// broadcast batches.
	isolated atomic.Bool
	batches  atomic.Int64
	maxDelay time.Duration
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// instance is one member of a fleet with its copy of the objects.
type instance struct {
	fleet *fleet
	rank  int
	store *Store
	// storeDown is true while calls to the store fail, isolated while no peer is
	// reachable, and storeHung while calls to the store time out.
	storeDown, isolated, storeHung atomic.Bool
	// responseTime is the time in nanoseconds that a response with changes takes to be received.
	responseTime atomic.Int64

	mu      sync.Mutex
	objects map[string]string
	// version is the one of the last changes, and regressed is true if changes ever ended before
	// those that were known.
	version   uint64
	regressed bool
}

// heldStore is a store that ends a watch without changes after the instance's hold time.
type heldStore struct {
	objectstore.Store
	instance *instance
}

func (h heldStore) Watch(ctx context.Context, prefix string, after uint64) (objectstore.Changes, error) {
	h.instance.fleet.calls.Add(1)
	if h.instance.storeDown.Load() {
		return objectstore.Changes{}, objectstore.ErrUnavailable
	}
	hold := h.instance.store.HoldTime()
	held, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	c, err := h.Store.Watch(held, prefix, after)
	if d := time.Duration(h.instance.responseTime.Load()); d > 0 && len(c.Objects) > 0 {
		objectstore.ResponseBegan(ctx)
		time.Sleep(d)
	}
	for _, o := range c.Objects {
		h.instance.fleet.readBytes.Add(int64(len(o.Value)))
	}
	if h.instance.storeHung.Load() {
		time.Sleep(hold)
		return objectstore.Changes{}, objectstore.ErrUnavailable
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return objectstore.Changes{Version: max(after, c.Version)}, nil
	}
	return c, err
}

// Get implements objectstore.Store.
func (h heldStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if h.instance.storeDown.Load() {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	o, err := h.Store.Get(ctx, key)
	h.instance.fleet.readBytes.Add(int64(len(o.Value)))
	return o, err
}

// noLoss reports that no datagram is lost.
func noLoss() bool { return false }

// newFleet starts a fleet; it must be called in a synctest bubble.
func newFleet(size int, drop func() bool) *fleet {
	return startFleet(&fleet{store: memstore.New(), drop: drop}, size)
}

// newFleetWithDelay starts a fleet in which changes may take a time to be known to all.
func newFleetWithDelay(size int, maxDelay time.Duration) *fleet {
	return startFleet(&fleet{store: memstore.New(), drop: noLoss, maxDelay: maxDelay}, size)
}

// newIsolatedFleet starts a fleet in which no instance reaches its peers yet.
func newIsolatedFleet(size int) *fleet {
	f := &fleet{store: memstore.New(), drop: noLoss}
	f.isolated.Store(true)
	return startFleet(f, size)
}

func startFleet(f *fleet, size int) *fleet {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for rank := range size {
		f.instances = append(f.instances, f.newInstance(rank))
	}
	f.put("first", "1")
	for _, i := range f.instances {
		f.wg.Go(func() { i.follow(ctx) })
	}
	synctest.Wait()
	return f
}

func (f *fleet) newInstance(rank int) *instance {
	i := &instance{fleet: f, rank: rank, objects: make(map[string]string)}
	i.store = New(Options{
		Store: heldStore{Store: f.store, instance: i}, Rank: i.currentRank, ReachablePeers: i.reachablePeers, Members: func() int { return len(f.instances) },
		MaxDelay: f.maxDelay, Broadcast: i.broadcast, Metrics: prometheus.NewRegistry(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: time.Now,
	})
	return i
}

// currentRank returns the instance's rank, which is 0 if no peer is reachable.
func (i *instance) currentRank() int {
	if i.reachablePeers() == 0 {
		return 0
	}
	return i.rank
}

// reachablePeers returns the number of reachable peers.
func (i *instance) reachablePeers() int {
	if i.isolated.Load() || i.fleet.isolated.Load() {
		return 0
	}
	return len(i.fleet.instances) - 1
}

// broadcast delivers a batch to all reachable peers, except for lost datagrams.
func (i *instance) broadcast(data []byte) {
	i.fleet.batches.Add(1)
	for _, peer := range i.fleet.instances {
		if peer == i || peer.isolated.Load() || i.isolated.Load() || i.fleet.drop() {
			continue
		}
		time.AfterFunc(time.Millisecond, func() { peer.store.ReceiveBatch(data) })
	}
}

func (i *instance) follow(ctx context.Context) {
	l := watch.Loop{Store: i.store, Prefix: prefix, Name: "servers", Apply: i.apply, CoalesceDelay: 200 * time.Millisecond, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: time.Now}
	_ = l.Run(ctx)
}

func (i *instance) apply(c objectstore.Changes, _ bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.regressed = i.regressed || c.Version < i.version
	i.version = c.Version
	if c.Reset {
		clear(i.objects)
	}
	for _, o := range c.Objects {
		if o.Deleted {
			delete(i.objects, o.Key)
		} else {
			i.objects[o.Key] = string(o.Value)
		}
	}
}

// value returns the instance's value of an object, or "" if it has none.
func (i *instance) value(name string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.objects[prefix+name]
}

// put writes an object, or deletes it if the value is empty.
func (f *fleet) put(name, value string) {
	ctx := context.Background()
	o, err := f.store.Get(ctx, prefix+name)
	switch {
	case value == "" && err == nil:
		err = f.store.Delete(ctx, o.Key, o.Version)
	case value == "":
		err = nil
	case err != nil:
		_, err = f.store.Create(ctx, prefix+name, []byte(value))
	default:
		_, err = f.store.Update(ctx, o.Key, []byte(value), o.Version)
	}
	if err != nil {
		panic(err)
	}
}

// countWith returns the number of instances that have a value of an object.
func (f *fleet) countWith(name, value string) int {
	n := 0
	for _, i := range f.instances {
		if i.value(name) == value {
			n++
		}
	}
	return n
}

// shutdown stops all instances.
func (f *fleet) shutdown() {
	f.stop()
	f.wg.Wait()
	time.Sleep(time.Second) // let pending datagrams be delivered
}

// lossy returns a drop function that loses a share of the datagrams.
func lossy(seed uint64, share float64) func() bool {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < share
	}
}
