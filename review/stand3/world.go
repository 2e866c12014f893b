// Command stand3 plays the scripts of the third review: it starts gateways as separate processes with the
// command of the deploy file, before a store, a cloud API and servers of its own on loopback addresses.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/medlarsill/medlarsill/platform/platformtest"
)

// Bounds of the small deployments.
const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	readyTime   = 15 * time.Second
	memoryMB    = 284
	maxFDs      = 4200
)

// zones holds the zones of the gateways and servers, in turn.
var zones = []string{"bp-a", "bp-b", "bp-c", "godollo"}

// world is one deployment.
type world struct {
	dir    string
	record *record
	store  *cuttingStore
	cloud  *platformtest.Cloud
	nodes  []*node
	// first is the first part of the loopback addresses of this run.
	network string
	// peerPort is the port on which the gateways talk to each other.
	peerPort int
	// streamLength is the number of events of a whole stream.
	streamLength int
	// storeOf holds other addresses of the store, by the number of the node that uses them.
	storeOf map[int]string
}

// node is a machine with one gateway process.
type node struct {
	number               int
	name, ip, zone       string
	front, ready, metric string
	cmd                  *exec.Cmd
	ended                chan struct{}
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// add writes a line with the time since the beginning.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// newWorld returns a deployment without processes. The record is written to a file.
func newWorld(recordFile string) (*world, error) {
	dir, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	store, err := newCuttingStore()
	if err != nil {
		return nil, err
	}
	return &world{
		dir: dir, record: &record{file: f, began: time.Now()}, store: store, cloud: platformtest.NewCloud(),
		network: fmt.Sprintf("127.%d.%d", 64+os.Getpid()/250%128, 1+os.Getpid()%250),
	}, nil
}

// close ends all processes and removes the files.
func (w *world) close() {
	for _, n := range w.nodes {
		n.end()
	}
	w.store.close()
	w.cloud.Close()
	w.record.file.Close()
	os.RemoveAll(w.dir)
}

// freePort returns a port that is free on an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// addNodes starts a number of gateways.
func (w *world) addNodes(count int, bootstrap bool) error {
	ports := make([]int, 4)
	for i := range ports {
		port, err := freePort(w.network + ".1")
		if err != nil {
			return err
		}
		ports[i] = port
	}
	w.peerPort = ports[3]
	for i := range count {
		ip := fmt.Sprintf("%s.%d", w.network, i+1)
		zone := zones[i%len(zones)]
		n := &node{
			number: i, name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), ip: ip, zone: zone,
			front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]), metric: fmt.Sprintf("%s:%d", ip, ports[2]),
		}
		w.nodes = append(w.nodes, n)
		if err := w.writeSettings(n, bootstrap); err != nil {
			return err
		}
		if err := w.start(n); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings fills in the template of the deploy file.
func (w *world) writeSettings(n *node, bootstrap bool) error {
	template, err := os.ReadFile("deploy/settings.tmpl")
	if err != nil {
		return err
	}
	store, ok := w.storeOf[n.number]
	if !ok {
		store = w.store.addr()
	}
	quote := func(s string) string { return fmt.Sprintf("%q", s) }
	text := strings.NewReplacer(
		"{{nodeName|json}}", quote(n.name), "{{zone|json}}", quote(n.zone), "{{listen.front|json}}", quote(n.front),
		"{{listen.ready|json}}", quote(n.ready), "{{listen.control|json}}", quote(n.metric), "{{ip|json}}", quote(n.ip),
		"{{internalPorts.0}}", fmt.Sprint(w.peerPort), "{{platform.address|json}}", quote(store), "{{cloud.address|json}}", quote(w.cloud.Addr()),
		"{{cloud.duties|json}}", `["usage","autoscale"]`, "{{bootstrap|json}}", fmt.Sprint(bootstrap), "{{limits.memoryMb}}", fmt.Sprint(memoryMB),
		"{{bounds.graceS}}", "8", "{{bounds.configMs}}", "2000", "{{bounds.leaseMs}}", "3000", "{{bounds.budgetRatio}}", "0.2", "{{bounds.budgetExtra}}", "52",
		"{{bounds.quotaOver}}", "0.1", "{{bounds.quotaSlack}}", "140000", "{{bounds.usageWindowS}}", "5",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return fmt.Errorf("deploy/settings.tmpl has a placeholder that this program doesn't know: %s", text)
	}
	return os.WriteFile(w.settingsFile(n), []byte(text), 0o600)
}

func (w *world) settingsFile(n *node) string { return filepath.Join(w.dir, n.name+".json") }

// start starts a node's process with the command of the deploy file.
func (w *world) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command("target/medlarsill-gateway", "--settings", w.settingsFile(n), fmt.Sprintf("--set=max_fds=%d", maxFDs),
		"--set=rollout_share=", "--set=rollout_slack=", "--set=rollout_rollback_ms=")
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	cmd, ended := n.cmd, n.ended
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(ended)
	}()
	return nil
}

// restart starts a node's process again: bootstrap is true only at the first start of the whole system.
func (w *world) restart(n *node) error {
	if err := w.writeSettings(n, false); err != nil {
		return err
	}
	return w.start(n)
}

// signal sends a signal to a node's process.
func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// end kills a node's process and waits for its end.
func (n *node) end() {
	if n.cmd == nil || n.ended == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// isReady reports whether a node says that it is ready.
func (n *node) isReady() bool {
	resp, err := http.Get("http://" + n.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady() error {
	for deadline := time.Now().Add(readyTime); ; time.Sleep(20 * time.Millisecond) {
		ready := true
		for _, n := range w.nodes {
			ready = ready && n.isReady()
		}
		if ready {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the gateways aren't ready after %v", readyTime)
		}
	}
}

// keepLogs copies the logs of the processes to the folder that STAND3_LOGS names, if it is set.
func (w *world) keepLogs() {
	to := os.Getenv("STAND3_LOGS")
	if to == "" {
		return
	}
	for _, n := range w.nodes {
		if data, err := os.ReadFile(filepath.Join(w.dir, n.name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(to, n.name+".log"), data, 0o600)
		}
	}
}

// cuttingStore is the project's stand-in of the store, which may cut waiting watches.
type cuttingStore struct {
	*platformtest.Store
	listener net.Listener
	server   *http.Server

	mu sync.Mutex
	// least and most bound the time for which a watch waits before it is cut; 0 means that none is.
	least, most time.Duration
	cuts        int
}

func newCuttingStore() (*cuttingStore, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &cuttingStore{Store: platformtest.NewStore(), listener: l}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *cuttingStore) addr() string { return s.listener.Addr().String() }

func (s *cuttingStore) close() {
	s.Store.Close()
	s.server.Close()
}

// cutWatches makes the store cut each watch that has waited for a time between two bounds.
func (s *cuttingStore) cutWatches(least, most time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.least, s.most = least, most
}

// patience returns after which time a watch is cut, and false if it isn't.
func (s *cuttingStore) patience() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.most == 0 {
		return 0, false
	}
	return s.least + rand.N(s.most-s.least+1), true
}

// cutCount returns the number of watches that were cut.
func (s *cuttingStore) cutCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts
}

// heldAnswer tells whether an answer was begun.
type heldAnswer struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (h *heldAnswer) WriteHeader(status int) {
	h.begun = true
	h.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (h *heldAnswer) Write(b []byte) (int, error) {
	h.begun = true
	return h.ResponseWriter.Write(b)
}

func (s *cuttingStore) serve(w http.ResponseWriter, r *http.Request) {
	patience, cuts := s.patience()
	if !cuts || !r.URL.Query().Has("watch") {
		s.ServeHTTP(w, r)
		return
	}
	ctx, cancel := contextWithTimeout(r, patience)
	defer cancel()
	held := &heldAnswer{ResponseWriter: w}
	s.ServeHTTP(held, r.WithContext(ctx))
	if !held.begun {
		s.mu.Lock()
		s.cuts++
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}
