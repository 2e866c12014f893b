// Package httpconn wraps connections on which HTTP/1.1 responses are read, so that a response that isn't
// well-formed is an error. net/http alone reads some of them as sound ones.
package httpconn

import (
	"net"
	"sync"
)

// Conn is a connection on which responses are read. A read fails before the end of a head that isn't
// well-formed.
type Conn struct {
	net.Conn

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

func (c *Conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headErr
}
