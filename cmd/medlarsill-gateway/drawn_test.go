package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/platform/platformtest"
)

// Sizes of the soak that draws its disruptions.
const (
	drawnPlainClients, drawnStreamClients = 24, 40
	// drawnEvents is the number of events of a stream, and drawnEventGap the time between two.
	drawnEvents   = 24
	drawnEventGap = 100 * time.Millisecond
	drawnWork     = 60 * time.Millisecond
	// minStreamInterval is the least time between the beginnings of two streams of a client.
	minStreamInterval = 200 * time.Millisecond
	// afterDisruptions is how long the system is watched after the last disruption has begun.
	afterDisruptions = 8 * time.Second
)

// takeUpPauses are the times after which a stream that has broken off is taken up, one after the other.
var takeUpPauses = []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond}

// sentRequest is a request of a client.
type sentRequest struct {
	gateway int
	at      time.Time
}

// streamTally counts streams. Those that were taken up count if one of the tries was at a gateway in touch.
type streamTally struct {
	asked, begun, takenUp, wentOn int
	// mixed counts the streams with events of two versions, and wrong holds events out of order.
	mixed int
	wrong []string
}

// drawnSoak is a soak that plays a plan and judges the rules of the pages.
type drawnSoak struct {
	*soak
	t    *testing.T
	plan plan
	// building is held while an endpoint is made, and taking while one is chosen to be ended.
	building, taking sync.Mutex

	// The fields below are guarded by soak.mu.
	list         []*drawnEndpoint
	nextEndpoint int
	// disturbed holds the spans of time in which each gateway's processes were disturbed, and storeSpans those in
	// which the store was.
	disturbed  [soakGateways][]span
	storeSpans []span
	// passedOn holds when each gateway first passed on an answer of an endpoint that said that it leaves.
	passedOn   [soakGateways]map[string]time.Time
	sent       map[string]sentRequest
	tally      streamTally
	violations []string
	copies     []storeCopy
}

// storeCopy is a copy of the store at a time.
type storeCopy struct {
	at     time.Time
	copied platformtest.Snapshot
}

// newDrawnSoak starts a deployment for the first time.
func newDrawnSoak(t *testing.T, p plan) *drawnSoak {
	t.Helper()
	s := &drawnSoak{soak: newSoakWorld(t, p.Seed), t: t, plan: p, sent: make(map[string]sentRequest)}
	for n := range s.passedOn {
		s.passedOn[n] = make(map[string]time.Time)
	}
	s.firstStart = true
	for n := range soakEndpoints {
		s.addEndpoint(fmt.Sprint("v", 1+n%p.Versions))
	}
	s.configure(10)
	s.copyNow()
	go s.keepCopies()
	s.startGateways(t, soakGateways, os.Getenv("SOAK_PROGRAM"))
	return s
}

// keepCopies copies the store at intervals until the test ends.
func (s *drawnSoak) keepCopies() {
	for s.t.Context().Err() == nil {
		s.copyNow()
		time.Sleep(snapshotInterval)
	}
}

func (s *drawnSoak) copyNow() {
	c := storeCopy{time.Now(), s.store.Snapshot()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = append(s.copies, c)
}

// copyOf returns the copy that is at least as old as an age, or the oldest.
func (s *drawnSoak) copyOf(age time.Duration) platformtest.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.copies[0]
	for _, c := range s.copies {
		if time.Since(c.at) >= age {
			found = c
		}
	}
	return found.copied
}

// noteSent records that a client sends a request, and notePassed what a gateway passes on of an endpoint.
func (s *drawnSoak) noteSent(id string, gateway int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[id] = sentRequest{gateway, time.Now()}
}

func (s *drawnSoak) notePassed(gateway int, resp *http.Response) {
	if resp == nil {
		return
	}
	e, leaves := platformtest.LeavingRunner(resp.Header)
	if !leaves {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.passedOn[gateway][e]; !known {
		s.passedOn[gateway][e] = time.Now()
	}
}

// notingTransport notes what is sent to a gateway, and what that passes on.
type notingTransport struct {
	s       *drawnSoak
	gateway int
	base    http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t notingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.s.noteSent(platformtest.RequestID(r.Header), t.gateway)
	resp, err := t.base.RoundTrip(r)
	t.s.notePassed(t.gateway, resp)
	return resp, err
}

// clients returns a client for each gateway that keeps its connections.
func (s *drawnSoak) clients() (list []*http.Client, closeIdle func()) {
	base := &http.Transport{MaxIdleConnsPerHost: 2}
	for _, gw := range s.gateways {
		list = append(list, &http.Client{Transport: notingTransport{s, gw.index, base}, Timeout: soakDeadline + 4*time.Second})
	}
	return list, base.CloseIdleConnections
}

// sendPlain sends requests that aren't streams over kept connections until stop is closed.
func (s *drawnSoak) sendPlain(n int, stop chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(n), s.plan.Seed))
	clients, closeIdle := s.clients()
	defer closeIdle()
	for i := 0; ; i++ {
		pause := time.Duration(random.IntN(60)) * time.Millisecond
		if s.plan.WaveMS > 0 {
			wave := time.Duration(s.plan.WaveMS) * time.Millisecond
			pause = wave - time.Since(s.readyAt)%wave
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		gw := s.gateways[random.IntN(len(s.gateways))]
		a := s.request(clients[gw.index], gw, kinds[random.IntN(2)], fmt.Sprintf("r-%d-%d", n, i))
		s.mu.Lock()
		s.answers = append(s.answers, a)
		s.mu.Unlock()
	}
}

// sendStreams asks for streams one after the other, and takes up those that break off.
func (s *drawnSoak) sendStreams(n int, stop chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(n), s.plan.Seed+1))
	clients, closeIdle := s.clients()
	defer closeIdle()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		began := time.Now()
		s.stream(clients, random, fmt.Sprintf("s-%d-%d", n, i))
		time.Sleep(minStreamInterval - time.Since(began))
	}
}

// clientStream is a stream as its client sees it.
type clientStream struct {
	id string
	// last is the last event that the client has, and versions holds those that wrote events.
	last     int
	versions map[string]bool
}

func (c *clientStream) isWhole() bool { return c.last == drawnEvents }

// stream asks for one stream, and takes it up if it breaks off.
func (s *drawnSoak) stream(clients []*http.Client, random *rand.Rand, id string) {
	c := &clientStream{id: id, versions: make(map[string]bool)}
	gateway := random.IntN(len(clients))
	s.tryStream(clients[gateway], gateway, c, 0)
	begun := c.last > 0
	counts, wentOn := false, false
	for n := 0; begun && !c.isWhole() && !wentOn && n < len(takeUpPauses); n++ {
		time.Sleep(takeUpPauses[n])
		gateway = (gateway + 1) % len(clients)
		counts = s.isInTouch(gateway) || counts
		before := c.last
		s.tryStream(clients[gateway], gateway, c, n+1)
		wentOn = c.last > before
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally.asked++
	s.tally.count(&s.tally.begun, begun)
	s.tally.count(&s.tally.takenUp, counts || wentOn)
	s.tally.count(&s.tally.wentOn, wentOn)
	s.tally.count(&s.tally.mixed, len(c.versions) > 1)
}

func (t *streamTally) count(what *int, holds bool) {
	if holds {
		*what++
	}
}

func (s *drawnSoak) isInTouch(gateway int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inTouch(gateway, time.Now())
}

// tryStream makes the n-th try for a stream, from 0, and adds the events that it brings.
func (s *drawnSoak) tryStream(client *http.Client, gateway int, c *clientStream, n int) {
	id := c.id
	if n > 0 {
		id = fmt.Sprintf("%s-%d", c.id, n)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+s.gateways[gateway].settings.Listen+platformtest.StreamPath+"x", strings.NewReader("{}"))
	if err != nil {
		return
	}
	req.GetBody = nil
	req.Host = "a.example"
	req.Header = platformtest.Headers(id, soakDeadline)
	if n > 0 {
		req.Header = platformtest.ResumeHeaders(id, soakDeadline, c.id, c.last)
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return
	}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		event, isEvent := strings.CutPrefix(lines.Text(), "data: event ")
		if isEvent && !s.addEvent(c, event) {
			return
		}
	}
}

// addEvent adds an event, given its number and the version that wrote it, unless it is out of order.
func (s *drawnSoak) addEvent(c *clientStream, event string) bool {
	number, version, _ := strings.Cut(event, " ")
	if number != strconv.Itoa(c.last+1) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tally.wrong = append(s.tally.wrong, fmt.Sprintf("event %s of %s after event %d", number, c.id, c.last))
		return false
	}
	c.last++
	c.versions[version] = true
	return true
}

// play plays the plan and returns the broken rules.
func (s *drawnSoak) play() []string {
	stop := make(chan struct{})
	var clients, running sync.WaitGroup
	for n := range drawnPlainClients {
		clients.Go(func() { s.sendPlain(n, stop) })
	}
	for n := range drawnStreamClients {
		clients.Go(func() { s.sendStreams(n, stop) })
	}
	at := func(d time.Duration) { time.Sleep(time.Until(s.readyAt.Add(d))) }
	running.Go(func() { s.enterPhase(at) })
	for _, d := range s.plan.Disruptions {
		running.Go(func() {
			at(time.Duration(d.AtMS) * time.Millisecond)
			injectors[d.Injector](s, d)
		})
	}
	at(s.plan.end() + afterDisruptions)
	running.Wait()
	close(stop)
	clients.Wait()
	return s.judge()
}

// enterPhase brings the system into the plan's phase.
func (s *drawnSoak) enterPhase(at func(time.Duration)) {
	switch s.plan.Phase {
	case recovery:
		at(s.plan.Phase.begin() - 1500*time.Millisecond)
		s.killAll(disruption{Dose: 0.5})
	case plannedStop:
		at(s.plan.Phase.begin() - 300*time.Millisecond)
		s.stopOne(disruption{Dose: 0.5, Target: int(s.plan.Seed)})
	case firstStart, steady:
	}
}

// Guards against orders of events that nobody has thought of: the rules of the pages are judged while
// disruptions that are drawn from the pages overlap. SEED draws the plan, SOAK_PLAN gives one instead,
// SOAK_REDUCE=1 reduces one that fails, and SOAK_PROGRAM names the program. docs/SOAK.md.
func TestSoak_DrawnDisruptions(t *testing.T) {
	p := drawPlan(soakSeed())
	if given := os.Getenv("SOAK_PLAN"); given != "" {
		p = plan{}
		NewWithT(t).Expect(json.Unmarshal([]byte(given), &p)).To(Succeed())
	}
	t.Logf("plan: %s", p)
	for _, m := range p.meetings() {
		t.Logf("met: %s", m)
	}
	s := newDrawnSoak(t, p)
	violations := s.play()
	t.Logf("%d requests, streams: %+v", len(s.answers), s.tally)
	if len(violations) == 0 {
		return
	}
	s.keepLogs(t)
	if os.Getenv("SOAK_REDUCE") != "" {
		t.Logf("reduced plan: %s", reduce(p, rerun))
	}
	t.Errorf("%d broken rules, the first: %s", len(violations), strings.Join(violations[:min(5, len(violations))], "\n"))
}

// reduce returns a smaller plan that still fails in two of three runs, as long as there is one.
func reduce(p plan, fails func(p plan) bool) plan {
	for tried := 0; tried < len(p.smaller()); {
		next := p.smaller()[tried]
		if fails(next) {
			p, tried = next, 0
			continue
		}
		tried++
	}
	return p
}

// rerun plays a plan three times side by side and reports whether it failed in two.
func rerun(p plan) bool {
	failed := make([]bool, 3)
	var runs sync.WaitGroup
	for i := range failed {
		runs.Go(func() {
			cmd := exec.Command(os.Args[0], "-test.run=^TestSoak_DrawnDisruptions$")
			cmd.Env = append(os.Environ(), "SOAK_PLAN="+p.String(), "SOAK_REDUCE=")
			failed[i] = cmd.Run() != nil
		})
	}
	runs.Wait()
	count := 0
	for _, f := range failed {
		if f {
			count++
		}
	}
	return count >= 2
}
