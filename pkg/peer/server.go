package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"

	"github.com/rotisserie/eris"
)

// Server serves calls from peers.
type Server struct {
	rpc *rpc.Server
	tls *tls.Config

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server without services. If tlsConfig is nil, it serves without TLS.
func NewServer(tlsConfig *tls.Config) *Server {
	return &Server{rpc: rpc.NewServer(), tls: tlsConfig, conns: make(map[net.Conn]struct{})}
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

// ServeConn serves one connection until it is closed.
func (s *Server) ServeConn(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if handshake(c) == nil {
		s.rpc.ServeConn(c)
	}
	_ = c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
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
