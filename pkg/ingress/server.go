// Package ingress accepts the connections of callers. The limits on their
// headers and on idle connections follow the configuration, also on
// connections that are open already.
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
	// sweepInterval is the time between two looks at the idle connections.
	sweepInterval = 500 * time.Millisecond
	// maxHeaderBytes bounds the header of any request.
	maxHeaderBytes = 64 << 10
	// keepAlivePeriod finds callers that vanished without a reset.
	keepAlivePeriod = 2 * time.Second
	// headerSlack and idleSlack are added to the configured times, so that a
	// caller within its limits is never cut off.
	headerSlack = 500 * time.Millisecond
	idleSlack   = time.Second
	// timeoutAnswerTime bounds the writing of the answer to a header that took too long.
	timeoutWriteLimit = 100 * time.Millisecond
)

// timeoutAnswer is the answer to a request whose header took too long.
const timeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Limits are the times that callers may take.
type Limits struct {
	// Header bounds the time until a request's header has arrived, Idle the time
	// that a kept connection may stay unused; 0 means no limit.
	Header, Idle time.Duration
}

// Server serves callers.
type Server struct {
	http   *http.Server
	limits func() Limits
	now    func() time.Time

	mu sync.Mutex
	// waiting holds the connections that no request is under way on, and since when.
	waiting map[net.Conn]waitState
}

type waitState struct {
	since time.Time
	// idle is true if the connection has carried a request.
	idle bool
}

// conn is a caller's connection that tells whether bytes of a further request
// have come.
type conn struct {
	net.Conn
	received atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// end closes a connection on which a request waits for too long. A caller that
// has begun to send one is told.
func (c *conn) closeOverdue() {
	if c.received.Load() {
		// A caller that can't be told finds the connection closed.
		_ = c.SetWriteDeadline(time.Now().Add(timeoutWriteLimit))
		_, _ = io.WriteString(c.Conn, timeoutResponse)
	}
	c.Close()
}

// listener wraps the connections that it accepts.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// New returns a server of a handler; limits is asked at each look at the connections.
func New(addr string, h http.Handler, limits func() Limits, now func() time.Time) *Server {
	s := &Server{limits: limits, now: now, waiting: make(map[net.Conn]waitState)}
	s.http = &http.Server{Addr: addr, Handler: h, MaxHeaderBytes: maxHeaderBytes, ConnState: s.connState}
	return s
}

// Listen opens the callers' address.
func (s *Server) Listen(ctx context.Context) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: 2}}
	return lc.Listen(ctx, "tcp", s.http.Addr)
}

// Serve accepts connections until Close.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(listener{l}) }

// Close ends all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// Drain closes the listener and the connections that no request is under way
// on, and waits for the others until the context ends.
func (s *Server) Drain(ctx context.Context) error { return s.http.Shutdown(ctx) }

func (s *Server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.waiting[c] = waitState{since: s.now()}
	case http.StateIdle:
		c.(*conn).received.Store(false)
		s.waiting[c] = waitState{since: s.now(), idle: true}
	default:
		delete(s.waiting, c)
	}
}

// Sweep closes connections that wait for too long, until the context ends.
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
