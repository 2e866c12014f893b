package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/admit"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/standin/modelserver"
)

const tokenInterval = 20 * time.Millisecond

// fakeEngines is an engine client that simulates all model endpoints. The tokens
// of each attempt are distinct, so that a response that mixes two continuations
// can be detected.
type fakeEngines struct {
	mu      sync.Mutex
	dead    map[string]bool
	stalled map[string]chan struct{}
	places  map[string]string
	placed  []string
	kv      map[string]bool
	// prefixes holds the text that each attempt was given to continue.
	prefixes map[string]string
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{dead: map[string]bool{}, stalled: map[string]chan struct{}{}, places: map[string]string{}, kv: map[string]bool{}, prefixes: map[string]string{}}
}

func (f *fakeEngines) kill(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead[addr] = true
}

// stallStreams makes the open streams of an endpoint hang forever; new streams work.
func (f *fakeEngines) stallStreams(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.stalled[addr]; ok {
		close(c)
	}
	f.stalled[addr] = make(chan struct{})
}

func (f *fakeEngines) Generate(ctx context.Context, addr string, r engine.Request) (engine.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[addr] {
		return nil, engine.ErrNotRun
	}
	if f.stalled[addr] == nil {
		f.stalled[addr] = make(chan struct{})
	}
	f.placed = append(f.placed, addr)
	f.prefixes[r.ID] = strings.Join(r.Generated, "")
	prompt := modelserver.PromptHash(r.Model, r.Messages)
	n, finish := modelserver.AnswerLength(prompt, r.MaxTokens)
	ctx, cancel := context.WithCancel(ctx)
	return &fakeStream{f: f, ctx: ctx, cancel: cancel, addr: addr, id: r.ID, next: len(r.Generated), n: n, finish: finish, hang: f.stalled[addr]}, nil
}

// fromOneContinuation reports whether the attempt that generated the end of a
// text was given exactly the text before it to continue.
func (f *fakeEngines) fromOneContinuation(text string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	words := strings.Fields(text)
	last := words[len(words)-1]
	attempt := last[:strings.LastIndex(last, "#")]
	return strings.HasPrefix(text, f.prefixes[attempt]) && !strings.Contains(f.prefixes[attempt], attempt)
}

func (f *fakeEngines) isDead(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dead[addr]
}

func (f *fakeEngines) Probe(ctx context.Context, addr string) error {
	if f.isDead(addr) {
		return engine.ErrNotRun
	}
	return nil
}

func (f *fakeEngines) Load(ctx context.Context, addr string) (engine.Load, error) {
	return engine.Load{}, f.Probe(ctx, addr)
}

func (f *fakeEngines) CacheEvents(context.Context, string, uint64) ([]engine.CacheEvent, error) {
	return nil, nil
}

func (f *fakeEngines) ExportKV(ctx context.Context, from, to, attempt string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[from] || f.dead[to] {
		return engine.ErrBroken
	}
	f.kv[to+attempt] = true
	return nil
}

func (f *fakeEngines) Order(context.Context, string, engine.Order) error { return nil }

type fakeStream struct {
	f      *fakeEngines
	ctx    context.Context
	cancel context.CancelFunc
	addr   string
	id     string
	next   int
	n      int
	finish engine.Finish
	hang   chan struct{}
}

func (s *fakeStream) Next() (engine.Token, error) {
	if s.next >= s.n {
		return engine.Token{}, io.EOF
	}
	select {
	case <-time.After(tokenInterval):
	case <-s.ctx.Done():
		return engine.Token{}, engine.ErrBroken
	case <-s.hang:
		<-s.ctx.Done()
		return engine.Token{}, engine.ErrBroken
	}
	if s.f.isDead(s.addr) {
		return engine.Token{}, engine.ErrBroken
	}
	t := engine.Token{Index: s.next, Text: fmt.Sprintf("%s#%d ", s.id, s.next)}
	s.next++
	if s.next == s.n {
		t.Finish = s.finish
		t.Usage = &engine.Usage{CompletionTokens: s.n}
	}
	return t, nil
}

func (s *fakeStream) Close() error {
	s.cancel()
	return nil
}

// fakeNet carries calls between entries over in-memory pipes and can block links.
type fakeNet struct {
	mu      sync.Mutex
	servers map[string]*peer.Server
	blocked map[string]bool
	clients map[string]*rpc.Client
}

func newFakeNet() *fakeNet {
	return &fakeNet{servers: map[string]*peer.Server{}, blocked: map[string]bool{}, clients: map[string]*rpc.Client{}}
}

// caller makes one entry's calls over the fakeNet.
type caller struct {
	net  *fakeNet
	self string
}

func (c *caller) Call(ctx context.Context, id, method string, args, reply any) error {
	client, err := c.net.client(c.self, id)
	if err != nil {
		return err
	}
	callReply := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, callReply.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		reflect.ValueOf(reply).Elem().Set(callReply.Elem())
		if c.net.isBlocked(c.self, id) {
			return eris.Wrap(peer.ErrNoAnswer, "cut")
		}
		return call.Error
	case <-ctx.Done():
		return eris.Wrap(peer.ErrNoAnswer, "timeout")
	}
}

func (n *fakeNet) client(from, to string) (*rpc.Client, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isBlockedLocked(from, to) || n.servers[to] == nil {
		return nil, eris.Wrap(peer.ErrUnreachable, to)
	}
	key := from + ">" + to
	if c, ok := n.clients[key]; ok {
		return c, nil
	}
	a, b := net.Pipe()
	go n.servers[to].ServeConn(b)
	n.clients[key] = rpc.NewClient(a)
	return n.clients[key], nil
}

func (n *fakeNet) isBlocked(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isBlockedLocked(a, b)
}

func (n *fakeNet) isBlockedLocked(a, b string) bool {
	return n.blocked[a] || n.blocked[b] || n.blocked[a+">"+b] || n.blocked[b+">"+a]
}

// hasBlockedLink reports whether a node or one of its links is blocked.
func (n *fakeNet) hasBlockedLink(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, on := range n.blocked {
		if on && strings.Contains(name+">", id+">") {
			return true
		}
	}
	return false
}

// setBlocked blocks or unblocks a node ("e1") or a link ("e1>e2").
func (n *fakeNet) setBlocked(name string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[name] = blocked
}

func (n *fakeNet) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.clients {
		_ = c.Close()
	}
}

// fakeConfig is a configuration that is confirmed unless it is set stale.
type fakeConfig struct {
	mu    sync.Mutex
	env   *config.Envelope
	stale bool
}

func (f *fakeConfig) Current() *config.Envelope {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.env
}

func (f *fakeConfig) Fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.stale
}

func (f *fakeConfig) setStale(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stale = on
}

func testEnvelope(dataCentres []string) *config.Envelope {
	doc := config.Document{
		Services: []config.Service{
			{Name: "assistant", Kind: config.KindModel, Models: []string{"assistant"}, BatchLimit: 8},
		},
		Workspaces: []config.Workspace{
			{Name: "w", KeyHashes: []string{config.HashKey("k")}, DataCentres: dataCentres, Services: []string{"assistant"}, Weight: 1, MaxInFlight: 1000},
			{Name: "narrow", KeyHashes: []string{config.HashKey("n")}, DataCentres: dataCentres[:1], Services: []string{"assistant"}, Weight: 1, MaxInFlight: 1000},
		},
		Presets: []config.Preset{{Name: "ordinary"}},
	}
	for _, dc := range dataCentres {
		doc.DataCentres = append(doc.DataCentres, config.DataCentre{Name: dc, Region: "r"})
	}
	return &config.Envelope{Revision: 1, Preset: "ordinary", Document: doc}
}

func (f *fakeEngines) placements() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.placed)
}

// admitAll admits every request immediately.
type admitAll struct{}

func (admitAll) Admit(context.Context, admit.Request) (func(), error) { return func() {}, nil }
