// Package ingress serves incoming connections within limits on the time, the number and the size
// of what callers send. The limits may change at any time; changes apply to open connections too.
package ingress

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/connbudget"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// sweepInterval is the interval at which the time limits are checked.
	sweepInterval = 500 * time.Millisecond
	// maxHeadBytes bounds the limit on the size of a request's head.
	maxHeadBytes = 1 << 20
	// defaultHeadBytes is the limit on the size of a head while none is configured.
	defaultHeadBytes = 64 << 10
	// readAheadBytes is what net/http allows beyond its own limit on the size of a head.
	readAheadBytes = 4 << 10
	// headSlackBytes is added to the configured limit. Handlers compare it with the parsed
	// header, which is smaller than what was received: values have lost the spaces around them.
	headSlackBytes = 1 << 10
	// keepAlivePeriod is the TCP keep-alive period, which detects callers that
	// disappeared without closing the connection.
	keepAlivePeriod = 2 * time.Second
	// headerSlack and idleSlack are added to the configured limits, so that the
	// connection of a caller within its limits is never closed.
	headerSlack = 500 * time.Millisecond
	idleSlack   = time.Second
	// bodyLimit limits the time for which one read of a body waits. Handlers that need the body
	// have limits of their own, which are shorter; this one is for bodies that nobody needs.
	bodyLimit = 15 * time.Second
	// victimShare is the part of all connections that are closed at once, at most, to make room.
	victimShare = 32
)

// The responses to requests that are refused before they were read. Nothing of them has run.
const (
	responseEnd      = "Connection: close\r\nContent-Length: 0\r\n\r\n"
	timeoutResponse  = "HTTP/1.1 408 Request Timeout\r\n" + responseEnd
	tooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\n" + responseEnd
	overloadResponse = "HTTP/1.1 503 Service Unavailable\r\n" + responseEnd
)

// Limits holds the limits of callers' connections.
type Limits struct {
	// Header limits the time until a request's header was received, Idle the time
	// between two requests. If either is 0, there are no limits.
	Header, Idle time.Duration
	// HeadBytes limits the size of a request's head; 0 means defaultHeadBytes.
	HeadBytes int
}

// Server is an HTTP server that enforces Limits. The exported fields may be set before Serve.
type Server struct {
	// Name identifies the server in log lines and metrics.
	Name string
	// MaxConns is the largest number of connections; 0 means no bound.
	MaxConns int
	// Heads is the memory for large heads, shared with other servers; nil means no bound.
	Heads *connbudget.Heads
	// Metrics counts closed connections, and Log tells of them; both may be nil.
	Metrics *Metrics
	Log     *slog.Logger

	http   *http.Server
	limits func() Limits
	now    func() time.Time

	mu    sync.Mutex
	conns map[*conn]struct{}
	// candidates and candidateConns are scratch space of victims.
	candidates     []connbudget.Conn
	candidateConns []closable

	report closedReport
}

// closable is a connection to close unless its state changes meanwhile.
type closable struct {
	*conn
	seen int32
}

// New returns a server for a handler. It calls limits at each check of the connections.
func New(addr string, h http.Handler, limits func() Limits, now func() time.Time) *Server {
	s := &Server{limits: limits, now: now, conns: make(map[*conn]struct{})}
	// The handler answers OPTIONS for the whole server, too: net/http's success would look like an endpoint's.
	s.http = &http.Server{Addr: addr, Handler: h, MaxHeaderBytes: maxHeadBytes, DisableGeneralOptionsHandler: true}
	s.attach(s.http)
	return s
}

// Protect bounds the memory that the heads of requests take at a server, which keeps its own limits
// on their size and on times. Its connections are to be accepted by the listener that is returned. With
// TLS, the given listener returns connections that decrypt.
func Protect(hs *http.Server, l net.Listener, heads *connbudget.Heads) net.Listener {
	limits := func() Limits { return Limits{HeadBytes: hs.MaxHeaderBytes + readAheadBytes} }
	s := &Server{Heads: heads, limits: limits, now: time.Now, conns: make(map[*conn]struct{})}
	s.attach(hs)
	return listener{l, s}
}

// attach lets a server tell of its connections.
func (s *Server) attach(hs *http.Server) {
	hs.Handler, hs.ConnState = handler(hs.Handler), s.connState
	hs.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
}

// Listen opens the listener for callers.
func (s *Server) Listen(ctx context.Context) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: 2}}
	return lc.Listen(ctx, "tcp", s.http.Addr)
}

// Serve accepts connections until Close or Drain.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(listener{l, s}) }

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }

// Drain closes the listener and the connections without an active request, and waits
// for the others until the context ends.
func (s *Server) Drain(ctx context.Context) error { return s.http.Shutdown(ctx) }

// headLimit returns the size from which an unfinished head is refused.
func (s *Server) headLimit() int {
	limit := s.limits().HeadBytes
	if limit <= 0 {
		limit = defaultHeadBytes
	}
	return min(limit+headSlackBytes, maxHeadBytes)
}

func (s *Server) connState(nc net.Conn, state http.ConnState) {
	c := nc.(*conn)
	switch state {
	case http.StateNew:
		s.admit(c)
	case http.StateIdle:
		c.awaitRequest()
	case http.StateClosed, http.StateHijacked:
		c.releaseHead()
		s.forget(c)
	}
}

// admit adds a connection. If there are too many, it closes others, or this one if all others
// have requests in progress.
func (s *Server) admit(c *conn) {
	victims, room := s.add(c)
	for _, v := range victims {
		room = v.closeWith(overloadResponse, reasonConns, v.seen) || room
	}
	if !room {
		c.received.Store(true) // so that the caller gets a response
		c.closeWith(overloadResponse, reasonConns, connWaiting)
	}
}

// add adds a connection, and returns others to close if there is no room for it.
func (s *Server) add(c *conn) (victims []closable, room bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxConns > 0 && len(s.conns) >= s.MaxConns {
		victims = s.victims()
	}
	room = s.MaxConns <= 0 || len(s.conns) < s.MaxConns
	s.conns[c] = struct{}{}
	return victims, room
}

// victims returns the connections to close for another one. The lock must be held.
func (s *Server) victims() []closable {
	now := s.now()
	s.candidates, s.candidateConns = s.candidates[:0], s.candidateConns[:0]
	for c := range s.conns {
		state := c.state.Load()
		if stage, ok := c.stageOf(state); ok {
			s.candidates = append(s.candidates, connbudget.Conn{Source: c.source, Stage: stage, Age: c.age(now)})
			s.candidateConns = append(s.candidateConns, closable{c, state})
		}
	}
	var out []closable
	for _, i := range connbudget.Victims(s.candidates, max(1, s.MaxConns/victimShare)) {
		out = append(out, s.candidateConns[i])
	}
	clear(s.candidateConns)
	return out
}

// forget removes a connection that is closed.
func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Sweep closes the connections that exceed a limit, until the context ends.
func (s *Server) Sweep(ctx context.Context) error {
	for sleep.For(ctx, sweepInterval) {
		for _, c := range s.overdue() {
			c.closeWith(timeoutResponse, reasonTime, c.seen)
		}
		s.logClosed()
	}
	return nil
}

func (s *Server) overdue() []closable {
	limits, now := s.limits(), s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []closable
	for c := range s.conns {
		if state := c.state.Load(); c.overdue(state, limits, now) {
			out = append(out, closable{c, state})
		}
	}
	return out
}
