package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A stream has streamEvents events, one each eventGap.
const (
	streamEvents = 12
	eventGap     = 100 * time.Millisecond
)

// Times of upgradeInPlace.
const (
	// storeCut is for how long one instance is partitioned from the store; the small sites have 4
	// to 5.5 s.
	storeCut = 5500 * time.Millisecond
	// firstRestart and secondRestart are the times from the beginning of the cut at which two
	// servers are stopped, and restartTime that until each is back.
	firstRestart  = 100 * time.Millisecond
	secondRestart = 5000 * time.Millisecond
	restartTime   = 500 * time.Millisecond
	// fleet is the number of servers, and streams and otherStreams the numbers of streams at a time
	// at the two instances: the balancer spreads callers unevenly.
	fleet, streams, otherStreams = 3, 40, 4
	// permittedStreams is the number of streams that may hold events of two versions.
	permittedStreams = 2
)

// upgradeInPlace restarts two servers in turn with another version of their software, under their
// ids, while one instance is partitioned from the store. Rule ORDER.
func upgradeInPlace(d *deployment, trouble bool) ([]string, error) {
	for _, zone := range []string{"dc-a", "dc-b"} {
		if _, err := d.addGateway(zone); err != nil {
			return nil, err
		}
	}
	var servers []*server
	for i := range fleet {
		s, err := d.newServer(fmt.Sprintf("i-%d", i), []string{"dc-a", "dc-b"}[i%2])
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	d.setConfig("streams")
	if err := d.startAll(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mixed mixedStreams
	for i, g := range d.gateways {
		for n := range []int{streams, otherStreams}[i] {
			callers.Go(func() { g.streamUntil(stop, n, &mixed) })
		}
	}
	time.Sleep(steady + contactTime)
	if trouble {
		d.note("%s is partitioned from the store", d.gateways[0].name)
		d.gateways[0].storeLink.setCut(true)
	}
	began := time.Now()
	for i, at := range []time.Duration{firstRestart, secondRestart} {
		time.Sleep(time.Until(began.Add(at)))
		servers[i].upgrade("v2")
	}
	time.Sleep(time.Until(began.Add(storeCut)))
	if trouble {
		d.gateways[0].storeLink.setCut(false)
		d.note("%s reaches the store again", d.gateways[0].name)
	}
	time.Sleep(steady)
	close(stop)
	callers.Wait()
	if len(mixed.list) > permittedStreams {
		return []string{fmt.Sprintf("%d streams hold events of servers of two software versions in one answer; the first: %s", len(mixed.list), mixed.list[0])}, nil
	}
	return nil, nil
}

// upgrade stops a server and starts it again with another version under its id.
func (s *server) upgrade(version string) {
	s.d.note("server %s is stopped, to start again with version %s", s.id, version)
	s.crash()
	time.AfterFunc(restartTime, func() {
		s.mu.Lock()
		s.version = version
		s.mu.Unlock()
		if err := s.listen(s.addr); err != nil {
			s.d.note("server %s can't start again: %v", s.id, err)
			return
		}
		s.register()
		s.d.note("server %s is back with version %s, and its entry says so", s.id, version)
	})
}

// stream writes the events after the request's last one.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	last := 0
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		last = n
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s of %s\n\n", n, version, s.id); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-time.After(s.gap):
		case <-r.Context().Done():
			return
		}
	}
}

// mixedStreams holds the streams with events of several versions.
type mixedStreams struct {
	mu   sync.Mutex
	list []string
}

// streamUntil asks for streams, one after the other, until stop is closed.
func (g *gateway) streamUntil(stop chan struct{}, n int, mixed *mixedStreams) {
	time.Sleep(time.Duration(n) * streamEvents * eventGap / streams)
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		id := fmt.Sprintf("%s-%d-%d", g.name, n, k)
		status, runs, complete, retryAfter := g.readStream(id)
		g.d.note("%s answers stream %s: %d, %s, complete %t", g.name, id, status, strings.Join(runs, ", "), complete)
		time.Sleep(retryAfter)
		versions := make(map[string]bool)
		for _, r := range runs {
			version, _, _ := strings.Cut(r, " ")
			versions[version] = true
		}
		if len(versions) > 1 {
			mixed.mu.Lock()
			mixed.list = append(mixed.list, id+" ("+strings.Join(runs, ", then ")+")")
			mixed.mu.Unlock()
		}
	}
}

// readStream asks for a stream. It returns its status, the runs that its events are of, whether it
// ended with its last event, and the time after which the caller is asked to come back.
func (g *gateway) readStream(id string) (status int, runs []string, complete bool, retryAfter time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	req, err := http.NewRequest(http.MethodPost, "http://"+g.front+"/stream/"+id, strings.NewReader("body"))
	if err != nil {
		return 0, nil, false, 0
	}
	req.Host = "a.example"
	req.Header.Set(header("request id"), id)
	req.Header.Set(header("time left"), deadlineMS)
	req.Header.Set("Authorization", "Token k1")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, false, 0
	}
	defer resp.Body.Close()
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		run, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		events++
		if len(runs) == 0 || runs[len(runs)-1] != run {
			runs = append(runs, run)
		}
	}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return resp.StatusCode, runs, lines.Err() == nil && events == streamEvents, retryAfter
}
