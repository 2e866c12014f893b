package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// endpoint is a stand-in of a server. It may crash, and start again at its address and under its id.
type endpoint struct {
	id, addr, service string
	slots             int
	world             *world
	// eventTime is the time between two events of a stream, and events their number.
	eventTime time.Duration
	events    int
	// unframed is true if only the end of the connection ends a stream.
	unframed bool
	// began is called when a request begins to run; nil for nothing.
	began func(e *endpoint, r *http.Request)

	mu      sync.Mutex
	version string
	born    int64
	life    *life
	running int
	beat    int
}

// life is one process of an endpoint.
type life struct {
	server *http.Server
	end    context.CancelFunc
	ctx    context.Context
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
}

// freeAddr returns a free loopback address.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts a process of the endpoint, which serves at once. Its registration is another step.
func (e *endpoint) start(version string) error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &life{ctx: ctx, end: cancel, conns: make(map[net.Conn]struct{})}
	p.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(p, version, w, r) }),
		ConnState: func(c net.Conn, s http.ConnState) {
			p.mu.Lock()
			defer p.mu.Unlock()
			if s == http.StateNew {
				p.conns[c] = struct{}{}
			}
			if s == http.StateClosed {
				delete(p.conns, c)
			}
		},
	}
	e.mu.Lock()
	e.version, e.born, e.life, e.running = version, time.Now().UnixMilli(), p, 0
	e.mu.Unlock()
	e.world.record.line("server %s starts: version %s, born %d", e.id, version, e.born)
	go func() { _ = p.server.Serve(l) }()
	return nil
}

// crash ends the process: its connections are reset, and new ones refused. It returns false if the process
// has ended already.
func (e *endpoint) crash() bool {
	e.mu.Lock()
	p := e.life
	e.life = nil
	e.mu.Unlock()
	if p == nil {
		return false
	}
	p.end()
	p.mu.Lock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.mu.Unlock()
	_ = p.server.Close()
	e.world.record.line("server %s crashes", e.id)
	return true
}

// register writes the endpoint's entry in the store as it is now.
func (e *endpoint) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beat++
	e.world.store.Put("servers", e.id, fmt.Sprintf(wireFile("entry.txt"),
		e.service, e.addr, e.version, e.slots, e.beat, e.born))
	e.world.record.line("server %s registers: version %s, born %d", e.id, e.version, e.born)
}

// take takes a slot.
func (e *endpoint) take(p *life) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != p || e.running >= e.slots {
		return false
	}
	e.running++
	return true
}

func (e *endpoint) release(p *life) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == p {
		e.running--
	}
}

// serve answers a request.
func (e *endpoint) serve(p *life, version string, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(wireHeader("requestID"))
	h := w.Header()
	h.Set(wireHeader("requestID"), id)
	if r.Header.Get(wireHeader("expected")) != e.id {
		h.Set(wireHeader("notRun"), "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.take(p) {
		h.Set(wireHeader("notRun"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.release(p)
	if e.began != nil {
		e.began(e, r)
	}
	e.world.record.line("server %s (%s) runs %s %s last-event=%q", e.id, version, id, r.RequestURI, r.Header.Get("Last-Event-Id"))
	h.Set(wireHeader("stamp"), "stamp-"+e.id+"-"+id)
	if !strings.HasSuffix(r.URL.Path, "/stream") {
		fmt.Fprintf(w, "answer of %s to %s", e.id, id)
		return
	}
	e.stream(p, version, w, r)
}

// stream writes the events after the last one that the request names.
func (e *endpoint) stream(p *life, version string, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	if e.unframed {
		// net/http then sends neither a length nor chunks, and closes the connection.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= e.events; n++ {
		select {
		case <-time.After(e.eventTime):
		case <-r.Context().Done():
			return
		case <-p.ctx.Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s event %d of %d\n\n", n, version, n, e.events)
		_ = http.NewResponseController(w).Flush()
	}
}
