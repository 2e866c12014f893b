package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/tmaxmax/go-sse"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/dispatch"
	"github.com/medlarsill/medlarsill/pkg/entry"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/flight"
	"github.com/medlarsill/medlarsill/pkg/handover"
	"github.com/medlarsill/medlarsill/pkg/openai"
	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/place"
)

// node is one entry.
type node struct {
	id      string
	server  *entry.Server
	manager *handover.Manager
	table   *fleet.Table
	peers   *peer.Directory
	handler http.Handler
	flights *flight.Registry
	stopped atomic.Bool
	// ctx is cancelled when the entry is killed, which ends callers' connections.
	ctx  context.Context
	kill context.CancelFunc
}

// cluster runs several entries in one process, with a fake network and fake endpoints.
type cluster struct {
	engines   *fakeEngines
	net       *fakeNet
	config    *fakeConfig
	nodes     []*node
	instances []cloud.Instance
	infos     []peer.Info
}

func newCluster(entries, endpoints int) *cluster {
	dataCentres := []string{"dc-0", "dc-1", "dc-2", "dc-3"}
	c := &cluster{engines: newFakeEngines(), net: newFakeNet(), config: &fakeConfig{env: testEnvelope(dataCentres)}}
	for i := range entries {
		id := fmt.Sprintf("e%d", i)
		c.infos = append(c.infos, peer.Info{ID: id, DataCentre: dataCentres[i%len(dataCentres)], Addr: id})
	}
	for i := range entries {
		c.nodes = append(c.nodes, c.newNode(c.infos[i]))
	}
	for i := range endpoints {
		c.addEndpoint(dataCentres[i%len(dataCentres)])
	}
	return c
}

func (c *cluster) newNode(info peer.Info) *node {
	reg := prometheus.NewRegistry()
	n := &node{id: info.ID, peers: &peer.Directory{}, flights: flight.NewRegistry(time.Now)}
	n.ctx, n.kill = context.WithCancel(context.Background())
	n.peers.Set(c.infos)
	n.table = fleet.NewTable(time.Now, nil)
	placer := place.NewLeastInFlight()
	n.server = entry.New(entry.Options{
		Config: c.config, Admitter: admitAll{}, Placer: placer, Fleet: n.table, Flights: n.flights,
		Dispatcher: &dispatch.Dispatcher{
			Self: info.ID, Config: c.config, Fleet: n.table, Placer: placer, Engine: c.engines,
			Metrics: dispatch.NewMetrics(reg), Now: time.Now,
		},
		Log: slog.New(slog.DiscardHandler), Metrics: entry.NewMetrics(reg), Now: time.Now,
	})
	n.manager = handover.New(handover.Options{
		Self: info, Peers: n.peers, Caller: &caller{net: c.net, self: info.ID}, Flights: n.flights,
		Owner: n.server, Log: slog.New(slog.DiscardHandler), Metrics: handover.NewMetrics(reg), Now: time.Now,
	})
	n.server.Handover = n.manager
	n.handler = n.server.Handler()
	rpc := peer.NewServer(nil)
	if err := n.manager.Register(rpc); err != nil {
		panic(err)
	}
	c.net.servers[info.ID] = rpc
	return n
}

func (c *cluster) addEndpoint(dataCentre string) {
	id := fmt.Sprintf("m%d", len(c.instances))
	c.instances = append(c.instances, cloud.Instance{ID: id, Addr: id, Service: "assistant", DataCentre: dataCentre, State: cloud.StateReady})
	c.applyInstances()
}

func (c *cluster) applyInstances() {
	for _, n := range c.nodes {
		n.table.ApplyList(c.instances)
	}
}

// reclaim gives an endpoint a reclaim notice and kills it after the grace period.
func (c *cluster) reclaim(i int, grace time.Duration) {
	at := time.Now().Add(grace)
	c.instances[i].State = cloud.StateLeaving
	c.instances[i].StopAt = at
	c.applyInstances()
	addr := c.instances[i].Addr
	time.AfterFunc(grace, func() { c.engines.kill(addr) })
}

// killEntry stops an entry abruptly: its links, flights and callers' connections.
func (c *cluster) killEntry(n *node) {
	c.net.setBlocked(n.id, true)
	n.stopped.Store(true)
	n.kill()
	n.server.Close()
	c.updatePeers()
	for _, other := range c.nodes {
		if !other.stopped.Load() {
			go other.manager.AdoptAllFrom(n.id)
		}
	}
}

// updatePeers sets the running entries as each entry's peers, as membership does.
func (c *cluster) updatePeers() {
	var infos []peer.Info
	for i, n := range c.nodes {
		if !n.stopped.Load() {
			infos = append(infos, c.infos[i])
		}
	}
	for _, n := range c.nodes {
		n.peers.Set(infos)
	}
}

// drainEntry stops an entry gracefully within the grace period, as its process
// would. It returns the number of flights that no peer accepted.
func (c *cluster) drainEntry(n *node, grace time.Duration) int {
	n.server.Drain()
	n.stopped.Store(true)
	c.updatePeers()
	kept := n.server.Finish(context.Background(), grace)
	time.Sleep(grace / 10)
	c.net.setBlocked(n.id, true)
	n.kill()
	n.server.Close()
	return kept
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.stopped.Store(true)
		n.kill()
		n.server.Close()
	}
	c.net.close()
}

// isolate blocks an entry's links to its peers but not to its callers.
func (c *cluster) isolate(i int) {
	for k := range c.nodes {
		c.net.setBlocked(fmt.Sprintf("e%d>e%d", i, k), k != i)
	}
}

func (c *cluster) nextRunning(i int) *node {
	for k := range c.nodes {
		n := c.nodes[(i+k)%len(c.nodes)]
		if !n.stopped.Load() {
			return n
		}
	}
	return nil
}

// response is a streaming ResponseWriter that fails once the entry is killed.
type response struct {
	mu     sync.Mutex
	ctx    context.Context
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *response) Header() http.Header { return r.header }
func (r *response) WriteHeader(s int)   { r.status = s }
func (r *response) FlushError() error   { return r.ctx.Err() }

func (r *response) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return 0, io.ErrClosedPipe
	}
	return r.body.Write(p)
}

// do makes one request, whose connection ends when the entry is killed.
func (n *node) do(method, path, key, body string, header map[string]string) *response {
	req, err := http.NewRequestWithContext(n.ctx, method, path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	r := &response{ctx: n.ctx, header: http.Header{}, status: http.StatusOK}
	n.handler.ServeHTTP(r, req)
	return r
}

// client is a caller that reconnects to other entries until its response is complete.
type client struct {
	cluster  *cluster
	key      string
	id       string
	prompt   string
	stream   bool
	text     strings.Builder
	lastID   string
	complete bool
	failure  string
	restarts int
	// restartReasons holds the responses after which the client had to start again.
	restartReasons []string
	attempts       int
	// pause is the time before each reconnection.
	pause time.Duration
}

const attemptLimit = 200

func (cl *client) body() string {
	data, err := json.Marshal(openai.ChatRequest{Model: "assistant", Stream: cl.stream, Messages: []openai.ChatMessage{{Role: "user", Content: openai.Content(cl.prompt)}}})
	if err != nil {
		panic(err)
	}
	return string(data)
}

// run sends requests until the response is complete or an error is final.
func (cl *client) run(first int) {
	posted := false
	for cl.attempts = 0; cl.attempts < attemptLimit && !cl.complete && cl.failure == ""; cl.attempts++ {
		n := cl.cluster.nextRunning(first + cl.attempts)
		if n == nil {
			return
		}
		header := map[string]string{"Medlarsill-Request-Id": cl.id}
		if cl.stream {
			header["Accept"] = "text/event-stream"
		}
		if cl.lastID != "" {
			header["Last-Event-ID"] = cl.lastID
		}
		var r *response
		if posted {
			r = n.do(http.MethodGet, "/v1/requests/"+cl.id, cl.key, "", header)
		} else {
			r = n.do(http.MethodPost, "/v1/chat/completions", cl.key, cl.body(), header)
		}
		posted = cl.handleResponse(r, posted)
		time.Sleep(max(cl.pause, 50*time.Millisecond))
	}
}

// handleResponse processes one response and reports whether the request has been posted.
func (cl *client) handleResponse(r *response, posted bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.ctx.Err() != nil && !cl.stream:
		return true
	case r.status == http.StatusSeeOther:
		return true
	case r.status == http.StatusNotFound && posted, r.status == http.StatusConflict:
		cl.restarts++
		cl.restartReasons = append(cl.restartReasons, fmt.Sprintf("%d %s after %q", r.status, r.body.String(), cl.lastID))
		cl.text.Reset()
		cl.lastID = ""
		return false
	case r.status != http.StatusOK:
		cl.failure = fmt.Sprintf("%d %s", r.status, r.body.String())
		return true
	case cl.stream:
		cl.readEvents(r.body.Bytes())
	default:
		cl.readComplete(r.body.Bytes())
	}
	return true
}

func (cl *client) readComplete(data []byte) {
	var out openai.ChatCompletion
	if err := json.Unmarshal(data, &out); err != nil {
		return
	}
	cl.text.WriteString(string(out.Choices[0].Message.Content))
	cl.complete = out.Choices[0].FinishReason != ""
}

func (cl *client) readEvents(data []byte) {
	for ev, err := range sse.Read(bytes.NewReader(data), nil) {
		if err != nil {
			return
		}
		if ev.Data == "[DONE]" {
			cl.complete = true
			return
		}
		var chunk openai.ChatChunk
		if json.Unmarshal([]byte(ev.Data), &chunk) != nil || len(chunk.Choices) == 0 {
			cl.failure = ev.Data
			return
		}
		cl.text.WriteString(chunk.Choices[0].Delta.Content)
		cl.lastID = ev.LastEventID
	}
}
