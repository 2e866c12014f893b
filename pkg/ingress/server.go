// Package ingress serves callers' connections. The time limits for headers and for
// idle connections may change at any time; changes apply to open connections too.
package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// sweepInterval is the interval at which the time limits are checked.
	sweepInterval = 500 * time.Millisecond
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 64 << 10
	// keepAlivePeriod is the TCP keep-alive period, which detects callers that
	// disappeared without closing the connection.
	keepAlivePeriod = 2 * time.Second
	// headerSlack and idleSlack are added to the configured limits, so that the
	// connection of a caller within its limits is never closed.
	headerSlack = 500 * time.Millisecond
	idleSlack   = time.Second
	// timeoutWriteLimit limits the time for writing timeoutResponse.
	timeoutWriteLimit = 100 * time.Millisecond
)

// timeoutResponse is the response to a request whose header took too long.
const timeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Limits holds the time limits of callers' connections.
type Limits struct {
	// Header limits the time until a request's header was received, Idle the time
	// between two requests. If either is 0, there are no limits.
	Header, Idle time.Duration
}

// Server is an HTTP server that enforces Limits.
type Server struct {
	http   *http.Server
	limits func() Limits
	now    func() time.Time

	mu sync.Mutex
	// waiting holds the connections without an active request.
	waiting map[net.Conn]waitState
}

// waitState describes a connection without an active request.
type waitState struct {
	// since is when the last request ended, or when the connection was accepted.
	since time.Time
	// idle is true if the connection has already served a request.
	idle bool
}

// The states of a conn.
const (
	// connWaiting means that no request is being handled.
	connWaiting int32 = iota
	// connActive means that a request is being handled.
	connActive
	// connClosing means that the connection is being closed, and takes no request.
	connClosing
)

// conn is a caller's connection. received is true once bytes of its next request
// were received.
type conn struct {
	net.Conn
	received atomic.Bool
	state    atomic.Int32
}

// connKey is the context key of a request's *conn.
type connKey struct{}

// handler passes a request on unless its connection is being closed.
func handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok && !c.state.CompareAndSwap(connWaiting, connActive) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// Close implements net.Conn. A request that is read at the same time isn't handled.
func (c *conn) Close() error {
	c.state.CompareAndSwap(connWaiting, connClosing)
	return c.Conn.Close()
}

// closeOverdue closes a connection that has exceeded a limit, unless a request is being
// handled meanwhile. If part of a request was received, it first responds with status 408.
func (c *conn) closeOverdue() {
	if !c.state.CompareAndSwap(connWaiting, connClosing) {
		return
	}
	if c.received.Load() {
		// If the write fails, the caller just sees the connection closed.
		_ = c.SetWriteDeadline(time.Now().Add(timeoutWriteLimit))
		_, _ = io.WriteString(c.Conn, timeoutResponse)
	}
	c.Close()
}

// listener wraps each connection that it accepts in a conn.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// New returns a server for a handler. It calls limits at each check of the connections.
func New(addr string, h http.Handler, limits func() Limits, now func() time.Time) *Server {
	s := &Server{limits: limits, now: now, waiting: make(map[net.Conn]waitState)}
	s.http = &http.Server{
		Addr: addr, Handler: handler(h), MaxHeaderBytes: maxHeaderBytes, ConnState: s.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return s
}

// Listen opens the listener for callers.
func (s *Server) Listen(ctx context.Context) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: 2}}
	return lc.Listen(ctx, "tcp", s.http.Addr)
}

// Serve accepts connections until Close or Drain.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(listener{l}) }

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }

// Drain closes the listener and the connections without an active request, and waits
// for the others until the context ends.
func (s *Server) Drain(ctx context.Context) error { return s.http.Shutdown(ctx) }

func (s *Server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.waiting[c] = waitState{since: s.now()}
	case http.StateIdle:
		c.(*conn).received.Store(false)
		c.(*conn).state.CompareAndSwap(connActive, connWaiting)
		s.waiting[c] = waitState{since: s.now(), idle: true}
	default:
		delete(s.waiting, c)
	}
}

// Sweep closes the connections that exceed a limit, until the context ends.
func (s *Server) Sweep(ctx context.Context) error {
	for sleep.For(ctx, sweepInterval) {
		for _, c := range s.overdue() {
			c.closeOverdue()
		}
	}
	return nil
}

func (s *Server) overdue() []*conn {
	limits, now := s.limits(), s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*conn
	for c, w := range s.waiting {
		limit := limits.Header + headerSlack
		if w.idle {
			limit = limits.Idle + idleSlack
		}
		if limits.Header > 0 && limits.Idle > 0 && now.Sub(w.since) > limit {
			out = append(out, c.(*conn))
		}
	}
	return out
}
