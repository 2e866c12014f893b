// Package httpserver provides an HTTP server with graceful shutdown, and the
// handler for metrics and health checks that all processes serve.
package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/medlarsill/medlarsill/pkg/connbudget"
	"github.com/medlarsill/medlarsill/pkg/ingress"
)

// headerTimeout is the time limit for reading the request headers.
const headerTimeout = 5 * time.Second

// idleTimeout is how long an idle connection is kept open.
const idleTimeout = 2 * time.Minute

// maxHeaderBytes is the maximum size of the request headers.
const maxHeaderBytes = 32 << 10

// headMemory is the memory that the large heads of requests may take in a process. Ordinary heads
// take none of it.
const headMemory = 8 << 20

// heads shares the memory for heads between the servers of a process.
var heads = connbudget.NewHeads(headMemory)

// New returns a server with the timeouts and limits common to all processes.
func New(addr string, h http.Handler) *http.Server {
	return &http.Server{
		Addr: addr, Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
}

// Run listens on the server's address and calls Serve.
func Run(ctx context.Context, s *http.Server, grace time.Duration) error {
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	return Serve(ctx, s, l, grace)
}

// Serve serves until ctx is done, with TLS if s.TLSConfig is set. Then it shuts the
// server down and waits up to grace for open requests before closing them.
func Serve(ctx context.Context, s *http.Server, l net.Listener, grace time.Duration) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- serve(s, l) }()
	select {
	case err := <-serveErr:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ctx.Done()
		return nil
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	err := s.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return s.Close()
	}
	return err
}

// serve adds TLS below the listener that counts the bytes of heads. To net/http the connections are ones
// without TLS, so that requests have no TLS state and HTTP/2 isn't served.
func serve(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		l = tls.NewListener(l, s.TLSConfig)
	}
	return s.Serve(ingress.Protect(s, l, heads))
}

// Operations returns the handler for /metrics, /healthz and /readyz.
func Operations(g prometheus.Gatherer, ready func() bool) http.Handler {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(g, promhttp.HandlerOpts{})))
	e.GET("/healthz", func(c *echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c *echo.Context) error {
		if !ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return e
}
