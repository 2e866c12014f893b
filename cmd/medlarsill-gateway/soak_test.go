package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/tailscale/hujson"

	"github.com/medlarsill/medlarsill/pkg/settings"
	"github.com/medlarsill/medlarsill/pkg/silentsocket"
	"github.com/medlarsill/medlarsill/platform"
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
	g         *WithT
	dir       string
	network   string
	random    *rand.Rand
	store     *platformtest.Store
	cloud     *platformtest.Cloud
	endpoints []*soakEndpoint
	gateways  []*soakGateway
	version   int

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
	id    string
	links []*soakLink
}

// soakLink is the link of one gateway to one endpoint.
type soakLink struct {
	*recordingListener
	server *http.Server
}

// soakGateway is one gateway process, started again after each end.
type soakGateway struct {
	index int
	// program is the file that the next process is started from.
	program  string
	settings settings.Gateway
	file     string
	view     *httptest.Server

	// up is true from the first readiness of a process until its end.
	up atomic.Bool

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended, and stopped is true if that was wanted.
	ended   chan struct{}
	stopped bool
	// broken holds the spans of time in which the process was killed or its links changed.
	broken [][2]time.Time
	// cuts holds the spans of time in which the gateway reaches no endpoint, with some slack.
	cuts  [][2]time.Time
	crash string
}

// recordingListener keeps the connections that it accepts, and can make their kernel drop all.
type recordingListener struct {
	*net.TCPListener

	mu     sync.Mutex
	conns  map[*net.TCPConn]bool
	silent bool
	reset  bool
}

// Accept implements net.Listener.
func (l *recordingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		if l.reset {
			l.mu.Unlock()
			_ = c.SetLinger(0)
			c.Close()
			continue
		}
		l.conns[c] = true
		silent := l.silent
		l.mu.Unlock()
		if silent {
			setSilent(c, true)
		}
		return c, nil
	}
}

// setSilent makes a socket silent, or ends that. One that is closed meanwhile needs neither.
func setSilent(c syscall.Conn, silent bool) {
	if silent {
		_ = silentsocket.Begin(c)
		return
	}
	_ = silentsocket.End(c)
}

// silence makes the listener and its connections silent, or ends that.
func (l *recordingListener) silence(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
	setSilent(l.TCPListener, silent)
	for c := range l.conns {
		setSilent(c, silent)
	}
}

// refuse resets the connections and all new ones, or ends that.
func (l *recordingListener) refuse(reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset = reset
	if !reset {
		return
	}
	for c := range l.conns {
		_ = c.SetLinger(0)
		c.Close()
	}
	clear(l.conns)
}

// newSoak starts a number of gateways from a program; "" stands for this commit's.
func newSoak(t *testing.T, seed uint64, gateways int, program string) *soak {
	t.Helper()
	s := &soak{
		g: NewWithT(t), dir: t.TempDir(), random: rand.New(rand.NewPCG(seed, 46)), store: platformtest.NewStore(), cloud: platformtest.NewCloud(), runs: make(map[string]int),
		// A network of its own on the loopback interface, so that ports are free.
		network: fmt.Sprintf("127.%d.%d", 64+os.Getpid()/250%128, 1+os.Getpid()%250),
	}
	t.Cleanup(s.store.Close)
	t.Cleanup(s.cloud.Close)
	if program == "" {
		program = s.build()
	}
	for n := range soakEndpoints {
		s.endpoints = append(s.endpoints, s.newEndpoint(t, fmt.Sprintf("i-%d", n), gateways))
	}
	s.configure(10)
	for n := range gateways {
		gw := s.newGateway(t, n)
		gw.program = program
		s.gateways = append(s.gateways, gw)
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
	return s
}

// build builds this commit's program and returns its file.
func (s *soak) build() string {
	program := filepath.Join(s.dir, "medlarsill-gateway")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	s.g.Expect(err).NotTo(HaveOccurred(), string(out))
	return program
}

// newEndpoint starts an endpoint, with links of a number of gateways, and registers it.
func (s *soak) newEndpoint(t *testing.T, id string, gateways int) *soakEndpoint {
	t.Helper()
	e := &soakEndpoint{id: id}
	for range gateways {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		s.g.Expect(err).NotTo(HaveOccurred())
		link := &soakLink{recordingListener: &recordingListener{TCPListener: l.(*net.TCPListener), conns: make(map[*net.TCPConn]bool)}}
		link.server = &http.Server{Handler: platformtest.Runner{ID: id, Began: s.began}}
		go func() { _ = link.server.Serve(link.recordingListener) }()
		t.Cleanup(func() { link.server.Close() })
		e.links = append(e.links, link)
	}
	s.store.Put("servers", id, platformtest.RunnerRegistration(e.links[0].Addr().String()))
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
	s.version++
	s.store.Put("config", "main", platformtest.ConfigOfAllKinds(s.version, routes, soakDeadline))
}

// newGateway returns a gateway that reaches the endpoints over links of its own.
func (s *soak) newGateway(t *testing.T, n int) *soakGateway {
	t.Helper()
	gw := &soakGateway{index: n, file: filepath.Join(s.dir, fmt.Sprintf("gw-%d.json", n))}
	gw.view = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serveView(n, w, r) }))
	t.Cleanup(gw.view.CloseClientConnections)
	ip := fmt.Sprintf("%s.%d", s.network, n+1)
	gw.settings = settings.Gateway{
		ID: fmt.Sprintf("gw-%d", n), DataCentre: "dc-a", Listen: ip + ":8221", ReadyListen: ip + ":8224", MetricsListen: ip + ":8229", IP: ip, PeerPort: 7600,
		ObjectAPI: strings.TrimPrefix(gw.view.URL, "http://"), CloudAPI: s.cloud.Addr(), Duties: []string{"usage", "autoscale"}, MemoryMB: 256, StopGraceS: 8, LeaseMS: 900,
		RetryShare: 0.2, RetryExtra: 50, AllowanceOver: 0.1, AllowanceSlack: 10000, UsageWindowS: 1, Log: settings.Log{Format: "json", Level: "info"},
	}
	return gw
}

// serveView answers a gateway's call to the store, with the addresses of its own links.
func (s *soak) serveView(n int, w http.ResponseWriter, r *http.Request) {
	rec := httptest.NewRecorder()
	s.store.ServeHTTP(rec, r)
	body := rec.Body.String()
	for _, e := range s.endpoints {
		body = strings.ReplaceAll(body, strconv.Quote(e.links[0].Addr().String()), strconv.Quote(e.links[n].Addr().String()))
	}
	for name, values := range rec.Header() {
		w.Header()[name] = values
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(rec.Code)
	_, _ = io.WriteString(w, body)
}

// start starts a gateway's process.
func (s *soak) start(gw *soakGateway) {
	s.g.Expect(os.WriteFile(gw.file, s.settingsFor(gw), 0o600)).To(Succeed())
	log, err := os.OpenFile(gw.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.g.Expect(err).NotTo(HaveOccurred())
	cmd := exec.Command(gw.program, "--settings", gw.file)
	cmd.Stdout, cmd.Stderr = log, log
	s.g.Expect(cmd.Start()).To(Succeed())
	ended := make(chan struct{})
	gw.mu.Lock()
	gw.cmd, gw.ended, gw.stopped = cmd, ended, false
	gw.mu.Unlock()
	go func() {
		err := cmd.Wait()
		log.Close()
		gw.mu.Lock()
		if !gw.stopped {
			gw.crash = fmt.Sprintf("%s ended by itself: %v", gw.settings.ID, err)
		}
		gw.mu.Unlock()
		close(ended)
	}()
}

// settingsFor returns a gateway's settings, but for those that its program doesn't know: each
// commit is deployed with a template of its own.
func (s *soak) settingsFor(gw *soakGateway) []byte {
	defaults, err := exec.Command(gw.program, "--print-defaults").Output()
	s.g.Expect(err).NotTo(HaveOccurred())
	defaults, err = hujson.Standardize(defaults)
	s.g.Expect(err).NotTo(HaveOccurred())
	var known, values map[string]json.RawMessage
	s.g.Expect(json.Unmarshal(defaults, &known)).To(Succeed())
	data, err := json.Marshal(gw.settings)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(json.Unmarshal(data, &values)).To(Succeed())
	maps.DeleteFunc(values, func(name string, _ json.RawMessage) bool { return known[name] == nil })
	data, err = json.Marshal(values)
	s.g.Expect(err).NotTo(HaveOccurred())
	return data
}

// end sends a signal that ends the process, and waits for its end.
func (gw *soakGateway) end(signal syscall.Signal) {
	gw.mu.Lock()
	gw.stopped = true
	cmd, ended := gw.cmd, gw.ended
	gw.mu.Unlock()
	if cmd == nil {
		return
	}
	// The process may have ended already.
	_ = cmd.Process.Signal(signal)
	<-ended
}

func (gw *soakGateway) signal(signal syscall.Signal) {
	gw.mu.Lock()
	defer gw.mu.Unlock()
	_ = gw.cmd.Process.Signal(signal)
}

// breakOff does something by which requests under way may break off, and records when.
func (gw *soakGateway) breakOff(do func()) {
	begin := time.Now()
	do()
	gw.mu.Lock()
	defer gw.mu.Unlock()
	gw.broken = append(gw.broken, [2]time.Time{begin, time.Now()})
}

// cutBetween reports whether the gateway was cut off from the endpoints in a span of time.
func (gw *soakGateway) cutBetween(from, to time.Time) bool {
	gw.mu.Lock()
	defer gw.mu.Unlock()
	return slices.ContainsFunc(gw.cuts, func(c [2]time.Time) bool { return c[0].Before(to) && c[1].After(from) })
}

// excused reports whether an answer may be missing: its deadline had passed; the gateway was
// killed, or its links changed, meanwhile; or it was cut off, and another one that may have carried
// the request was.
func (s *soak) excused(a soakAnswer) bool {
	if a.ended.Sub(a.sent) >= soakDeadline {
		return true
	}
	gw := s.gateways[a.gateway]
	if gw.brokenBetween(a.sent, a.ended) {
		return true
	}
	return gw.cutBetween(a.sent, a.ended) && slices.ContainsFunc(s.gateways, func(o *soakGateway) bool { return o.brokenBetween(a.sent, a.ended) })
}

// brokenBetween reports whether the process was killed or its links changed in a span of time.
func (gw *soakGateway) brokenBetween(from, to time.Time) bool {
	gw.mu.Lock()
	defer gw.mu.Unlock()
	return slices.ContainsFunc(gw.broken, func(b [2]time.Time) bool { return b[0].Before(to) && b[1].After(from) })
}

func (gw *soakGateway) ready() bool {
	resp, err := http.Get("http://" + gw.settings.ReadyListen + platform.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the process is ready.
func (gw *soakGateway) awaitReady() {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if gw.ready() {
			gw.up.Store(true)
			return
		}
	}
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
