package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
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
	"github.com/medlarsill/medlarsill/platform"
)

// soakGateway is one gateway process, started again after each end.
type soakGateway struct {
	index int
	// program is the file that the next process is started from.
	program  string
	settings settings.Gateway
	file     string
	view     *httptest.Server

	// storeRefuses is the status with which the store refuses the gateway's calls; 0 for none.
	storeRefuses atomic.Int32
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

// newGateway returns a gateway that reaches the endpoints over links of its own.
func (s *soak) newGateway(t *testing.T, n int) *soakGateway {
	t.Helper()
	gw := &soakGateway{index: n, file: filepath.Join(s.dir, fmt.Sprintf("gw-%d.json", n))}
	gw.view = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serveView(n, w, r) }))
	t.Cleanup(gw.view.CloseClientConnections)
	ip := fmt.Sprintf("%s.%d", s.network, n+1)
	gw.settings = settings.Gateway{
		ID: fmt.Sprintf("gw-%d", n), DataCentre: fmt.Sprint("dc-", n%2), GossipByDataCentre: true, Listen: ip + ":8221", ReadyListen: ip + ":8224", MetricsListen: ip + ":8229", IP: ip, PeerPort: 7600,
		ObjectAPI: strings.TrimPrefix(gw.view.URL, "http://"), CloudAPI: s.cloud.Addr(), Duties: []string{"usage", "autoscale"}, MemoryMB: 256, StopGraceS: 8, LeaseMS: 900,
		RetryShare: 0.2, RetryExtra: 50, AllowanceOver: 0.1, AllowanceSlack: 10000, UsageWindowS: 1, EndpointSpeeds: true, KVFetch: true, SplitPrompts: true, FairWorkspaces: true,
		RolloutShare: 0.1, RolloutSlack: 50, RolloutRollbackMS: 5000, FirstStart: s.firstStart, Log: settings.Log{Format: "json", Level: "info"},
	}
	return gw
}

// serveView answers a gateway's call to the store, with the addresses of its own links.
func (s *soak) serveView(n int, w http.ResponseWriter, r *http.Request) {
	if status := s.storeRefusal(n); status != 0 {
		w.WriteHeader(status)
		return
	}
	rec := httptest.NewRecorder()
	s.store.ServeHTTP(rec, r)
	body := rec.Body.String()
	s.mu.Lock()
	list := slices.Clone(s.endpoints)
	s.mu.Unlock()
	for _, e := range list {
		body = strings.ReplaceAll(body, strconv.Quote(e.links[0].Addr().String()), strconv.Quote(e.links[n].Addr().String()))
	}
	for name, values := range rec.Header() {
		w.Header()[name] = values
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(rec.Code)
	_, _ = io.WriteString(w, body)
}

// storeRefusal returns the status with which the store refuses a gateway's calls; 0 for none.
func (s *soak) storeRefusal(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n >= len(s.gateways) {
		return 0
	}
	return int(s.gateways[n].storeRefuses.Load())
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
	gw.settings.FirstStart = false // of the next process
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
