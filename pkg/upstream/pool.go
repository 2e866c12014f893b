package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/medlarsill/medlarsill/pkg/resetconn"
)

// Timeouts of connections.
const (
	// DefaultDialTimeout bounds the opening of a connection, which takes
	// milliseconds for a healthy endpoint.
	DefaultDialTimeout = 150 * time.Millisecond
	// silenceLimit is how long an endpoint's kernel may acknowledge nothing before the connection
	// ends. A sound endpoint may be silent for a second or two.
	silenceLimit = 5 * time.Second
	// keepAlivePeriod is the idle time before, and the interval between, TCP keep-alive probes.
	keepAlivePeriod = time.Second
	// keepAliveProbes is the number of unanswered probes that ends a connection.
	keepAliveProbes = int(silenceLimit/keepAlivePeriod) - 1
	// holdTime is how long a connection must stay open for Pool.Holds.
	holdTime = 30 * time.Millisecond
	// defaultIdleTimeout is assumed for endpoints that send no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the fraction of the endpoint's idle timeout after which a
	// connection is not reused, since the endpoint may be about to close it.
	idleTimeoutShare = 0.7
)

// Pool holds idle connections to endpoints, by address. It is safe for concurrent use.
type Pool struct {
	Now func() time.Time
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// Ended is called with the address of an idle connection that the endpoint has ended before
	// its idle timeout; nil for none.
	Ended func(addr string)
	// Dial opens a connection; nil means over TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool(now func() time.Time) *Pool {
	return &Pool{Now: now, DialTimeout: DefaultDialTimeout, idle: make(map[string][]*Conn)}
}

// Get returns an idle connection or opens one. Its error wraps ErrNotSent.
func (p *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	for {
		c := p.popIdle(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		reusable := p.reusable(c)
		if reusable && c.inputEmpty() {
			c.reused = true
			return c, nil
		}
		c.Close()
		if reusable && p.Ended != nil {
			p.Ended(addr)
		}
	}
}

// Open opens a connection. Its error wraps ErrNotSent.
func (p *Pool) Open(ctx context.Context, addr string) (*Conn, error) { return p.dial(ctx, addr) }

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// reusable reports whether an idle connection is well within the endpoint's idle
// timeout.
func (p *Pool) reusable(c *Conn) bool {
	timeout := c.idleTimeout
	if timeout == 0 {
		timeout = defaultIdleTimeout
	}
	return p.Now().Sub(c.idleSince) < time.Duration(float64(timeout)*idleTimeoutShare)
}

func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	c, err := p.open(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return newConn(c, p.Now()), nil
}

func (p *Pool) open(ctx context.Context, addr string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, addr)
	}
	return p.dialTCP(ctx, addr)
}

func (p *Pool) dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: p.DialTimeout, Control: setSocketOptions, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes,
	}}
	return d.DialContext(ctx, "tcp", addr)
}

// setSocketOptions sets the options of a socket before it is connected: a request that was given up
// doesn't arrive later, and a silent peer is noticed.
func setSocketOptions(network, addr string, raw syscall.RawConn) error {
	if err := resetconn.Control(network, addr, raw); err != nil {
		return err
	}
	return setUserTimeout(network, addr, raw)
}

// setUserTimeout makes the kernel close a connection whose peer acknowledges neither bytes nor
// keep-alive probes within silenceLimit. The option also decides when probes give up, whatever
// their count.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// Refuses reports whether connections to an address are refused, since no process accepts them.
// An address that doesn't answer in time refuses none.
func (p *Pool) Refuses(addr string) bool { return errors.Is(p.tryOpen(addr), syscall.ECONNREFUSED) }

// Accepts reports whether a connection can be opened to an address.
func (p *Pool) Accepts(addr string) bool { return p.tryOpen(addr) == nil }

// Holds reports whether a connection can be opened to an address and stays open for a moment:
// something on the way may accept connections and reset them.
func (p *Pool) Holds(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), p.DialTimeout)
	defer cancel()
	c, err := p.open(ctx, addr)
	if err != nil {
		return false
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(holdTime)); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// tryOpen opens a connection and closes it.
func (p *Pool) tryOpen(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), p.DialTimeout)
	defer cancel()
	c, err := p.open(ctx, addr)
	if err != nil {
		return err
	}
	return c.Close()
}

// Put returns a connection to the pool after its request has ended. If the response
// was not read to its end (complete is false), it closes the connection. At most
// limit idle connections are kept to an address.
func (p *Pool) Put(addr string, c *Conn, complete bool, limit int) {
	if !complete || c.noReuse || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	// A deadline that passes would make the connection look broken.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.idleSince = p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= limit {
		c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// CloseIdle closes the idle connections to an address. It is called after a request
// to the address got no response, since the other connections may be dead as well.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// CloseExpired closes the idle connections that are too old to be reused.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if p.reusable(c) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}
