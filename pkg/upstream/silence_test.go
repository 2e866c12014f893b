package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/medlarsill/medlarsill/pkg/silentsocket"
)

// soundSilence is how long an endpoint may be silent and go on.
const soundSilence = 1500 * time.Millisecond

// silence makes a connection silent until the returned function is called.
func silence(g *WithT, c net.Conn) (end func()) {
	g.Expect(silentsocket.Begin(c.(*net.TCPConn))).To(Succeed())
	return func() { g.Expect(silentsocket.End(c.(*net.TCPConn))).To(Succeed()) }
}

// Guards against requests that end without an answer since the kernel ends the connection to
// an endpoint that is silent for a moment, as the request is sent or while it runs.
func TestConn_AnswersAfterEndpointWasSilent(t *testing.T) {
	for name, beforeSend := range map[string]bool{"silent as the request is sent": true, "silent while it runs": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			accepted, received := make(chan net.Conn, 1), make(chan struct{}, 2)
			s := serve(t, func(n int64, c net.Conn) bool {
				if n == 1 {
					accepted <- c
				} else {
					received <- struct{}{}
					if !beforeSend {
						time.Sleep(soundSilence + time.Second)
					}
				}
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				return true
			})
			p := newPool(time.Now)
			_, err := roundTrip(p, s.addr(), acceptAny)
			g.Expect(err).NotTo(HaveOccurred())
			server := <-accepted
			go func() {
				if !beforeSend {
					<-received
				}
				end := silence(g, server)
				time.Sleep(soundSilence)
				end()
			}()
			time.Sleep(100 * time.Millisecond) // let the silence begin
			body, err := roundTrip(p, s.addr(), acceptAny)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("ok"))
		})
	}
}

// Guards against the same where the option is what it is, whatever the machine's clock does:
// neither unacknowledged bytes nor unanswered probes may end a connection within soundSilence.
func TestPool_ConnectionsOutlastSilence(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(int64, net.Conn) bool { return true })
	c, err := newPool(time.Now).Get(context.Background(), s.addr())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	option := func(name int) (value int) {
		raw, err := c.Conn.(*net.TCPConn).SyscallConn()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) })).To(Succeed())
		g.Expect(err).NotTo(HaveOccurred())
		return value
	}
	userTimeout := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
	probes := time.Duration(option(unix.TCP_KEEPIDLE)+option(unix.TCP_KEEPINTVL)*option(unix.TCP_KEEPCNT)) * time.Second
	g.Expect(userTimeout == 0 || userTimeout > 2*soundSilence).To(BeTrue(), "user timeout %v", userTimeout)
	g.Expect(probes).To(BeNumerically(">=", 2*soundSilence))
	g.Expect(probes).To(BeNumerically("<=", 10*time.Second), "a connection to an endpoint that is gone must end")
}

// Guards against endpoints whose silence isn't noticed while a request to them is under way.
func TestConn_TellsUnacknowledgedRequest(t *testing.T) {
	g := NewWithT(t)
	accepted := make(chan net.Conn, 1)
	s := serve(t, func(_ int64, c net.Conn) bool {
		accepted <- c
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	p := newPool(time.Now)
	_, err := roundTrip(p, s.addr(), acceptAny)
	g.Expect(err).NotTo(HaveOccurred())
	c, err := p.Get(context.Background(), s.addr())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	g.Eventually(c.Unacknowledged).Should(BeFalse())
	end := silence(g, <-accepted)
	defer end()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Consistently(c.Unacknowledged).Should(BeTrue())
}

// Guards against an endpoint that is taken for silent, and an answer that is thrown away, since the
// instance itself stood still until the limit had passed: the answer had arrived.
func TestConn_TakesAnswerThatArrivedBeforeLimitWasSeen(t *testing.T) {
	g := NewWithT(t)
	answered := make(chan struct{})
	s := serve(t, func(_ int64, c net.Conn) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		close(answered)
		return true
	})
	c, err := newPool(time.Now).Get(context.Background(), s.addr())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	<-answered
	g.Eventually(func() int { return receivedBytes(g, c) }).Should(BeNumerically(">", 0))
	silent := false
	g.Expect(c.SetReadLimit(time.Now().Add(-time.Second), func() time.Time { silent = true; return time.Time{} })).To(Succeed())
	resp, err := http.ReadResponse(c.br, nil)
	g.Expect(silent).To(BeFalse())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// receivedBytes returns the number of bytes that the kernel has received on a connection.
func receivedBytes(g *WithT, c *Conn) (n int) {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	var optErr error
	g.Expect(raw.Control(func(fd uintptr) { n, optErr = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })).To(Succeed())
	g.Expect(optErr).NotTo(HaveOccurred())
	return n
}
