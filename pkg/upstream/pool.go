package upstream

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Times of connections.
const (
	// DefaultDialTimeout bounds the opening of a connection; a healthy one takes milliseconds.
	DefaultDialTimeout = 150 * time.Millisecond
	// userTimeout is how long sent bytes may stay without acknowledgement.
	userTimeout = 700 * time.Millisecond
	// keepAlivePeriod is the silence after which the kernel asks whether the peer lives.
	keepAlivePeriod = time.Second
	// defaultKeep is how long an idle connection is kept if the endpoint doesn't say.
	defaultKeep = 4 * time.Second
	// keepShare is the share of the endpoint's idle timeout after which a connection isn't used again.
	keepShare = 0.7
)

// Pool keeps idle connections to endpoints, by address. It is safe for concurrent use.
type Pool struct {
	Now func() time.Time
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool(now func() time.Time) *Pool {
	return &Pool{Now: now, DialTimeout: DefaultDialTimeout, idle: make(map[string][]*Conn)}
}

// Get returns an idle connection or opens one; the error is ErrUnsent.
func (p *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	for {
		c := p.take(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if p.fresh(c) && c.clean() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
}

// take returns the connection that became idle last, or nil.
func (p *Pool) take(addr string) *Conn {
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

// fresh tells whether the endpoint surely still keeps an idle connection.
func (p *Pool) fresh(c *Conn) bool {
	keep := c.keep
	if keep == 0 {
		keep = defaultKeep
	}
	return p.Now().Sub(c.idle) < time.Duration(float64(keep)*keepShare)
}

func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	d := net.Dialer{Timeout: p.DialTimeout, Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: 2,
	}}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrap(ErrUnsent, err.Error())
	}
	return newConn(c), nil
}

// setUserTimeout makes the kernel end a connection whose peer doesn't acknowledge.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Put takes a connection back after its request has ended; whole tells whether
// the answer was read to its end. At most limit idle ones are kept to an address.
func (p *Pool) Put(addr string, c *Conn, whole bool, limit int) {
	if !whole || c.spoiled || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	c.idle = p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= limit {
		c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// Drop closes the idle connections to an address, after one of them fell silent.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Sweep closes the connections that are too old to be used again.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if p.fresh(c) {
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
