package upstream

import (
	"errors"
	"net"
	"os"
	"time"
)

// inputCheckTime is how long a check for input waits for it.
const inputCheckTime = time.Millisecond

// deadlineReader reads from a connection, and asks what to do when its read deadline passes.
type deadlineReader struct {
	net.Conn
	// onTimeout returns the next deadline; the zero time ends the read. nil ends it, too.
	onTimeout func() time.Time
	// ahead holds the byte, and aheadErr the error, that a check for input has read.
	ahead    []byte
	aheadErr error
}

// Read implements io.Reader.
func (r *deadlineReader) Read(b []byte) (int, error) {
	for {
		n, err := r.readOnce(b)
		if n > 0 || r.onTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		// The deadline may have passed while the process stood still: what arrived before it
		// was seen counts.
		if r.inputWaits() || r.aheadErr != nil {
			continue
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

// readOnce returns what a check for input has read, or else reads.
func (r *deadlineReader) readOnce(b []byte) (int, error) {
	if len(r.ahead) > 0 {
		n := copy(b, r.ahead)
		r.ahead = r.ahead[n:]
		return n, nil
	}
	if r.aheadErr != nil {
		return 0, r.aheadErr
	}
	return r.Conn.Read(b)
}

// inputWaits reports whether there is input. It changes the read deadline.
func (r *deadlineReader) inputWaits() bool {
	if len(r.ahead) > 0 || r.aheadErr != nil {
		return len(r.ahead) > 0
	}
	if err := r.SetReadDeadline(time.Now().Add(inputCheckTime)); err != nil {
		return false
	}
	var b [1]byte
	n, err := r.Conn.Read(b[:])
	r.ahead = b[:n]
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		r.aheadErr = err
	}
	return n > 0
}

// InputWaits reports whether the endpoint has sent more while a read of the connection is held up
// by the function given to SetReadLimit. It must not be called at another time.
func (c *Conn) InputWaits() bool { return c.reader.inputWaits() }

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
