package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/platform/platformtest"
)

// Sizes of the soak. SOAK_S sets the time in seconds in which faults begin; CI plays the default.
const (
	soakGateways  = 4
	soakEndpoints = 6
	soakClients   = 24
	defaultSoak   = 12 * time.Second
	// soakDeadline is the time that clients wait for an answer.
	soakDeadline = 8 * time.Second
)

// soak is a deployment of real gateway processes before endpoints that can be silent or cut off
// from one gateway, with clients that keep their connections.
type soak struct {
	g       *WithT
	dir     string
	network string
	random  *rand.Rand
	store   *platformtest.Store
	cloud   *platformtest.Cloud
	// handler returns the handler of an endpoint for the link of a gateway; nil stands for a Runner.
	handler   func(e *soakEndpoint, gateway int) http.Handler
	endpoints []*soakEndpoint
	gateways  []*soakGateway
	version   int
	// firstStart is true if the gateways' first processes are those of the first start of the whole system,
	// and readyAt is when these were ready.
	firstStart bool
	readyAt    time.Time

	mu sync.Mutex
	// runs counts by request how often endpoints began to run it.
	runs    map[string]int
	answers []soakAnswer
	faults  []string
}

// soakAnswer is what a client got for one request.
type soakAnswer struct {
	id, kind string
	gateway  int
	sent     time.Time
	ended    time.Time
	status   int
	whole    bool
	err      error
}

// soakEndpoint is an endpoint with one listener for each gateway.
type soakEndpoint struct {
	id, version string
	links       []*soakLink
	// runs is the number of requests that began to run there.
	runs atomic.Int64
}

// soakLink is the link of one gateway to one endpoint.
type soakLink struct {
	*recordingListener
	server *http.Server
}

// newSoak starts a number of gateways from a program; "" stands for this commit's.
func newSoak(t *testing.T, seed uint64, gateways int, program string) *soak {
	t.Helper()
	s := newSoakWorld(t, seed)
	for n := range soakEndpoints {
		s.endpoints = append(s.endpoints, s.newEndpoint(t, fmt.Sprintf("i-%d", n), "v1", gateways, nil))
		s.register(s.endpoints[n])
	}
	s.configure(10)
	s.startGateways(t, gateways, program)
	return s
}

// newSoakWorld returns a store and a cloud API without endpoints and gateways.
func newSoakWorld(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{
		g: NewWithT(t), dir: t.TempDir(), random: rand.New(rand.NewPCG(seed, 46)), store: platformtest.NewStore(), cloud: platformtest.NewCloud(), runs: make(map[string]int),
		// A network of its own on the loopback interface, so that ports are free.
		network: fmt.Sprintf("127.%d.%d", 64+os.Getpid()/250%128, 1+os.Getpid()%250),
	}
	t.Cleanup(s.store.Close)
	t.Cleanup(s.cloud.Close)
	return s
}

// startGateways starts a number of gateways from a program; "" stands for this commit's. It returns once
// they are ready.
func (s *soak) startGateways(t *testing.T, count int, program string) {
	t.Helper()
	if program == "" {
		program = s.build()
	}
	for n := range count {
		gw := s.newGateway(t, n)
		gw.program = program
		s.mu.Lock()
		s.gateways = append(s.gateways, gw)
		s.mu.Unlock()
		s.start(gw)
	}
	t.Cleanup(func() {
		for _, gw := range s.gateways {
			gw.end(syscall.SIGKILL)
		}
	})
	for _, gw := range s.gateways {
		gw.awaitReady()
		s.g.Expect(gw.up.Load()).To(BeTrue(), "%s is not ready", gw.settings.ID)
	}
	s.readyAt = time.Now()
}

// build builds this commit's program and returns its file.
func (s *soak) build() string {
	program := filepath.Join(s.dir, "medlarsill-gateway")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	s.g.Expect(err).NotTo(HaveOccurred(), string(out))
	return program
}

// register registers an endpoint.
func (s *soak) register(e *soakEndpoint) {
	s.store.Put("servers", e.id, platformtest.RunnerRegistration(e.links[0].Addr().String(), e.version))
}

// newEndpoint starts an endpoint with links of a number of gateways.
func (s *soak) newEndpoint(t *testing.T, id, version string, gateways int, fails func() bool) *soakEndpoint {
	t.Helper()
	e := &soakEndpoint{id: id, version: version}
	began := func(id string) {
		e.runs.Add(1)
		s.began(id)
	}
	for gateway := range gateways {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		s.g.Expect(err).NotTo(HaveOccurred())
		link := &soakLink{recordingListener: &recordingListener{TCPListener: l.(*net.TCPListener), conns: make(map[*net.TCPConn]bool)}}
		link.server = &http.Server{Handler: platformtest.Runner{ID: id, Began: began, Fails: fails}}
		if s.handler != nil {
			link.server.Handler = s.handler(e, gateway)
		}
		go func() { _ = link.server.Serve(link.recordingListener) }()
		t.Cleanup(func() { link.server.Close() })
		e.links = append(e.links, link)
	}
	return e
}

// began counts a run of a request.
func (s *soak) began(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

// configure writes the next version of the configuration, with a number of further routes.
func (s *soak) configure(routes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store.Put("config", "main", platformtest.ConfigOfAllKinds(s.version, routes, soakDeadline))
}

// kinds holds the first part of the paths of the clients' requests.
var kinds = []string{platformtest.PlainPath, platformtest.OncePath, platformtest.StreamPath}

// client sends requests over kept connections until stop is closed.
func (s *soak) client(n int, stop chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(n), 7))
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	c := &http.Client{Transport: transport, Timeout: soakDeadline + 4*time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		gw := s.gateways[random.IntN(len(s.gateways))]
		a := s.request(c, gw, kinds[random.IntN(len(kinds))], fmt.Sprintf("r-%d-%d", n, i))
		s.mu.Lock()
		s.answers = append(s.answers, a)
		s.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// request sends one request and reads its answer.
func (s *soak) request(c *http.Client, gw *soakGateway, kind, id string) soakAnswer {
	a := soakAnswer{id: id, kind: kind, gateway: gw.index, sent: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+gw.settings.Listen+kind+"x", strings.NewReader("body of "+id))
	if err != nil {
		a.err = err
		return a
	}
	// Without it the client doesn't send a request again by itself.
	req.GetBody = nil
	req.Host = "a.example"
	req.Header = platformtest.Headers(id, soakDeadline)
	resp, err := c.Do(req)
	if err == nil {
		defer resp.Body.Close()
		a.status = resp.StatusCode
		var body []byte
		body, err = io.ReadAll(resp.Body)
		a.whole = err == nil && string(body) == platformtest.RunnerAnswer(kind, id)
	}
	a.err, a.ended = err, time.Now()
	return a
}

// fault begins one fault, which ends by itself. It returns once the next one may begin.
func (s *soak) fault(running *sync.WaitGroup, busy *atomic.Int32) {
	gw := s.gateways[s.random.IntN(len(s.gateways))]
	e := s.endpoints[s.random.IntN(len(s.endpoints))]
	length := time.Duration(300+s.random.IntN(1500)) * time.Millisecond
	kind := s.random.IntN(9)
	s.faults = append(s.faults, fmt.Sprintf("%s kind %d at %s or %s for %v", time.Now().UTC().Format(time.TimeOnly+".000"), kind, gw.settings.ID, e.id, length))
	switch kind {
	case 0:
		s.configure(10)
	case 1:
		s.configure(1500)
	case 2:
		// A signal in the first moments of a process, before its program runs, ends it.
		if gw.up.Load() {
			gw.signal(syscall.SIGHUP)
		}
	case 3, 4:
		signal := syscall.SIGTERM
		if kind == 4 {
			signal = syscall.SIGKILL
		}
		// At least one process of two runs all the while.
		if busy.Add(1) > int32(len(s.gateways)/2) || !gw.up.CompareAndSwap(true, false) {
			busy.Add(-1)
			return
		}
		running.Go(func() {
			defer busy.Add(-1)
			s.restart(gw, signal)
		})
	case 5:
		running.Go(func() { s.silenceEndpoints(1300*time.Millisecond, e) })
	case 6:
		running.Go(func() { s.silenceEndpoints(1300*time.Millisecond, s.endpoints...) })
	case 7:
		running.Go(func() { s.cut(gw, length+2*time.Second, (*recordingListener).silence) })
	case 8:
		running.Go(func() { s.cut(gw, length+2*time.Second, (*recordingListener).refuse) })
	}
}

// restart ends a gateway's process by a signal and starts the next one. The caller has set up to
// false.
func (s *soak) restart(gw *soakGateway, signal syscall.Signal) {
	if signal == syscall.SIGKILL {
		gw.breakOff(func() { gw.end(signal) })
	} else {
		gw.end(signal)
	}
	s.start(gw)
	gw.awaitReady()
}

// silenceEndpoints makes endpoints silent for a time.
func (s *soak) silenceEndpoints(length time.Duration, list ...*soakEndpoint) {
	for _, silent := range []bool{true, false} {
		for _, e := range list {
			for _, l := range e.links {
				l.silence(silent)
			}
		}
		if silent {
			time.Sleep(length)
		}
	}
}

// cut cuts a gateway off from all endpoints for a time.
func (s *soak) cut(gw *soakGateway, length time.Duration, fail func(*recordingListener, bool)) {
	gw.mu.Lock()
	gw.cuts = append(gw.cuts, [2]time.Time{time.Now(), time.Now().Add(length + time.Second)})
	gw.mu.Unlock()
	for _, failing := range []bool{true, false} {
		gw.breakOff(func() {
			for _, e := range s.endpoints {
				fail(e.links[gw.index].recordingListener, failing)
			}
		})
		if failing {
			time.Sleep(length)
		}
	}
}

// Checks real processes under faults that come in series and overlap: signals, changes of the
// configuration, endpoints that are silent, instances that are cut off from all endpoints. Nothing
// that may run once runs twice, nothing refused has run, each success is the whole answer to its
// own request, nothing that ran ends without an answer before its deadline unless its instance was
// killed or cut off, no process ends by itself, and everything is served again afterwards.
func TestSoak_FaultsInSeries(t *testing.T) {
	s := newSoak(t, soakSeed(), soakGateways, "")
	s.run(t, soakLength(), func() {})
	s.checkServing()
	s.check(t)
}

// soakLength returns the time in which faults begin.
func soakLength() time.Duration {
	if n, err := strconv.Atoi(os.Getenv("SOAK_S")); err == nil {
		return time.Duration(n) * time.Second
	}
	return defaultSoak
}

// run has clients send requests while faults begin for a time and something else is done.
func (s *soak) run(t *testing.T, length time.Duration, meanwhile func()) {
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("faults:\n%s", strings.Join(s.faults, "\n"))
			s.keepLogs(t)
		}
	})
	stop := make(chan struct{})
	var clients, running sync.WaitGroup
	for n := range soakClients {
		clients.Go(func() { s.client(n, stop) })
	}
	running.Go(meanwhile)
	var busy atomic.Int32
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.fault(&running, &busy)
		time.Sleep(time.Duration(s.random.IntN(700)) * time.Millisecond)
	}
	running.Wait()
	close(stop)
	clients.Wait()
}

// keepLogs copies the processes' logs to the folder that SOAK_LOGS names, if it is set.
func (s *soak) keepLogs(t *testing.T) {
	to := os.Getenv("SOAK_LOGS")
	if to == "" {
		return
	}
	for _, gw := range s.gateways {
		data, err := os.ReadFile(gw.file + ".log")
		if err == nil {
			err = os.WriteFile(filepath.Join(to, gw.settings.ID+".log"), data, 0o600)
		}
		if err != nil {
			t.Logf("log of %s not kept: %v", gw.settings.ID, err)
		}
	}
}

// String describes the answer.
func (a soakAnswer) String() string {
	return fmt.Sprintf("%s (%s) at gw-%d, %s to %s: status %d, whole %t, error %v", a.id, a.kind, a.gateway,
		a.sent.UTC().Format(time.TimeOnly+".000"), a.ended.UTC().Format(time.TimeOnly+".000"), a.status, a.whole, a.err)
}

// soakSeed returns the seed of the environment, or 1.
func soakSeed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

// checkServing checks that every gateway serves every kind of request after the faults.
func (s *soak) checkServing() {
	for _, gw := range s.gateways {
		for _, kind := range kinds {
			n := 0
			s.g.Eventually(func() bool {
				n++
				return s.request(http.DefaultClient, gw, kind, fmt.Sprintf("after-%s-%s-%d", gw.settings.ID, kind, n)).whole
			}, waitTimeout).Should(BeTrue(), "%s at %s", kind, gw.settings.ID)
		}
	}
}

// check checks what holds for all answers.
func (s *soak) check(t *testing.T) {
	g := s.g
	counts := make(map[string]int)
	for _, a := range s.answers {
		runs := s.runs[a.id]
		counts[fmt.Sprintf("%s %d whole=%t", a.kind, a.status, a.whole)]++
		if a.kind == platformtest.OncePath {
			g.Expect(runs).To(BeNumerically("<=", 1), "%v", a)
		}
		switch a.status {
		case http.StatusOK:
			g.Expect(a.whole || a.err != nil && s.excused(a)).To(BeTrue(), "a success that isn't whole: %v", a)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if a.kind == platformtest.OncePath {
				g.Expect(runs).To(BeZero(), "refused, but ran: %v", a)
			}
		case 0:
			g.Expect(runs == 0 || s.excused(a) || errors.Is(a.err, syscall.ECONNREFUSED)).To(BeTrue(), "ran, and ended without an answer: %v", a)
		}
	}
	for _, gw := range s.gateways {
		gw.mu.Lock()
		g.Expect(gw.crash).To(BeEmpty())
		gw.mu.Unlock()
	}
	t.Logf("%d requests, %d faults: %v", len(s.answers), len(s.faults), counts)
}
