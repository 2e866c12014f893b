// Package httpconn wraps connections on which HTTP/1.1 responses are read, so that a response that isn't
// well-formed is an error. net/http alone reads some of them as sound ones.
package httpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection on which responses are read. A read fails before the end of a head that isn't
// well-formed, and finds the end of the input only if the peer has closed the connection.
type Conn struct {
	net.Conn

	// writing is held while bytes are written. It protects writeErr, the first error of the connection
	// that a write got; nil if none did.
	writing  sync.Mutex
	writeErr error

	// mu protects the following.
	mu   sync.Mutex
	head head
	// headErr is why the last head isn't well-formed; nil if it is.
	headErr error
}

// New returns a connection that was just opened.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// ExpectResponse is called before the head of a response is read. ahead is what was read of it already.
func (c *Conn) ExpectResponse(ahead []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.expect()
	_, c.headErr = c.head.observe(ahead)
	return c.headErr
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.endOfInput()
	}
	sound, headErr := c.observe(b[:n])
	if headErr == nil {
		return n, err
	}
	if sound == 0 {
		return 0, headErr
	}
	return sound, nil // the error comes with the next read
}

// observe returns how much of what was read may be passed on, and why not all of it.
func (c *Conn) observe(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sound int
	sound, c.headErr = c.head.observe(b)
	return sound, c.headErr
}

// failure returns the error of a head that isn't well-formed, if there was one.
func (c *Conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headErr
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil && endsInput(err) {
		c.writeErr = err
	}
	return n, err
}

// endsInput reports whether an error of a write means that the input has broken off. EPIPE doesn't: the peer
// had closed the connection before it was reset, so that the input is whole.
func endsInput(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE)
}

// endOfInput returns io.EOF if the peer has closed the connection, and the error of the connection if it broke.
// The kernel tells such an error once: if a write got it, a read finds an end like any other.
func (c *Conn) endOfInput() error {
	if !c.writing.TryLock() {
		// A write is in progress and may have got the error. The exchange ends with the input, so that
		// the write may end, too.
		if err := c.SetWriteDeadline(expired); err != nil {
			return err
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return c.writeErr
	}
	return io.EOF
}
