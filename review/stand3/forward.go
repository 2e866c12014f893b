package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/platform/platformtest"
)

const (
	forwardNodes   = 6
	forwardServers = 4
	// cutClients and otherClients are the numbers of requesters at the machine that is cut off, and at each other
	// one. Each pauses between two requests.
	cutClients, otherClients = 12, 3
	forwardPause             = 40 * time.Millisecond
	// Times since the machine is cut off: the store goes down, the server begins to leave, the cut ends, and the
	// store is back.
	storeGoes    = 1500 * time.Millisecond
	serverLeaves = 2400 * time.Millisecond
	cutEnds      = 4900 * time.Millisecond
	storeReturns = 5900 * time.Millisecond
	// forwardWork is the time of a request, and notice the time from the notice of the server that is taken away to
	// its end.
	forwardWork = 150 * time.Millisecond
	notice      = 2850 * time.Millisecond
)

// passing notes what the machine that was cut off has passed on, and what it sends.
type passing struct {
	mu sync.Mutex
	// sent holds when each request at the machine was sent, and passed when a requester of the machine first had
	// an answer of the server that leaves with its notice.
	sent    map[string]time.Time
	passed  time.Time
	late    map[string]bool
	lost    int
	results map[string]int
	record  *record
	leaver  *server
}

// arrivedOverLink is called with each request that a server takes over the link of the machine that was cut off.
func (p *passing) arrivedOverLink(s *server, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent, known := p.sent[id]
	if s != p.leaver || p.passed.IsZero() || !known {
		return
	}
	after := sent.Sub(p.passed)
	p.record.add("request %s, sent %d ms after the notice was passed on, reaches server %s from the machine", id, after.Milliseconds(), s.id)
	if after > drainTime+measureSlack {
		p.late[id] = true
	}
}

// playForward has a server leave while the store is down and one machine is cut off from all servers. It returns
// whether the rule was kept.
func playForward(w *world, trouble bool) (bool, error) {
	w.store.Put("config", "main", plainConfig)
	p := &passing{sent: make(map[string]time.Time), late: make(map[string]bool), results: make(map[string]int), record: w.record}
	servers := make([]*server, forwardServers)
	links := make([]*link, forwardServers)
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-%03d", i), service: "desk", zone: zones[i%len(zones)], version: "v1", record: w.record, work: forwardWork}
		if err := s.open(); err != nil {
			return false, err
		}
		defer s.end()
		l, err := newLink(func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(wire.Expected) == s.id {
				p.arrivedOverLink(s, r.Header.Get(wire.RequestID))
			}
			s.ServeHTTP(rw, r)
		})
		if err != nil {
			return false, err
		}
		defer l.close()
		servers[i], links[i] = s, l
		w.store.Put("servers", s.id, s.entry(plainSlots))
	}
	view, err := w.newView(servers, links)
	if err != nil {
		return false, err
	}
	defer view.Close()
	w.storeOf = map[int]string{0: view.Addr().String()}
	if err := w.addNodes(forwardNodes, false); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range w.nodes {
		count := otherClients
		if n == 0 {
			count = cutClients
		}
		for c := range count {
			clients.Go(func() { w.forwardClient(n, fmt.Sprintf("f-%d-%d", n, c), p, stop) })
		}
	}
	time.Sleep(2 * contactTime)
	leaver := servers[1]
	p.mu.Lock()
	p.leaver = leaver
	p.mu.Unlock()
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	if trouble {
		w.record.add("machine %s is cut off from all servers", w.nodes[0].name)
		for _, l := range links {
			l.cut(true)
		}
		at(storeGoes)
		w.record.add("the store is down")
		w.store.SetMode(platformtest.Unavailable)
	}
	at(serverLeaves)
	w.record.add("server %s says in its answers that it leaves", leaver.id)
	leaver.leaving.Store(true)
	if !trouble {
		w.store.Put("servers", leaver.id, leaver.draining(plainSlots))
	}
	time.AfterFunc(notice, func() {
		leaver.end()
		links[1].close()
		w.record.add("server %s is taken away, %d ms after its notice", leaver.id, notice.Milliseconds())
	})
	at(cutEnds)
	if trouble {
		for _, l := range links {
			l.cut(false)
		}
		w.record.add("machine %s reaches the servers again", w.nodes[0].name)
	}
	at(storeReturns)
	if trouble {
		w.store.SetMode(platformtest.Available)
		w.record.add("the store is back")
	}
	w.store.Remove("servers", leaver.id)
	time.Sleep(drainTime + contactTime)
	close(stop)
	clients.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	w.record.add("answers: %v", p.results)
	w.record.add("requests that may not be repeated, reached the server so late and were lost: %d", p.lost)
	w.record.add("notice passed on: %t; DRAIN broken: %t (%d requests that were sent later than drainMs after that reached the server from the machine)", !p.passed.IsZero(), len(p.late) > 0, len(p.late))
	return len(p.late) == 0, nil
}

// forwardClient sends requests to a node over a kept connection.
func (w *world) forwardClient(n int, name string, p *passing, stop chan struct{}) {
	c := &plainCaller{node: w.nodes[n]}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(forwardPause):
		}
		if !c.connect() {
			continue
		}
		id := fmt.Sprintf("%s-%d", name, i)
		if n == 0 {
			p.mu.Lock()
			p.sent[id] = time.Now()
			p.mu.Unlock()
		}
		w.record.add("sent: %s to %s", id, c.node.name)
		status, stamp, notice, keep := exchangeNoticed(c.conn, c.reader, id)
		w.record.add("answered: %s: %s %s", id, status, stamp)
		p.mu.Lock()
		where := "at the other machines"
		if n == 0 {
			where = "at the machine"
		}
		p.results[status+" "+where]++
		if p.late[id] && (status == "no answer" || status == "status 502" || status == "status 504") {
			p.lost++
			w.record.add("request %s was lost: %s", id, status)
		}
		if n == 0 && notice && p.passed.IsZero() {
			p.passed = time.Now()
			w.record.add("machine %s passes on an answer with %s and the notice that it leaves (request %s)", w.nodes[0].name, stamp, id)
		}
		p.mu.Unlock()
		if !keep {
			c.conn.Close()
			c.conn = nil
		}
	}
}

// exchangeNoticed sends a request and returns its status, the server's proof, whether the server says that it
// leaves, and whether the connection may be used again.
func exchangeNoticed(conn net.Conn, reader *bufio.Reader, id string) (status, stamp string, notice, keep bool) {
	_ = conn.SetDeadline(time.Now().Add(plainDeadline))
	_, err := fmt.Fprintf(conn, wire.PlainRequest,
		"hold", id, plainDeadline.Milliseconds())
	if err != nil {
		return "not sent", "", false, false
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "no answer", "", false, false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "answer cut", "", false, false
	}
	return fmt.Sprintf("status %d", resp.StatusCode), resp.Header.Get(wire.Proof), resp.Header.Get(wire.Leaving) == "1", !resp.Close
}

// link is another address of a server, over which one machine reaches it.
type link struct {
	listener net.Listener
	server   *http.Server

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	isCut bool
}

func newLink(serve http.HandlerFunc) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, conns: make(map[net.Conn]struct{})}
	k.server = &http.Server{Handler: serve, IdleTimeout: 10 * time.Second, ConnState: k.follow}
	go func() { _ = k.server.Serve(l) }()
	return k, nil
}

func (k *link) close() { k.server.Close() }

func (k *link) follow(c net.Conn, state http.ConnState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch state {
	case http.StateNew:
		k.conns[c] = struct{}{}
		if k.isCut {
			reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(k.conns, c)
	}
}

// cut resets the connections of the link and all new ones, or ends that.
func (k *link) cut(isCut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isCut = isCut
	for c := range k.conns {
		if isCut {
			reset(c)
		}
	}
}

// draining returns the entry of a server that leaves.
func (s *server) draining(slots int) string {
	return strings.Replace(s.entry(slots), `"state":"ready"`, `"state":"draining"`, 1)
}

// newView opens an address of the store at which the servers have the addresses of links.
func (w *world) newView(servers []*server, links []*link) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var pairs []string
	for i, s := range servers {
		pairs = append(pairs, s.addr(), links[i].listener.Addr().String())
	}
	replacer := strings.NewReplacer(pairs...)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			w.store.serve(&replacingWriter{ResponseWriter: rw, replacer: replacer}, r)
		}))
	}()
	return l, nil
}

// replacingWriter replaces texts in a body that is written at once.
type replacingWriter struct {
	http.ResponseWriter
	replacer *strings.Replacer
}

// Write implements io.Writer.
func (r *replacingWriter) Write(b []byte) (int, error) {
	if _, err := io.WriteString(r.ResponseWriter, r.replacer.Replace(string(b))); err != nil {
		return 0, err
	}
	return len(b), nil
}

// WriteString implements io.StringWriter.
func (r *replacingWriter) WriteString(s string) (int, error) { return r.Write([]byte(s)) }
