package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// server is a TCP server that counts its connections and requests.
type server struct {
	net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

// serve starts a server; answer writes the response to the n-th request and returns
// false to close the connection.
func serve(t *testing.T, answer func(n int64, c net.Conn) bool) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &server{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if !answer(s.requests.Add(1), c) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func (s *server) addr() string { return s.Addr().String() }

func newRequest() *http.Request {
	return &http.Request{Method: "GET", Host: "a.example", URL: &url.URL{Scheme: "http", Host: "a.example", Opaque: "/x"}, Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1}
}

// idleLimit is the largest number of idle connections to an address in these tests.
const idleLimit = 2

// newPool returns a pool with a dial timeout that is long enough for a busy machine.
func newPool(now func() time.Time) *Pool {
	p := NewPool(now)
	p.DialTimeout = time.Minute
	return p
}

func acceptAny(*http.Response) bool { return true }

func roundTrip(p *Pool, addr string, isOwn func(*http.Response) bool) (string, error) {
	c, err := p.Get(context.Background(), addr)
	if err != nil {
		return "", err
	}
	resp, err := c.Do(newRequest(), isOwn)
	if err != nil {
		p.Put(addr, c, false, idleLimit)
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	p.Put(addr, c, err == nil, idleLimit)
	return string(body), err
}

func TestPool_ReusesIdleConnection(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(n int64, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
		return true
	})
	p := newPool(time.Now)
	for i := 1; i <= 3; i++ {
		body, err := roundTrip(p, s.addr(), acceptAny)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal(fmt.Sprint(i)))
	}
	g.Expect(s.conns.Load()).To(BeEquivalentTo(1))
}

// TestConn_DoesNotResendRequest has the server close a reused connection after
// reading a request.
func TestConn_DoesNotResendRequest(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(n int64, c net.Conn) bool {
		if n == 1 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return false // close without a response
	})
	p := newPool(time.Now)
	_, err := roundTrip(p, s.addr(), acceptAny)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = roundTrip(p, s.addr(), acceptAny)
	g.Expect(err).To(MatchError(ErrUnknown))
	g.Expect(s.requests.Load()).To(BeEquivalentTo(2))
}

// Guards against an endpoint that is taken for ended while it is silent or cut off.
func TestPool_RefusesOnlyIfConnectionIsRefused(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(time.Now)
	for err, want := range map[error]bool{
		syscall.ECONNREFUSED: true, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, syscall.ECONNRESET: false, context.DeadlineExceeded: false,
	} {
		p.Dial = func(context.Context, string) (net.Conn, error) { return nil, &net.OpError{Op: "dial", Err: err} }
		g.Expect(p.Refuses("addr")).To(Equal(want), err.Error())
	}
}

// Guards against an endpoint that counts as reached since something on the way accepts
// connections and resets them.
func TestPool_HoldsOnlyIfConnectionStaysOpen(t *testing.T) {
	g := NewWithT(t)
	held := serve(t, func(int64, net.Conn) bool { return true })
	g.Expect(newPool(time.Now).Holds(held.addr())).To(BeTrue())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Close()
		}
	}()
	g.Expect(newPool(time.Now).Holds(l.Addr().String())).To(BeFalse())
	l.Close()
	g.Expect(newPool(time.Now).Holds(l.Addr().String())).To(BeFalse())
}

func TestPool_DialFailureIsErrNotSent(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l.Close()
	_, err = roundTrip(newPool(time.Now), l.Addr().String(), acceptAny)
	g.Expect(err).To(MatchError(ErrNotSent))
}

func TestPool_DoesNotReuseUnsafeConnections(t *testing.T) {
	for name, c := range map[string]struct{ first string }{
		"Connection: close":                     {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\n1"},
		"unexpected second response":            {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n9"},
		"unexpected bytes after the response":   {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1garbage"},
		"idle timeout of zero":                  {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0, max=5\r\nContent-Length: 1\r\nConnection: close\r\n\r\n1"},
		"close after an informational response": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n1"},
		"response delimited by close":           {"HTTP/1.1 200 OK\r\n\r\n1"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(n int64, conn net.Conn) bool {
				if n == 1 {
					fmt.Fprint(conn, c.first)
					return strings.Contains(c.first, "Content-Length")
				}
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
				return true
			})
			p := newPool(time.Now)
			body, err := roundTrip(p, s.addr(), acceptAny)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("1"))
			body, err = roundTrip(p, s.addr(), acceptAny)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("2"))
			g.Expect(s.conns.Load()).To(BeEquivalentTo(2))
		})
	}
}

// Guards against connections that are opened anew since the read deadline of a former
// request has passed while they were idle.
func TestPool_ReusesConnectionAfterItsReadDeadline(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(int64, net.Conn) bool { return true })
	p := newPool(time.Now)
	c, err := p.Get(context.Background(), s.addr())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.SetReadDeadline(time.Now().Add(-time.Second))).To(Succeed())
	p.Put(s.addr(), c, true, idleLimit)
	again, err := p.Get(context.Background(), s.addr())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(BeIdenticalTo(c))
	again.Close()
}

func TestConn_SkipsResponseToAnotherRequest(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(n int64, c net.Conn) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Of: other\r\nContent-Length: 5\r\n\r\nstray")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Of: own\r\nContent-Length: 3\r\n\r\nown")
		return true
	})
	isOwn := func(r *http.Response) bool { return r.Header.Get("X-Of") == "own" }
	p := newPool(time.Now)
	for range 2 {
		body, err := roundTrip(p, s.addr(), isOwn)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("own"))
	}
	g.Expect(s.conns.Load()).To(BeEquivalentTo(2), "the connection must not be reused")
}

func TestConn_TruncatedResponseIsError(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n123",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\n",
		"HTTP/1.1 200 OK\r\nContent-Le",
	} {
		s := serve(t, func(_ int64, c net.Conn) bool {
			fmt.Fprint(c, text)
			return false
		})
		_, err := roundTrip(newPool(time.Now), s.addr(), acceptAny)
		g.Expect(err).To(HaveOccurred(), text)
	}
}

func TestPool_ExpiresIdleConnectionsBeforeEndpointTimeout(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := serve(t, func(_ int64, c net.Conn) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	p := newPool(func() time.Time { return now })
	use := func() {
		_, err := roundTrip(p, s.addr(), acceptAny)
		g.Expect(err).NotTo(HaveOccurred())
	}
	use()
	now = now.Add(6 * time.Second)
	use()
	g.Expect(s.conns.Load()).To(BeEquivalentTo(1))
	now = now.Add(8 * time.Second)
	use()
	g.Expect(s.conns.Load()).To(BeEquivalentTo(2))
	now = now.Add(8 * time.Second)
	p.CloseExpired()
	g.Expect(p.idle).To(BeEmpty())
}

func TestPool_CloseIdleClosesConnectionsOfAddress(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int64, c net.Conn) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	p := newPool(time.Now)
	_, err := roundTrip(p, s.addr(), acceptAny)
	g.Expect(err).NotTo(HaveOccurred())
	p.CloseIdle(s.addr())
	_, err = roundTrip(p, s.addr(), acceptAny)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.conns.Load()).To(BeEquivalentTo(2))
}

func TestPool_BoundsIdleConnectionsPerAddress(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int64, c net.Conn) bool { return true })
	p := newPool(time.Now)
	var conns []*Conn
	for range idleLimit + 3 {
		c, err := p.dial(context.Background(), s.addr())
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, c)
	}
	for _, c := range conns {
		p.Put(s.addr(), c, true, idleLimit)
	}
	g.Expect(p.idle[s.addr()]).To(HaveLen(idleLimit))
	p.CloseIdle(s.addr())
}

// TestConn_EarlyResponseToLongBodyDisablesReuse covers an endpoint that responds
// before it has read the request body.
func TestConn_EarlyResponseToLongBodyDisablesReuse(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	conns := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 100))
		fmt.Fprint(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		conns <- c
	}()
	p := newPool(time.Now)
	c, err := p.Get(context.Background(), l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	req := newRequest()
	req.Method = "POST"
	req.ContentLength = 64 << 20
	req.Body = io.NopCloser(io.LimitReader(zeros{}, req.ContentLength))
	resp, err := c.Do(req, acceptAny)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(413))
	p.Put(l.Addr().String(), c, true, idleLimit)
	g.Expect(p.idle).To(BeEmpty(), "the connection must not be reused while the body is incomplete")
	(<-conns).Close()
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }
