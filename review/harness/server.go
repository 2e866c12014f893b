package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// backAfter is the time after which a server is back that a request has crashed.
const backAfter = 8 * time.Second

// slots is the number of requests that a server runs at once.
const slots = 16

// arrival is a request that reached a server.
type arrival struct {
	at           time.Time
	server       string
	id, uri      string
	body, tenant string
}

// server stands in for a plain server of service s1. It keeps its address over restarts.
type server struct {
	d        *deployment
	id, addr string
	zone     string
	// work is how long a request takes.
	work time.Duration
	// gap is the time between two events of a stream.
	gap time.Duration

	mu       sync.Mutex
	born     int64
	http     *http.Server
	conns    map[net.Conn]bool
	arrivals []arrival
	// leaving is true once the server says in its answers that it leaves.
	leaving bool
	// version is the version of the server's software.
	version string
	// deadly is the beginning of the bodies that crash the server; none if empty.
	deadly string
}

// newServer starts a server and registers it.
func (d *deployment) newServer(id, zone string) (*server, error) {
	s := &server{d: d, id: id, zone: zone, version: "v1", work: 5 * time.Millisecond, gap: eventGap}
	if err := s.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.register()
	return s, nil
}

func (s *server) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr, s.born, s.conns = l.Addr().String(), time.Now().UnixMilli(), make(map[net.Conn]bool)
	conns := s.conns
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		conns[c] = state != http.StateClosed
	}}
	go func(h *http.Server) {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.d.note("server %s ended: %v", s.id, err)
		}
	}(s.http)
	return nil
}

// registration returns the server's entry, without its last brace.
func (s *server) registration(state string) string {
	return fmt.Sprintf(wireText("entry.txt"), s.addr, s.zone, s.version, slots, state)
}

// register writes the server's entry.
func (s *server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.store.Put("servers", s.id, fmt.Sprintf(`%s,"born":%d}`, s.registration("ready"), s.born))
}

// crash ends the server's process: its connections are reset, and its port is closed.
func (s *server) crash() {
	s.mu.Lock()
	h := s.http
	var open []net.Conn
	for c, isOpen := range s.conns {
		if isOpen {
			open = append(open, c)
		}
	}
	s.mu.Unlock()
	for _, c := range open {
		abort(c)
	}
	_ = h.Close()
}

// crashFor crashes the server, which starts again after some time under the same id.
func (s *server) crashFor(d time.Duration) {
	s.crash()
	time.AfterFunc(d, func() {
		if err := s.listen(s.addr); err != nil {
			s.d.note("server %s can't start again: %v", s.id, err)
			return
		}
		s.register()
		s.d.note("server %s is back", s.id)
	})
}

// setLeaving makes the server say in all further answers that it leaves.
func (s *server) setLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// received returns the requests that have reached the server.
func (s *server) received() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set(header("request id"), r.Header.Get(header("request id")))
	h.Set("Keep-Alive", "timeout=10")
	s.mu.Lock()
	leaving, deadly := s.leaving, s.deadly
	s.mu.Unlock()
	if leaving {
		h.Set(header("leaving"), "1")
	}
	if r.Header.Get(header("expected server")) != s.id {
		h.Set(header("not run"), "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{at: time.Now(), server: s.id, id: r.Header.Get(header("request id")), uri: r.RequestURI, body: string(body), tenant: r.Header.Get(header("tenant"))}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	if deadly != "" && strings.HasPrefix(a.body, deadly) {
		s.d.note("server %s runs request %s and crashes", s.id, a.id)
		s.crashFor(backAfter)
		return
	}
	h.Set(header("proof"), "stamp-of-"+s.id)
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		s.stream(w, r)
		return
	}
	time.Sleep(s.work)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", s.id, a.id)
}

// sortByTime sorts arrivals by their times.
func sortByTime(list []arrival) {
	slices.SortFunc(list, func(a, b arrival) int { return a.at.Compare(b.at) })
}

// deadlineMS is how long a caller waits, in milliseconds; the timeouts of the routes are shorter or
// the same.
const deadlineMS = "15000"

// answer is what a caller gets.
type answer struct {
	status         int
	stamp, body    string
	leaving        bool
	sentAt, doneAt time.Time
	err            error
}

// call sends a request to a gateway on a new connection and waits for the answer.
func (g *gateway) call(id, method, path, body string) answer {
	a := answer{sentAt: time.Now()}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	req, err := http.NewRequest(method, "http://"+g.front+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "a.example"
	req.Header.Set(header("request id"), id)
	req.Header.Set(header("time left"), deadlineMS)
	req.Header.Set("Authorization", "Token k1")
	resp, err := client.Do(req)
	a.doneAt = time.Now()
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.status, a.stamp, a.body, a.err = resp.StatusCode, resp.Header.Get(header("proof")), string(data), err
	a.leaving = resp.Header.Get(header("leaving")) != ""
	return a
}

// String returns the answer as the record shows it.
func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, strings.TrimSpace(a.body))
}
