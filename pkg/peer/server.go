package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/connbudget"
)

// Server serves calls from peers.
type Server struct {
	rpc    *rpc.Server
	tls    *tls.Config
	limits limits

	mu    sync.Mutex
	conns map[*limited]struct{}
}

// NewServer returns a server without services. If tlsConfig is nil, it serves without TLS.
func NewServer(tlsConfig *tls.Config) *Server {
	return &Server{rpc: rpc.NewServer(), tls: tlsConfig, limits: limits{messages: connbudget.NewHeads(messageMemory)}, conns: make(map[*limited]struct{})}
}

// Register adds a net/rpc service whose methods peers call as "name.Method".
func (s *Server) Register(name string, service any) error {
	if err := s.rpc.RegisterName(name, service); err != nil {
		return eris.Wrap(err, "peer: register")
	}
	return nil
}

// Run listens on a TCP address and serves until the context ends.
func (s *Server) Run(ctx context.Context, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "peer: listen")
	}
	return s.Serve(ctx, l)
}

// Serve accepts connections from a listener until the context ends, and then closes
// all of them.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer s.closeAll()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "peer: accept")
		}
		go s.ServeConn(c)
	}
}

// ServeConn serves one connection until it is closed, within the limits of incoming connections.
func (s *Server) ServeConn(c net.Conn) {
	in := newLimited(c, &s.limits, responseTimeout)
	if s.admit(in) && handshake(c) == nil {
		s.rpc.ServeConn(in)
	}
	_ = in.Close()
	s.mu.Lock()
	delete(s.conns, in)
	s.mu.Unlock()
}

// admit adds a connection. If there are too many, it closes others. It returns false if all others
// have calls in progress.
func (s *Server) admit(c *limited) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxConns && !s.makeRoom() {
		s.limits.report.closed(c, reasonConns)
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// makeRoom closes connections, and reports whether there were any to close. The caller holds the lock.
func (s *Server) makeRoom() bool {
	now := time.Now()
	var list []connbudget.Conn
	var conns []*limited
	for c := range s.conns {
		if candidate, ok := c.candidate(now); ok {
			list, conns = append(list, candidate), append(conns, c)
		}
	}
	victims := connbudget.Victims(list, maxVictims)
	for _, i := range victims {
		s.limits.report.closed(conns[i], reasonConns)
		_ = conns[i].Conn.Close()
		delete(s.conns, conns[i])
	}
	return len(victims) > 0
}

// handshake completes the handshake of a TLS connection within HandshakeTimeout.
func handshake(c net.Conn) error {
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), HandshakeTimeout)
	defer cancel()
	return t.HandshakeContext(ctx)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}
