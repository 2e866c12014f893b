package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the case.
const (
	versionNodes   = 6
	versionServers = 9
	versionEvents  = 24
	versionGap     = 100 * time.Millisecond
	versionCycles  = 5
	// waveStreams is the number of streams that requesters ask for at the same moment, once in a cycle.
	waveStreams = 54
	// Times since the beginning of a cycle: a server crashes while no stream runs, starts again with the other
	// version, and writes its entry half a heartbeat (1,200 ms) later. Meanwhile the streams begin. Then it
	// crashes again, and starts again with the first version.
	startsAgain   = time.Second
	streamsBegin  = 1100 * time.Millisecond
	writesEntry   = 1500 * time.Millisecond
	crashesAgain  = 3 * time.Second
	startsAsFirst = 4500 * time.Millisecond
	versionCycle  = 8 * time.Second
)

// playVersions plays streams while servers crash, and start again under their ids with another version that
// crashes, too. It returns whether the rule was kept.
func playVersions(w *world, trouble bool) (bool, error) {
	w.store.Put("config", "main", streamConfig)
	servers := make([]*server, versionServers)
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-%03d", i), service: "llm", zone: zones[i%len(zones)], version: "v1", record: w.record, gap: versionGap, events: versionEvents, tellsVersion: true}
		if err := s.open(); err != nil {
			return false, err
		}
		servers[i] = s
		w.store.Put("servers", s.id, s.entry(streamSlots))
	}
	defer func() {
		for _, s := range servers {
			s.end()
		}
	}()
	if err := w.addNodes(versionNodes, false); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	m := &mixing{results: make(map[string]int)}
	time.Sleep(2 * contactTime)
	var clients sync.WaitGroup
	for k := range versionCycles {
		began := time.Now()
		at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
		restart := func(version string) error {
			next, err := w.startAgain(servers[k], version)
			if err == nil {
				servers[k] = next
			}
			return err
		}
		if trouble {
			servers[k].end()
			w.record.add("server %s of version v1 crashes", servers[k].id)
			at(startsAgain)
			if err := restart("v2"); err != nil {
				return false, err
			}
		}
		at(streamsBegin)
		for c := range waveStreams {
			clients.Go(func() { w.versionClient(c, k, m) })
		}
		if trouble {
			at(writesEntry)
			w.writeEntry(servers[k])
			at(crashesAgain)
			servers[k].end()
			w.record.add("server %s of version v2 crashes", servers[k].id)
			at(startsAsFirst)
			if err := restart("v1"); err != nil {
				return false, err
			}
			w.writeEntry(servers[k])
		}
		at(versionCycle)
	}
	clients.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	w.record.add("streams: %d, results: %v", m.streams, m.results)
	w.record.add("ORDER broken: %t (%d streams hold events from servers of two versions; two are allowed)", m.mixed > 2, m.mixed)
	return m.mixed <= 2, nil
}

// startAgain starts a server under the id and at the address that it had, with a version.
func (w *world) startAgain(before *server, version string) (*server, error) {
	s := &server{id: before.id, service: before.service, zone: before.zone, version: version, record: w.record, gap: before.gap, events: before.events, tellsVersion: true, at: before.addr()}
	if err := s.open(); err != nil {
		return nil, err
	}
	w.record.add("server %s starts again with version %s", s.id, version)
	return s, nil
}

// mixing counts streams by the versions of their events.
type mixing struct {
	mu             sync.Mutex
	streams, mixed int
	results        map[string]int
}

// writeEntry writes a server's entry to the store.
func (w *world) writeEntry(s *server) {
	w.store.Put("servers", s.id, s.entry(streamSlots))
	w.record.add("server %s writes its entry with version %s", s.id, s.version)
}

// versionClient asks for one stream of a cycle.
func (w *world) versionClient(c, cycle int, m *mixing) {
	id := fmt.Sprintf("v-%d-%d", cycle, c)
	w.record.add("sent: %s to %s", id, w.nodes[c%len(w.nodes)].name)
	versions, result := w.versionStream(c, id)
	w.record.add("answered: %s: %s, versions %s", id, result, versions)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams++
	m.results[result]++
	if strings.Contains(versions, "v1") && strings.Contains(versions, "v2") {
		m.mixed++
		w.record.add("stream %s holds events of two versions, in order: %s", id, versions)
	}
}

// versionStream asks for one stream over a new connection. It returns the versions of its events, in order, and
// how it ended.
func (w *world) versionStream(at int, id string) (versions, result string) {
	n := w.nodes[at%len(w.nodes)]
	conn, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return "", "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(streamDeadline))
	_, err = fmt.Fprintf(conn, wire.StreamHead+"\r\n{}",
		id, 5*versionEvents, streamDeadline.Milliseconds())
	if err != nil {
		return "", "not sent"
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", "no answer"
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		time.Sleep(time.Second)
		return "", fmt.Sprintf("status %d", resp.StatusCode)
	}
	lines := bufio.NewReader(resp.Body)
	last := ""
	for {
		event, err := readEvent(lines)
		if errors.Is(err, io.EOF) && event == "" {
			return versions, "ended"
		}
		if err != nil {
			return versions, "cut"
		}
		fields := strings.Fields(event)
		if v := fields[len(fields)-1]; v != last {
			last = v
			versions += v + " "
		}
	}
}
