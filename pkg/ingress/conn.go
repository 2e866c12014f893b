package ingress

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/connbudget"
)

const (
	// responseWriteLimit limits the time for writing a refusal.
	responseWriteLimit = 100 * time.Millisecond
	// lingerTime and lingerBytes limit what is read of a request after its refusal. A connection
	// that is closed with unread bytes is reset, and the caller may not see the response.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 128 << 10
	// watchBytes is the size of the reads by which net/http watches a connection from the end of
	// a request's head or body to the response. Reads of heads and bodies are larger.
	watchBytes = 1
	// checkedBytes is the size from which a head is compared with the limit. Smaller ones arrive
	// with one read.
	checkedBytes = 4 << 10
)

// errClosing is the error of a read on a connection that is being closed. After an error of this
// type net/http closes the connection without a response of its own.
var errClosing = &net.OpError{Op: "read", Net: "tcp", Err: eris.New("ingress: connection is being closed")}

// The states of a conn.
const (
	// connWaiting means that no request is being handled.
	connWaiting int32 = iota
	// connActive means that a request is being handled.
	connActive
	// connBody means that a request's handler waits for the body.
	connBody
	// connRefused means that the request was refused because of its head.
	connRefused
	// connClosing means that the connection is being closed, and takes no request.
	connClosing
)

// conn is a caller's connection.
type conn struct {
	net.Conn
	server *Server
	source connbudget.Source
	state  atomic.Int32
	// since is when the state began, or when the first byte of a head was received, in ns; 0 means
	// since the last check of the connections. That spares each request a look at the clock.
	since atomic.Int64
	// idle is true after a request, until a byte of the next one is received.
	idle atomic.Bool
	// received is true once bytes of the next request were received.
	received atomic.Bool
	// headBytes and headLines count what was received since the last request ended. Only the
	// goroutine that reads heads uses them.
	headBytes, headLines int
	// tail holds the last bytes received, as the end of a head may be spread over two reads.
	tail [3]byte
	// held is the memory that the head holds of the server's budget, in bytes.
	held int64
}

// newConn returns a connection that was just accepted.
func newConn(c net.Conn, s *Server) *conn {
	out := &conn{Conn: c, server: s, source: connbudget.SourceOfAddr(c.RemoteAddr())}
	out.since.Store(s.now().UnixNano())
	return out
}

// Source implements connbudget.Holder.
func (c *conn) Source() connbudget.Source { return c.source }

// Evict implements connbudget.Holder.
func (c *conn) Evict() bool {
	return c.closeWith(overloadResponse, reasonHeadMemory, connWaiting, connBody, connRefused)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := 0, error(errClosing)
	switch state := c.state.Load(); {
	case len(b) == watchBytes && (state == connWaiting || state == connActive):
		n, err = c.Conn.Read(b)
	case state == connWaiting:
		n, err = c.readHead(b)
	case state == connActive:
		n, err = c.readBody(b)
	}
	c.remember(b[:n])
	return n, err
}

// readHead reads while a request's head is awaited. If another read is needed, all that was
// received belongs to an unfinished head.
func (c *conn) readHead(b []byte) (int, error) {
	if c.headBytes >= checkedBytes && c.headBytes > c.server.headLimit() {
		return 0, c.refuse(tooLargeResponse, reasonHeadSize)
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if !c.received.Swap(true) && c.idle.Swap(false) {
		c.since.Store(0)
	}
	if !c.countHead(b[:n]) {
		return 0, c.refuse(overloadResponse, reasonHeadMemory)
	}
	return n, err
}

// countHead counts received bytes. It returns false if there is no memory for the head.
func (c *conn) countHead(b []byte) bool {
	received, lines := c.headBytes+len(b), c.headLines+bytes.Count(b, newline)
	size := connbudget.HeadBytes(received, lines)
	if size > c.held {
		// What follows the head belongs to the body. Its end is looked for only now, as ordinary
		// heads count nothing.
		b = b[:c.endOfHead(b)]
		received, lines = c.headBytes+len(b), c.headLines+bytes.Count(b, newline)
		size = connbudget.HeadBytes(received, lines)
	}
	c.headBytes, c.headLines = received, lines
	if size <= c.held || c.server.Heads == nil {
		return true
	}
	c.held = size
	return c.server.Heads.Hold(c, size)
}

// endOfHead returns where a head ends in received bytes, or their number if it doesn't.
func (c *conn) endOfHead(b []byte) int {
	for n := 1; n < len(headEnd); n++ {
		if bytes.HasSuffix(c.tail[:], headEnd[:n]) && bytes.HasPrefix(b, headEnd[n:]) {
			return 0
		}
	}
	if end := bytes.Index(b, headEnd); end >= 0 {
		return end
	}
	return len(b)
}

// remember keeps the end of what was received.
func (c *conn) remember(b []byte) {
	if len(b) < len(c.tail) {
		copy(c.tail[:], c.tail[len(b):])
	}
	n := min(len(b), len(c.tail))
	copy(c.tail[len(c.tail)-n:], b[len(b)-n:])
}

// newline ends a line of a head, and headEnd the head.
var (
	newline = []byte("\n")
	headEnd = []byte("\r\n\r\n")
)

// readBody reads while a request is being handled. While the body is awaited, the connection may
// be closed: its request hasn't run.
func (c *conn) readBody(b []byte) (int, error) {
	c.since.Store(0)
	if !c.state.CompareAndSwap(connActive, connBody) {
		return 0, errClosing
	}
	n, err := c.Conn.Read(b)
	if !c.state.CompareAndSwap(connBody, connActive) {
		return 0, errClosing
	}
	return n, err
}

// awaitRequest is called when a request has ended and the next one is awaited.
func (c *conn) awaitRequest() {
	c.received.Store(false)
	c.idle.Store(true)
	c.since.Store(c.server.now().UnixNano())
	c.headBytes, c.headLines = 0, 0
	c.releaseHead()
	c.state.CompareAndSwap(connActive, connWaiting)
}

// releaseHead returns the memory that the head holds.
func (c *conn) releaseHead() {
	if c.held > 0 {
		c.held = 0
		c.server.Heads.Release(c)
	}
}

// refuse responds to a request whose head isn't complete, and reads on for a moment.
func (c *conn) refuse(response, reason string) error {
	if !c.state.CompareAndSwap(connWaiting, connRefused) {
		return errClosing
	}
	c.server.closed(c, reason)
	c.respond(response)
	c.received.Store(false) // no further response is sent
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // if it fails, the connection is closed anyway
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	return errClosing
}

// respond writes a response. If it can't be written, the caller just sees the connection closed.
func (c *conn) respond(response string) {
	_ = c.SetWriteDeadline(time.Now().Add(responseWriteLimit))
	_, _ = io.WriteString(c.Conn, response)
}

// Close implements net.Conn. A request that is read at the same time isn't handled.
func (c *conn) Close() error {
	c.state.CompareAndSwap(connWaiting, connClosing)
	return c.Conn.Close()
}

// closeWith closes a connection that is in one of the given states, and reports whether it was. If
// part of a request was received, it first sends a response.
func (c *conn) closeWith(response, reason string, states ...int32) bool {
	if !slices.ContainsFunc(states, func(state int32) bool { return c.state.CompareAndSwap(state, connClosing) }) {
		return false
	}
	c.server.closed(c, reason)
	if c.received.Load() {
		c.respond(response)
	}
	c.server.forget(c)
	c.Conn.Close()
	return true
}

// stageOf returns how far a connection in a state is, and false if its request is being handled or
// it is being closed already.
func (c *conn) stageOf(state int32) (connbudget.Stage, bool) {
	switch state {
	case connRefused:
		return connbudget.Refused, true
	case connBody:
		return connbudget.Pending, true
	case connWaiting:
		if c.idle.Load() {
			return connbudget.Idle, true
		}
		return connbudget.Pending, true
	}
	return 0, false
}

// age returns the time since the state began.
func (c *conn) age(now time.Time) time.Duration {
	since := c.since.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - since)
}

// overdue reports whether a limit on the time of a connection in a state is exceeded.
func (c *conn) overdue(state int32, l Limits, now time.Time) bool {
	stage, ok := c.stageOf(state)
	if !ok || l.Header <= 0 || l.Idle <= 0 {
		return false
	}
	c.since.CompareAndSwap(0, now.UnixNano())
	waited := c.age(now)
	switch {
	case state == connBody:
		return waited > bodyLimit
	case stage == connbudget.Idle:
		return waited > l.Idle+idleSlack
	}
	return waited > l.Header+headerSlack
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

// listener wraps each connection that it accepts in a conn.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c, l.server), nil
}
