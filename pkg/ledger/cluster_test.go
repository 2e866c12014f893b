package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	"github.com/medlarsill/medlarsill/pkg/peer"
)

// cluster is a set of entries with a common store. It records the requests that
// the endpoints ran.
type cluster struct {
	store   *memstore.Store
	entries []*node

	mu         sync.Mutex
	runs       map[string][]string // ids of the requests that ran, by key
	partitions map[[2]string]bool
}

func newCluster(n int) *cluster {
	c := &cluster{store: memstore.New(), runs: make(map[string][]string), partitions: make(map[[2]string]bool)}
	for i := range n {
		e := &node{cluster: c, id: string(rune('a' + i))}
		c.entries = append(c.entries, e)
		e.start()
	}
	return c
}

func (c *cluster) byID(id string) *node {
	for _, e := range c.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (c *cluster) setPartition(a, b string, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[[2]string{a, b}], c.partitions[[2]string{b, a}] = partitioned, partitioned
}

func (c *cluster) partitioned(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitions[[2]string{a, b}]
}

func (c *cluster) recordRun(key, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key] = append(c.runs[key], request)
}

func (c *cluster) runsOf(key string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.runs[key]...)
}

// clearFaults ends all faults and restarts dead entries.
func (c *cluster) clearFaults() {
	c.mu.Lock()
	c.partitions = make(map[[2]string]bool)
	c.mu.Unlock()
	for _, e := range c.entries {
		e.triggerAfter(nil, 0)
		e.setFaults(nil)
		e.setOutage(false)
	}
	for _, e := range c.entries {
		e.resume()
		e.restart()
	}
}

func (c *cluster) close() {
	for _, e := range c.entries {
		e.setOutage(true)
		e.kill()
	}
}

// node is one entry. Its process may be killed or paused at any step; a step is
// a call that enters or leaves the process.
type node struct {
	cluster *cluster
	id      string

	mu        sync.Mutex
	proc      *process
	faults    []storeFault
	outage    bool
	trigger   func()
	stepsLeft int
	paused    chan struct{}
}

// process is an entry's process from its start until it is killed.
type process struct {
	node   *node
	ledger *Ledger
	dead   chan struct{}
}

func (e *node) start() {
	p := &process{node: e, dead: make(chan struct{})}
	p.ledger = New(Options{
		Store: &nodeStore{p}, Peers: &nodePeers{e}, Caller: &nodeCaller{p}, Self: e.id,
		Metrics: NewMetrics(prometheus.NewRegistry()), Shards: 2, Retention: time.Hour,
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.proc = p
}

func (e *node) process() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.proc
}

func (e *node) kill() {
	p := e.process()
	e.mu.Lock()
	if p.isDead() {
		e.mu.Unlock()
		return
	}
	close(p.dead)
	e.mu.Unlock()
	e.resume()
	done, cancel := context.WithCancel(context.Background())
	cancel()
	go p.ledger.Close(done)
}

func (e *node) restart() {
	if e.process().isDead() {
		e.start()
	}
}

func (e *node) pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused == nil {
		e.paused = make(chan struct{})
	}
}

func (e *node) resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused != nil {
		close(e.paused)
		e.paused = nil
	}
}

// triggerAfter calls action at the given step of the entry, counted from now.
func (e *node) triggerAfter(action func(), steps int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trigger, e.stepsLeft = action, steps
}

func (e *node) setFaults(f []storeFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *node) setOutage(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outage = on
}

// step is called before and after each external effect. It calls the action of
// triggerAfter when due, waits while the process is paused and reports whether
// the process is alive.
func (p *process) step() bool {
	e := p.node
	e.mu.Lock()
	var due func()
	if e.trigger != nil {
		if e.stepsLeft--; e.stepsLeft <= 0 {
			due, e.trigger = e.trigger, nil
		}
	}
	e.mu.Unlock()
	if due != nil {
		due()
	}
	e.mu.Lock()
	paused := e.paused
	e.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-p.dead:
		}
	}
	return !p.isDead()
}

func (p *process) isDead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

// storeFault is a fault of one call to the store.
type storeFault int

const (
	storeOK storeFault = iota
	storeUnavailable
	storeLostAnswer
	storeLostRequest
	// storeDelayed loses the answer and applies the write later.
	storeDelayed
	// storeSlow answers after a delay.
	storeSlow
	storeFaultCount
)

// Delays of storeSlow and storeDelayed.
const (
	slowCallDelay     = 300 * time.Millisecond
	delayedWriteDelay = 600 * time.Millisecond
)

// nodeStore is the store as seen by one process, with injected faults.
type nodeStore struct{ p *process }

func (s *nodeStore) nextFault() storeFault {
	e := s.p.node
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.outage {
		return storeUnavailable
	}
	if len(e.faults) == 0 {
		return storeOK
	}
	f := e.faults[0]
	e.faults = e.faults[1:]
	return f
}

func (s *nodeStore) read(ctx context.Context, call func() (objectstore.Object, error)) (objectstore.Object, error) {
	if !s.p.step() {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	switch s.nextFault() {
	case storeOK:
	case storeSlow:
		time.Sleep(slowCallDelay)
	default:
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	o, err := call()
	if !s.p.step() || ctx.Err() != nil {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return o, err
}

func (s *nodeStore) write(ctx context.Context, call func() (objectstore.Object, error)) (objectstore.Object, error) {
	if !s.p.step() {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	fault := s.nextFault()
	switch fault {
	case storeUnavailable:
		return objectstore.Object{}, objectstore.ErrUnavailable
	case storeLostRequest:
		return objectstore.Object{}, objectstore.ErrUnknown
	case storeDelayed:
		time.AfterFunc(delayedWriteDelay, func() { _, _ = call() })
		return objectstore.Object{}, objectstore.ErrUnknown
	case storeSlow:
		time.Sleep(slowCallDelay)
	}
	o, err := call()
	if !s.p.step() || fault == storeLostAnswer || ctx.Err() != nil {
		return objectstore.Object{}, objectstore.ErrUnknown
	}
	return o, err
}

func (s *nodeStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	return s.read(ctx, func() (objectstore.Object, error) { return s.p.node.cluster.store.Get(ctx, key) })
}

func (s *nodeStore) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return s.write(ctx, func() (objectstore.Object, error) { return s.p.node.cluster.store.Create(ctx, key, value) })
}

func (s *nodeStore) Update(ctx context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	return s.write(ctx, func() (objectstore.Object, error) { return s.p.node.cluster.store.Update(ctx, key, value, version) })
}

func (s *nodeStore) Delete(ctx context.Context, key string, version uint64) error {
	_, err := s.write(ctx, func() (objectstore.Object, error) {
		return objectstore.Object{}, s.p.node.cluster.store.Delete(ctx, key, version)
	})
	return err
}

func (s *nodeStore) List(context.Context, string) ([]objectstore.Object, error) {
	return nil, errors.New("not used")
}

func (s *nodeStore) Watch(context.Context, string, uint64) (objectstore.Changes, error) {
	return objectstore.Changes{}, errors.New("not used")
}

// nodePeers is the peer directory of an entry. It lists all live entries.
type nodePeers struct{ e *node }

func (p *nodePeers) All() []peer.Info {
	var out []peer.Info
	for _, e := range p.e.cluster.entries {
		if !e.process().isDead() {
			out = append(out, peer.Info{ID: e.id})
		}
	}
	return out
}

// nodeCaller delivers RPCs from one process to the others, with injected faults.
type nodeCaller struct{ p *process }

func (c *nodeCaller) Call(ctx context.Context, id, method string, args, reply any) error {
	cluster := c.p.node.cluster
	target := cluster.byID(id)
	if !c.p.step() || target == nil {
		return peer.ErrUnreachable
	}
	if target.process().isDead() {
		return peer.ErrUnreachable
	}
	if cluster.partitioned(c.p.node.id, id) {
		<-ctx.Done()
		return peer.ErrNoAnswer
	}
	done := make(chan func() error, 1)
	go func() { done <- serve(target.process(), method, args, reply) }()
	select {
	case answer := <-done:
		if !c.p.step() || cluster.partitioned(c.p.node.id, id) {
			return peer.ErrNoAnswer
		}
		return answer()
	case <-ctx.Done():
		return peer.ErrNoAnswer
	}
}

// serve runs a call in the target process. The returned function stores the
// reply or returns an error if the process died.
func serve(p *process, method string, args, reply any) func() error {
	lost := func() error { return peer.ErrNoAnswer }
	if !p.step() {
		return lost
	}
	rpc := &RPC{ledger: p.ledger}
	switch method {
	case "Ledger.Apply":
		var out ApplyReply
		_ = rpc.Apply(args.(*ApplyArgs), &out)
		if !p.step() {
			return lost
		}
		return func() error { *reply.(*ApplyReply) = out; return nil }
	case "Ledger.Ask":
		var out AskReply
		_ = rpc.Ask(args.(*AskArgs), &out)
		if !p.step() {
			return lost
		}
		return func() error { *reply.(*AskReply) = out; return nil }
	}
	return lost
}
