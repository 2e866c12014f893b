// Package peer makes and serves net/rpc calls between the system's own processes. It
// has a directory of peers, a client with one connection per peer, and a server.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/connbudget"
	"github.com/medlarsill/medlarsill/pkg/resetconn"
)

// Time limits of connections.
const (
	// DialTimeout is the time limit for setting up a connection.
	DialTimeout = 300 * time.Millisecond
	// HandshakeTimeout is the time limit of the TLS handshake of an incoming connection.
	HandshakeTimeout = 2 * time.Second
	// writeTimeout is the time limit of one write, for peers that have stopped
	// reading from the connection.
	writeTimeout = 500 * time.Millisecond
)

// Errors returned by calls.
var (
	// ErrUnknownPeer means that the directory has no such peer.
	ErrUnknownPeer = eris.New("peer: unknown peer")
	// ErrUnreachable means that no connection could be set up; the call was not sent.
	ErrUnreachable = eris.New("peer: unreachable")
	// ErrNoAnswer means that the call may have been sent; its outcome is unknown.
	ErrNoAnswer = eris.New("peer: no answer")
	// ErrRemote means that the peer answered with an error.
	ErrRemote = eris.New("peer: remote error")
)

// Info is the directory entry of one peer.
type Info struct {
	ID         string
	DataCentre string
	// Addr is the peer's IP address and port for calls.
	Addr string
}

// Directory holds the known peers. The zero value is empty and ready to use.
type Directory struct {
	mu    sync.RWMutex
	peers map[string]Info
}

// Set replaces the known peers.
func (d *Directory) Set(peers []Info) {
	m := make(map[string]Info, len(peers))
	for _, p := range peers {
		m[p.ID] = p
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = m
}

// Get returns a peer by id.
func (d *Directory) Get(id string) (Info, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	p, ok := d.peers[id]
	return p, ok
}

// All returns the peers, sorted by id.
func (d *Directory) All() []Info {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make([]Info, 0, len(d.peers))
	for _, p := range d.peers {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Info) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Caller makes calls to peers. Client implements it; tests use fakes.
type Caller interface {
	Call(ctx context.Context, id, method string, args, reply any) error
}

// Client keeps one connection per peer. A call that times out closes the connection,
// so that the next call dials a new one: an established connection can stop carrying
// data for good while new ones work. A call that is cancelled leaves the connection
// open for the other calls.
type Client struct {
	dir    *Directory
	tls    *tls.Config
	limits limits

	mu    sync.Mutex
	conns map[string]*conn
}

type conn struct {
	mu     sync.Mutex
	addr   string
	client *rpc.Client
	// broken is set once a read from the client's connection has failed.
	broken *atomic.Bool
}

var _ Caller = (*Client)(nil)

// NewClient returns a client for the peers in a directory. tlsConfig may be nil.
func NewClient(dir *Directory, tlsConfig *tls.Config) *Client {
	return &Client{dir: dir, tls: tlsConfig, limits: limits{messages: connbudget.NewHeads(messageMemory)}, conns: make(map[string]*conn)}
}

// Call calls a method such as "Handover.Adopt" on a peer and waits for its reply or
// the end of the context.
func (c *Client) Call(ctx context.Context, id, method string, args, reply any) error {
	info, ok := c.dir.Get(id)
	if !ok {
		return eris.Wrap(ErrUnknownPeer, id)
	}
	return c.CallAddr(ctx, info.Addr, method, args, reply)
}

// CallAddr is Call with an address in place of a peer's id.
func (c *Client) CallAddr(ctx context.Context, addr, method string, args, reply any) error {
	cn := c.conn(addr)
	client, err := cn.dial(ctx, c.tls, &c.limits)
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	// The reply is decoded into a copy, as one that arrives after the end of the context
	// must not write to the caller's variable.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, answer.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(answer.Elem())
		}
		return cn.finish(client, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cn.drop(client)
		}
		return eris.Wrap(ErrNoAnswer, ctx.Err().Error())
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.conns {
		cn.mu.Lock()
		if cn.client != nil {
			_ = cn.client.Close()
		}
		cn.mu.Unlock()
	}
}

// conn returns the connection record for an address.
func (c *Client) conn(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn, ok := c.conns[addr]
	if !ok {
		cn = &conn{addr: addr}
		c.conns[addr] = cn
	}
	return cn
}

// dial returns the current client, or dials a new connection if there is none or it is broken.
func (c *conn) dial(ctx context.Context, tlsConfig *tls.Config, l *limits) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil && !c.broken.Load() {
		return c.client, nil
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := dial(ctx, c.addr, tlsConfig)
	if err != nil {
		return nil, err
	}
	c.broken = new(atomic.Bool)
	c.client = rpc.NewClient(watchedConn{Conn: newLimited(raw, l, writeTimeout), broken: c.broken})
	return c.client, nil
}

// dial opens a connection that is reset when it is closed, so that no call that was given up arrives
// later.
func dial(ctx context.Context, addr string, tlsConfig *tls.Config) (net.Conn, error) {
	d := net.Dialer{Control: resetconn.Control}
	if tlsConfig == nil {
		return d.DialContext(ctx, "tcp", addr)
	}
	secure := tls.Dialer{NetDialer: &d, Config: tlsConfig}
	return secure.DialContext(ctx, "tcp", addr)
}

// watchedConn sets broken when a read fails, so that the next call dials a new connection.
type watchedConn struct {
	net.Conn
	broken *atomic.Bool
}

// Read implements net.Conn.
func (c watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

// finish returns the error of a completed call, and drops the client unless the peer
// has answered.
func (c *conn) finish(client *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return eris.Wrap(ErrRemote, err.Error())
	}
	c.drop(client)
	return eris.Wrap(ErrNoAnswer, err.Error())
}

// drop closes a client and forgets it if it is the current one.
func (c *conn) drop(client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == client {
		c.client = nil
	}
	_ = client.Close()
}
