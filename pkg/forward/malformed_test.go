package forward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/httpconn/httpconntest"
)

// Guards against malformed answers of plain services that callers get as answers: the call may have run, and is sent
// again only if it is idempotent.
func TestForwarder_PassesOnNoMalformedAnswer(t *testing.T) {
	all := httpconntest.Malformed("the body")
	all["blank in a trailer"] = httpconntest.MalformedTrailer("the body")
	for name, answer := range all {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			broken, sound := httpconntest.Serve(t, answer), newFakeEndpoint(t, respondWith("held"))
			f := newFixture(t, broken.HostPort(), sound.addr())
			_, err := f.hold("", "bed 1")
			g.Expect(err).To(MatchError(ErrUnknown))
			_, err = f.hold("k", "bed 1")
			g.Expect(err).To(MatchError(ErrUnknown))
			_, err = f.hold("k", "bed 1")
			g.Expect(err).To(MatchError(ErrUnknown), "not run again")
			g.Expect(broken.Requests()).To(Equal(2))
			a, err := f.call("GET", "/availability", "", "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(a.Body)).To(Equal("held"))
		})
	}
}

// Guards against a refusal in a malformed answer that counts as one, so that the call runs twice.
func TestForwarder_TakesMalformedRefusalForNone(t *testing.T) {
	g := NewWithT(t)
	broken := httpconntest.Serve(t, "HTTP/1.1 600 Trouble\r\n"+NotRunHeader+": full\r\nContent-Length: 0\r\n\r\n")
	sound := newFakeEndpoint(t, respondWith("held"))
	f := newFixture(t, broken.HostPort(), sound.addr())
	_, err := f.hold("", "bed 1")
	g.Expect(err).To(MatchError(ErrUnknown))
	g.Expect(sound.count()).To(BeZero())
}

const (
	// longBodyBytes is more than the kernel keeps of what a server doesn't read.
	longBodyBytes = 8 << 20
	// resetTries is the number of times that a connection is reset: it depends on the kernel which call gets its error.
	resetTries = 40
)

// serveEarly starts a server that answers before it has read the body, and then ends the connection.
func serveEarly(t *testing.T, answer string, end func(c *net.TCPConn)) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tcp := c.(*net.TCPConn)
			_ = tcp.SetReadBuffer(4 << 10)
			_, _ = tcp.Read(make([]byte, 100))
			_, _ = io.WriteString(tcp, answer)
			end(tcp)
			tcp.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against the first part of an answer that a caller gets as a whole one, since the connection was reset while the
// call's body was being written.
func TestForwarder_PassesOnNoAnswerThatIsResetDuringUpload(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1000)
	f := newFixture(t, serveEarly(t, answer, func(c *net.TCPConn) {
		time.Sleep(30 * time.Millisecond) // the body is being written
		_ = c.SetLinger(0)
	}))
	body := strings.Repeat("x", longBodyBytes)
	for range resetTries {
		g := NewWithT(t)
		_, err := f.hold("", body)
		g.Expect(err).To(MatchError(ErrUnknown))
	}
}

// Guards against sound answers that are lost since they come before the end of the call's body.
func TestForwarder_PassesOnWholeAnswersDuringUpload(t *testing.T) {
	wait := func(*net.TCPConn) { time.Sleep(50 * time.Millisecond) }
	closeFirst := func(c *net.TCPConn) { _ = c.CloseWrite(); wait(c) }
	for answer, end := range map[string]func(c *net.TCPConn){
		"HTTP/1.1 200 OK\r\n\r\nheld":                                                 closeFirst,
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld":                            wait,
		"HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nheld":                     wait,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nheld\r\n0\r\n\r\n": wait,
	} {
		g := NewWithT(t)
		f := newFixture(t, serveEarly(t, answer, end))
		a, err := f.hold("", strings.Repeat("x", longBodyBytes))
		g.Expect(err).NotTo(HaveOccurred(), answer)
		g.Expect(string(a.Body)).To(Equal("held"))
		g.Expect(a.Status).To(BeElementOf(http.StatusOK, http.StatusRequestEntityTooLarge))
	}
}
