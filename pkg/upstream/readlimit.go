package upstream

import (
	"errors"
	"net"
	"os"
	"time"
)

// deadlineReader reads from a connection, and asks what to do when its read deadline passes.
type deadlineReader struct {
	net.Conn
	// onTimeout returns the next deadline; the zero time ends the read. nil ends it, too.
	onTimeout func() time.Time
}

// Read implements io.Reader.
func (r *deadlineReader) Read(b []byte) (int, error) {
	for {
		n, err := r.Conn.Read(b)
		if n > 0 || r.onTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		next := r.onTimeout()
		if next.IsZero() {
			return n, err
		}
		if err := r.Conn.SetReadDeadline(next); err != nil {
			return n, err
		}
	}
}

// SetReadDeadline implements net.Conn. A read that isn't done by then fails.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.reader.onTimeout = nil
	return c.Conn.SetReadDeadline(t)
}

// SetReadLimit sets a read deadline at which onTimeout decides, within the read, whether it
// fails: it returns the next deadline, or the zero time if it does. It must not be called while
// the connection is being read.
func (c *Conn) SetReadLimit(t time.Time, onTimeout func() time.Time) error {
	c.reader.onTimeout = onTimeout
	return c.Conn.SetReadDeadline(t)
}
