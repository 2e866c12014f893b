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

// prefix is that of the objects that a test's fleet follows.
const prefix = "servers/"

// fleet is a number of instances that follow the same objects.
type fleet struct {
	store     *memstore.Store
	instances []*instance
	// loses tells whether a datagram is lost.
	loses func() bool
	calls atomic.Int64
	// unheard is true while no instance hears its peers; told counts the batches.
	unheard atomic.Bool
	told    atomic.Int64
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

// instance is one member of a fleet with what it knows of the objects.
type instance struct {
	fleet *fleet
	rank  int
	store *Store
	// cut is true while the instance doesn't reach the store, deaf while it hears no
	// peer, and hung while calls to the store get no answer.
	cut, deaf, hung atomic.Bool

	mu      sync.Mutex
	objects map[string]string
}

// heldStore answers a watch without changes after the time for which it is held.
type heldStore struct {
	objectstore.Store
	instance *instance
}

func (h heldStore) Watch(ctx context.Context, prefix string, after uint64) (objectstore.Changes, error) {
	h.instance.fleet.calls.Add(1)
	if h.instance.cut.Load() {
		return objectstore.Changes{}, objectstore.ErrUnavailable
	}
	hold := h.instance.store.HoldTime()
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	c, err := h.Store.Watch(ctx, prefix, after)
	if h.instance.hung.Load() {
		time.Sleep(hold)
		return objectstore.Changes{}, objectstore.ErrUnavailable
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return objectstore.Changes{Version: max(after, c.Version)}, nil
	}
	return c, err
}

// allHeard is a network that loses nothing.
func allHeard() bool { return false }

// newFleet starts instances that follow the store; it is for use in a bubble.
func newFleet(size int, loses func() bool) *fleet {
	f := &fleet{store: memstore.New(), loses: loses}
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
		Store: heldStore{Store: f.store, instance: i}, Rank: i.place, ReachablePeers: i.heard, Members: func() int { return len(f.instances) },
		Broadcast: i.tell, Metrics: prometheus.NewRegistry(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: time.Now,
	})
	return i
}

// place is the instance's rank: the first of those that it hears.
func (i *instance) place() int {
	if i.heard() == 0 {
		return 0
	}
	return i.rank
}

// heard is the number of peers that the instance hears.
func (i *instance) heard() int {
	if i.deaf.Load() || i.fleet.unheard.Load() {
		return 0
	}
	return len(i.fleet.instances) - 1
}

// tell delivers a batch to all peers that hear it.
func (i *instance) tell(data []byte) {
	i.fleet.told.Add(1)
	for _, peer := range i.fleet.instances {
		if peer == i || peer.deaf.Load() || i.deaf.Load() || i.fleet.loses() {
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

// has returns what the instance knows of an object.
func (i *instance) has(name string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.objects[prefix+name]
}

// put writes an object, or removes it if the value is empty.
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

// knowing is the number of instances that know a value of an object.
func (f *fleet) knowing(name, value string) int {
	n := 0
	for _, i := range f.instances {
		if i.has(name) == value {
			n++
		}
	}
	return n
}

// end stops all instances.
func (f *fleet) end() {
	f.stop()
	f.wg.Wait()
	time.Sleep(time.Second) // datagrams under way
}

// lossy returns a function that tells whether a datagram is lost, with a share of lost ones.
func lossy(seed uint64, share float64) func() bool {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < share
	}
}
