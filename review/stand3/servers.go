package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// contextWithTimeout returns the context of a request with a time limit.
func contextWithTimeout(r *http.Request, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), d)
}

// server is a server of a service. It answers plain requests after a time, and streams events on paths that
// begin with /stream/.
type server struct {
	id, service, zone, version string
	record                     *record
	// work is the time of a plain request, and gap that between two events of a stream of events.
	work, gap time.Duration
	events    int
	// arrived is called with each request that the server takes; it may be nil.
	arrived func(s *server, id string)

	// leaving is true once the server says in its answers that it leaves.
	leaving atomic.Bool

	listener *net.TCPListener
	http     *http.Server
	born     time.Time

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	ended bool
}

// open starts the server.
func (s *server) open() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.conns, s.born = l.(*net.TCPListener), make(map[net.Conn]struct{}), time.Now()
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second, ConnState: s.follow}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

func (s *server) addr() string { return s.listener.Addr().String() }

// entry returns the server's entry in the store.
func (s *server) entry(slots int) string {
	return registration(s.service, s.addr(), s.zone, s.version, slots, s.born)
}

func (s *server) follow(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
		if s.ended {
			reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// end ends the server at once: its connections are reset, and new ones refused.
func (s *server) end() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for c := range s.conns {
		reset(c)
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(wire.RequestID)
	h := w.Header()
	h.Set(wire.RequestID, id)
	h.Set("Keep-Alive", "timeout=10")
	if r.Header.Get(wire.Expected) != s.id {
		h.Set(wire.Instance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.record.add("run: %s at server %s", id, s.id)
	if s.arrived != nil {
		s.arrived(s, id)
	}
	h.Set(wire.Proof, "stamp-of-"+s.id)
	if s.leaving.Load() {
		h.Set(wire.Leaving, "1")
	}
	if len(r.URL.Path) > 8 && r.URL.Path[:8] == "/stream/" {
		s.stream(w, r)
		return
	}
	if !wait(r.Context(), s.work) {
		return
	}
	fmt.Fprintf(w, "answer to %s", id)
}

// stream writes the events after the last one that the request names.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= s.events; n++ {
		if !wait(r.Context(), s.gap) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
}

// wait waits, and reports whether the context hasn't ended.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
