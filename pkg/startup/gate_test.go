package startup_test

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/startup"
)

// gateWorld is a process behind a gate. It refuses requests while it knows nothing.
type gateWorld struct {
	known   atomic.Bool
	arrived atomic.Pointer[time.Time]
	handler http.Handler
}

func newGateWorld() *gateWorld {
	w := &gateWorld{}
	gate := &startup.Gate{Known: w.known.Load, Now: time.Now, StartedAt: time.Now(), WithArrival: func(ctx context.Context, at time.Time) context.Context {
		w.arrived.Store(&at)
		return ctx
	}}
	w.handler = gate.Handler(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		if !w.known.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	return w
}

// request sends a request and returns its status, 0 if it was aborted, and how long it took.
func (w *gateWorld) request(ctx context.Context) (status int, took time.Duration) {
	sent := time.Now()
	out := httptest.NewRecorder()
	defer func() {
		if err := recover(); err != nil {
			if err != http.ErrAbortHandler {
				panic(err)
			}
			status, took = 0, time.Since(sent)
		}
	}()
	w.handler.ServeHTTP(out, httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx))
	return out.Code, time.Since(sent)
}

// Guards against callers that are refused by all instances while these read what they need after
// a loss of all of them.
func TestGate_HoldsRequestsUntilProcessKnowsWhatItNeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newGateWorld()
		time.AfterFunc(302*time.Millisecond, func() { w.known.Store(true) })
		time.Sleep(100 * time.Millisecond)
		arrived := time.Now()
		status, took := w.request(t.Context())
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(took).To(Equal(205 * time.Millisecond))
		g.Expect(*w.arrived.Load()).To(Equal(arrived))
		status, took = w.request(t.Context())
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(took).To(BeZero())
	})
}

// A process that reaches no store must refuse requests soon, and hold none later on.
func TestGate_HoldsNoRequestsForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newGateWorld()
		status, took := w.request(t.Context())
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(took).To(Equal(600 * time.Millisecond))
		status, took = w.request(t.Context())
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(took).To(BeZero())
	})
}

// A request whose caller has left while it was held must not be sent to an endpoint.
func TestGate_DropsRequestsOfCallersThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newGateWorld()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		status, took := w.request(ctx)
		g.Expect(status).To(BeZero(), "it is aborted")
		g.Expect(took).To(Equal(50 * time.Millisecond))
		g.Expect(w.arrived.Load()).To(BeNil(), "the request isn't passed on")
	})
}

// Guards against a caller that closes its side for writing while its request is held, and gets an
// empty success.
func TestGate_AnswersNoSuccessOfItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newGateWorld()
		client, server := net.Pipe()
		halfClosed := make(chan struct{})
		l := &oneConnListener{conn: &halfClosingConn{Conn: server, halfClosed: halfClosed}, closed: make(chan struct{})}
		s := &http.Server{Handler: w.handler, ErrorLog: log.New(io.Discard, "", 0)}
		go func() { _ = s.Serve(l) }()
		defer s.Close()
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(100*time.Millisecond, func() { close(halfClosed) })
		text, _ := io.ReadAll(client)
		g.Expect(string(text)).To(BeEmpty())
	})
}

// oneConnListener accepts one connection.
type oneConnListener struct {
	conn   net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *oneConnListener) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *oneConnListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// halfClosingConn is a connection whose caller closes its side for writing.
type halfClosingConn struct {
	net.Conn
	halfClosed chan struct{}
}

func (c *halfClosingConn) Read(b []byte) (int, error) {
	type result struct {
		n   int
		err error
	}
	read := make(chan result, 1)
	buf := make([]byte, len(b))
	go func() {
		n, err := c.Conn.Read(buf)
		read <- result{n, err}
	}()
	select {
	case r := <-read:
		copy(b, buf[:r.n])
		return r.n, r.err
	case <-c.halfClosed:
		return 0, io.EOF
	}
}
