package main

import (
	"bufio"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Sizes of the case: 4 servers of a plain service as on the small deployment, which are replaced in turn.
const (
	plainNodes    = 6
	plainServers  = 4
	plainSlots    = 6
	plainWork     = 60 * time.Millisecond
	plainDeadline = 1500 * time.Millisecond
	replacements  = 16
	// Requests come in waves: each gateway gets waveSize of them at the same moment, over kept connections.
	waveSize  = 4
	waveEvery = 2150 * time.Millisecond
	// leaveAfter is the time from a wave to the removal of a server's entry: all its requests are answered by then.
	leaveAfter = 100 * time.Millisecond
	// overlap is the time for which the new server is there before the old one leaves.
	overlap = 1200 * time.Millisecond
	// lingering is how much longer than drainTime a server that leaves goes on serving.
	lingering = 80 * time.Millisecond
	// measureSlack is left out of the judgement: it covers the time in which this program notes an arrival.
	measureSlack = 10 * time.Millisecond
)

// plainConfig is the configuration of the case.
//
//go:embed plain.json
var plainConfig string

// departures notes which requests reach servers that have left.
type departures struct {
	record *record
	mu     sync.Mutex
	gone   map[*server]time.Time
	late   map[string]time.Duration
	latest time.Duration
	total  int
}

// arrived notes a request that a server takes.
func (d *departures) arrived(s *server, id string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.total++
	at, left := d.gone[s]
	if !left {
		return
	}
	after := now.Sub(at)
	d.latest = max(d.latest, after)
	if after > drainTime+measureSlack {
		d.late[id] = after
		d.record.add("request %s reaches server %s %d ms after the removal of its entry was acknowledged", id, s.id, after.Milliseconds())
	}
}

// plainCounts counts the answers to requests.
type plainCounts struct {
	mu      sync.Mutex
	sent    int
	results map[string]int
	// lost holds requests that may not be repeated and that got no answer of a server, though no promise
	// that they haven't run.
	lost []string
}

// playDrain plays plain requests while servers leave without having said so, and the store cuts watches. It
// returns whether the rule was kept.
func playDrain(w *world, cuts bool) (bool, error) {
	w.store.Put("config", "main", plainConfig)
	d := &departures{record: w.record, gone: make(map[*server]time.Time), late: make(map[string]time.Duration)}
	var all []*server
	defer func() {
		for _, s := range all {
			s.end()
		}
	}()
	add := func() (*server, error) {
		s := &server{id: fmt.Sprintf("i-%03d", len(all)), service: "desk", zone: zones[len(all)%len(zones)], version: "v1", record: w.record, work: plainWork, arrived: d.arrived}
		if err := s.open(); err != nil {
			return nil, err
		}
		all = append(all, s)
		w.store.Put("servers", s.id, s.entry(plainSlots))
		return s, nil
	}
	for range plainServers {
		if _, err := add(); err != nil {
			return false, err
		}
	}
	if err := w.addNodes(plainNodes, false); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	if cuts {
		w.store.cutWatches(500*time.Millisecond, time.Second)
	}
	counts := &plainCounts{results: make(map[string]int)}
	callers := w.plainCallers()
	time.Sleep(2 * contactTime)
	for k := range replacements {
		w.wave(callers, counts, 2*k)
		time.Sleep(waveEvery - overlap)
		if _, err := add(); err != nil {
			return false, err
		}
		time.Sleep(overlap)
		next := time.Now().Add(waveEvery)
		w.wave(callers, counts, 2*k+1)
		time.Sleep(leaveAfter)
		w.leave(all[k], d)
		time.Sleep(time.Until(next))
	}
	w.wave(callers, counts, 2*replacements)
	time.Sleep(plainDeadline)
	return w.judgeDrain(d, counts), nil
}

// leave removes a server's entry. The server goes on serving for drainTime and a little longer, and says in its
// answers that it leaves.
func (w *world) leave(s *server, d *departures) {
	s.leaving.Store(true)
	w.store.Remove("servers", s.id)
	d.mu.Lock()
	d.gone[s] = time.Now()
	d.mu.Unlock()
	w.record.add("the removal of the entry of server %s is acknowledged", s.id)
	time.AfterFunc(drainTime+lingering, func() {
		s.end()
		w.record.add("server %s exits", s.id)
	})
}

// judgeDrain applies the rule DRAIN.
func (w *world) judgeDrain(d *departures, c *plainCounts) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	w.record.add("watches cut: %d", w.store.cutCount())
	w.record.add("requests sent: %d, runs at servers: %d, answers: %v", c.sent, d.total, c.results)
	lostLate := 0
	for _, id := range c.lost {
		if after, late := d.late[id]; late {
			lostLate++
			w.record.add("request %s may not be repeated, reached its server %d ms after the removal, and was lost", id, after.Milliseconds())
		}
	}
	w.record.add("requests that may not be repeated and were lost: %d, of them sent on late: %d", len(c.lost), lostLate)
	w.record.add("DRAIN broken: %t (%d requests reached a server later than drainMs after its entry was gone; the latest after %d ms)", len(d.late) > 0, len(d.late), d.latest.Milliseconds())
	return len(d.late) == 0
}

// plainCaller is a requester with a kept connection to one gateway.
type plainCaller struct {
	node   *node
	number int
	conn   net.Conn
	reader *bufio.Reader
}

// plainCallers returns the requesters of a wave.
func (w *world) plainCallers() []*plainCaller {
	var list []*plainCaller
	for i := range waveSize * len(w.nodes) {
		list = append(list, &plainCaller{node: w.nodes[i%len(w.nodes)], number: i})
	}
	return list
}

// wave has all requesters send a request at the same moment. It doesn't wait for the answers.
func (w *world) wave(callers []*plainCaller, counts *plainCounts, number int) {
	for _, c := range callers {
		go w.ask(c, counts, number)
	}
}

// ask sends one request of a wave: one in four may be repeated.
func (w *world) ask(c *plainCaller, counts *plainCounts, number int) {
	id, kind := fmt.Sprintf("p-%d-%d", c.number, number), "hold"
	if c.number/len(w.nodes) == waveSize-1 {
		kind = "check"
	}
	result, keep := "no connection", false
	w.record.add("sent: %s (%s) to %s", id, kind, c.node.name)
	if c.connect() {
		result, keep = exchangePlain(c.conn, c.reader, kind, id)
		if !keep {
			c.conn.Close()
			c.conn = nil
		}
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	counts.sent++
	counts.results[kind+" "+result]++
	w.record.add("answered: %s: %s", id, result)
	if kind == "hold" && (result == "no answer" || result == "status 502" || result == "status 504") {
		counts.lost = append(counts.lost, id)
	}
}

// connect opens the requester's connection unless it is open.
func (c *plainCaller) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.node.front, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// exchangePlain sends a request and reads its answer. It returns how it ended, and whether the connection may
// be used again.
func exchangePlain(conn net.Conn, reader *bufio.Reader, kind, id string) (string, bool) {
	_ = conn.SetDeadline(time.Now().Add(plainDeadline))
	_, err := fmt.Fprintf(conn, wire.PlainRequest,
		kind, id, plainDeadline.Milliseconds())
	if err != nil {
		return "not sent", false
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "no answer", false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return "answer cut", false
	case resp.StatusCode == http.StatusOK && string(body) != "answer to "+id:
		return "foreign answer", false
	}
	return fmt.Sprintf("status %d", resp.StatusCode), !resp.Close
}
