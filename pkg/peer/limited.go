package peer

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/connbudget"
)

// Limits of connections. Peers don't reach them: they send a request of up to 3 MB with what they combine,
// and 43 definitions of types.
const (
	// maxMessageBytes bounds a message.
	maxMessageBytes = 8 << 20
	// maxDefinitions bounds the definitions of types on a connection, which are kept until it is closed.
	maxDefinitions = 512
	// messageMemory is the memory that unfinished messages and calls in progress may take in a process.
	messageMemory = 24 << 20
	// callBytes is the memory that counts for a call in progress, most of which is a goroutine: 8,200 calls
	// took 13 KB each, with the collector's share.
	callBytes = 8 << 10
	// freeBytes is the memory of a connection up to which it isn't counted, and stepBytes the step in
	// which more is counted, so that few messages take the lock of the budget.
	freeBytes = 32 << 10
	stepBytes = 32 << 10
	// maxConns bounds the number of connections. 880 peers have one each, and for a moment two.
	maxConns = 2048
	// maxVictims is the largest number of connections that are closed at once to make room.
	maxVictims = maxConns / 32
	// responseTimeout is the time limit of one write of a response.
	responseTimeout = 5 * time.Second
)

// MaxBatchBytes is the size from which callers add nothing more to a call.
const MaxBatchBytes = maxMessageBytes / 2

// errOutsideLimits ends a connection on which more is sent than is allowed.
var errOutsideLimits = eris.New("peer: connection outside the limits")

// limits are what the connections of a server or a client share.
type limits struct {
	// messages is the memory of unfinished messages and calls in progress.
	messages *connbudget.Heads
	report   report
}

// limited is a connection within the limits. It follows the gob messages of net/rpc in both directions:
// a request and a response have two values each.
type limited struct {
	net.Conn
	limits *limits
	source connbudget.Source
	// writeTimeout is the time limit of one write.
	writeTimeout time.Duration
	// ahead holds what was received of large messages. Only the goroutine that reads uses it.
	ahead chunks

	mu      sync.Mutex
	in, out frames
	// held is the memory that the connection holds of the server's budget, and closed is true once
	// it holds none any more.
	held   int64
	closed bool
	// since is when the connection was opened, or last began to have nothing in progress.
	since time.Time
}

// newLimited returns a connection that was just opened.
func newLimited(c net.Conn, l *limits, writeTimeout time.Duration) *limited {
	return &limited{Conn: c, limits: l, source: connbudget.SourceOfAddr(c.RemoteAddr()), writeTimeout: writeTimeout, since: time.Now()}
}

// Source implements connbudget.Holder.
func (c *limited) Source() connbudget.Source { return c.source }

// Evict implements connbudget.Holder.
func (c *limited) Evict() bool {
	c.limits.report.closed(c, reasonMemory)
	_ = c.Conn.Close()
	return true
}

// Read implements net.Conn. It keeps a large message until all of it was received: the decoder of net/rpc
// allocates as much as is announced.
func (c *limited) Read(b []byte) (int, error) {
	if n := c.ahead.next(b); n > 0 {
		return n, nil
	}
	n, err := c.receive(b)
	if err != nil || !c.receivesLarge() {
		return n, err
	}
	c.ahead.append(b[:n])
	for c.receivesLarge() {
		n, err := c.receive(c.ahead.space())
		if err != nil {
			c.ahead.clear()
			return 0, err
		}
		c.ahead.fill(n)
	}
	return c.ahead.next(b), nil
}

// receive reads from the connection within the limits.
func (c *limited) receive(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		if err != nil {
			c.release()
		}
		return n, err
	}
	if reason := c.follow(b[:n]); reason != "" {
		c.limits.report.closed(c, reason)
		_ = c.Conn.Close() // net/rpc closes it only once all calls have ended
		return 0, errOutsideLimits
	}
	return n, nil // an error comes again with the next read
}

// receivesLarge reports whether a large message isn't complete.
func (c *limited) receivesLarge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.in.size > freeBytes
}

// follow follows received bytes. It returns the limit that they exceed, if any.
func (c *limited) follow(b []byte) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.in.follow(b)
	switch {
	case c.in.size > maxMessageBytes:
		return reasonMessage
	case c.in.definitions > maxDefinitions:
		return reasonDefinitions
	case !c.hold():
		return reasonMemory
	}
	return ""
}

// Write implements net.Conn. A peer that doesn't read is disconnected.
func (c *limited) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		_ = c.Conn.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out.follow(b[:n])
	c.hold()
	return n, err
}

// hold counts the memory of the connection. It returns false if there is none for it. The caller
// holds the lock.
func (c *limited) hold() bool {
	if c.closed {
		return true
	}
	if !c.busy() {
		c.since = time.Now()
	}
	size := int64(c.in.size-c.in.left) + callBytes*int64(c.calls())
	if size <= freeBytes {
		size = 0
	}
	size = (size + stepBytes - 1) / stepBytes * stepBytes
	if size == c.held {
		return true
	}
	c.held = size
	return c.limits.messages.Hold(c, size)
}

// calls returns the number of incoming calls without a complete response.
func (c *limited) calls() int { return max(0, (c.in.values+1)/2-c.out.values/2) }

// busy reports whether a message or a call is in progress.
func (c *limited) busy() bool { return c.in.size > 0 || c.calls() > 0 }

// Close implements net.Conn. It returns the memory that the connection holds.
func (c *limited) Close() error {
	defer c.release()
	return c.Conn.Close()
}

func (c *limited) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.limits.messages.Release(c)
}

// candidate returns what decides whether the connection is closed to make room for another one, and
// false if it isn't: a call is in progress.
func (c *limited) candidate(now time.Time) (connbudget.Conn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := connbudget.Conn{Source: c.source, Stage: connbudget.Idle, Age: now.Sub(c.since)}
	if c.in.values == 0 {
		out.Stage = connbudget.Pending
		return out, true
	}
	return out, !c.busy()
}
