package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/entry"
	"github.com/medlarsill/medlarsill/pkg/httpserver"
)

// pipeListener accepts one end of each in-memory connection.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serveOverPipe serves an entry on an unbuffered in-memory connection and passes
// the caller's end to f.
func serveOverPipe(t *testing.T, f func(g *gomega.WithT, conn net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 1)
		l := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		server := httpserver.New("", c.nodes[0].handler)
		go func() { _ = server.Serve(l) }()
		caller, accepted := net.Pipe()
		l.conns <- accepted
		f(gomega.NewWithT(t), caller)
		_ = caller.Close()
		_ = server.Close()
		c.close()
	})
}

func requestHead(path, more string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\n" + more + "\r\n"
}

// timeUntilClosed writes every second, without reading, until a write fails
// because the server has closed the connection. It returns the time that took.
func timeUntilClosed(g *gomega.WithT, conn net.Conn, write func() error) time.Duration {
	start := time.Now()
	for {
		time.Sleep(time.Second)
		if err := write(); err != nil {
			return time.Since(start)
		}
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 5*time.Minute), "connection is still open")
	}
}

// probeWrite returns a function that writes one byte to a connection; a timeout
// is no error, since the server may have stopped reading.
func probeWrite(conn net.Conn) func() error {
	return func() error {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Millisecond))
		_, err := conn.Write([]byte("x"))
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			return nil
		}
		return err
	}
}

// TestConnectionIsClosedWhenCallerStopsReading checks that the connection is
// closed if the caller reads neither a stream nor a complete response.
func TestConnectionIsClosedWhenCallerStopsReading(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream=%v", stream), func(t *testing.T) {
			serveOverPipe(t, func(g *gomega.WithT, conn net.Conn) {
				body := fmt.Sprintf(`{"model":"assistant","stream":%v,"messages":[{"role":"user","content":"x"}]}`, stream)
				_, err := io.WriteString(conn, requestHead("/v1/chat/completions", fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				responseTime := 64 * tokenInterval
				g.Expect(timeUntilClosed(g, conn, probeWrite(conn))).To(gomega.BeNumerically("<=", responseTime+entry.WriteTimeout+3*time.Second))
			})
		})
	}
}

// TestSlowOrOversizedRequestsAreCutOff checks the limits on the time for the
// header and the body and on the size of the header.
func TestSlowOrOversizedRequestsAreCutOff(t *testing.T) {
	t.Run("header", func(t *testing.T) {
		serveOverPipe(t, func(g *gomega.WithT, conn net.Conn) {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\n")
			_, err := io.ReadAll(conn)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		})
	})
	t.Run("body", func(t *testing.T) {
		serveOverPipe(t, func(g *gomega.WithT, conn net.Conn) {
			start := time.Now()
			_, _ = io.WriteString(conn, requestHead("/v1/completions", "Content-Length: 100\r\nConnection: close\r\n")+"{")
			data, err := io.ReadAll(conn)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(data)).To(gomega.HavePrefix("HTTP/1.1 " + fmt.Sprint(http.StatusRequestTimeout)))
			g.Expect(string(data)).To(gomega.ContainSubstring("body_not_received"))
			g.Expect(time.Since(start)).To(gomega.BeNumerically("<=", entry.BodyTimeout+time.Second))
		})
	})
	t.Run("header flood", func(t *testing.T) {
		serveOverPipe(t, func(g *gomega.WithT, conn net.Conn) {
			go func() {
				_, _ = io.WriteString(conn, requestHead("/v1/completions", "X: "+strings.Repeat("x", 64<<10)+"\r\n"))
			}()
			data, _ := io.ReadAll(conn)
			g.Expect(string(data)).To(gomega.HavePrefix("HTTP/1.1 431"))
		})
	})
}
