package httpconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/httpconn/httpconntest"
)

// resettingConn is a connection that is reset during a write. As with the kernel's, only one call gets the error: here
// the write, and a read finds the end of the input.
type resettingConn struct {
	net.Conn
	input strings.Reader
	// writeErr is what the write gets.
	writeErr error
	// begun is closed when the write has begun, and ended when it may return.
	begun, ended chan struct{}
	deadline     sync.Once
}

func newResettingConn(input string, writeErr error) *resettingConn {
	c := &resettingConn{writeErr: writeErr, begun: make(chan struct{}), ended: make(chan struct{})}
	c.input.Reset(input)
	return c
}

func (c *resettingConn) Write([]byte) (int, error) {
	close(c.begun)
	<-c.ended
	return 0, &net.OpError{Op: "write", Err: c.writeErr}
}

func (c *resettingConn) Read(b []byte) (int, error) {
	<-c.begun
	return c.input.Read(b)
}

func (c *resettingConn) SetWriteDeadline(time.Time) error {
	c.deadline.Do(func() { close(c.ended) })
	return nil
}

// Guards against the beginning of a response that counts as whole, as the write that was in progress has got the
// connection's error. A write that only ended at its deadline, or since the peer had closed before, has got none.
func TestConn_ReadFailsIfWriteGotErrorOfConnection(t *testing.T) {
	for want, errs := range map[error][]error{
		syscall.ECONNRESET: {syscall.ECONNRESET}, syscall.ETIMEDOUT: {syscall.ETIMEDOUT}, syscall.EHOSTUNREACH: {syscall.EHOSTUNREACH},
		nil: {syscall.EPIPE, os.ErrDeadlineExceeded},
	} {
		for _, writeErr := range errs {
			g := NewWithT(t)
			inner := newResettingConn("part", writeErr)
			conn := New(inner)
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write([]byte("request"))
				written <- err
			}()
			data, err := io.ReadAll(conn)
			g.Expect(string(data)).To(Equal("part"))
			g.Expect(inner.SetWriteDeadline(time.Now())).To(Succeed())
			g.Expect(<-written).To(MatchError(writeErr))
			if want == nil {
				g.Expect(err).NotTo(HaveOccurred(), writeErr.Error())
				continue
			}
			g.Expect(err).To(MatchError(want))
			_, err = conn.Read(make([]byte, 1))
			g.Expect(err).To(MatchError(want), "the error is told again")
		}
	}
}

// uploadTo sends a long upload to a server, and reads the response.
func uploadTo(g *WithT, addr string) (body []byte, err error) {
	raw, err := net.Dial("tcp", addr)
	g.Expect(err).NotTo(HaveOccurred())
	conn := New(raw)
	defer conn.Close()
	g.Expect(conn.ExpectResponse(nil)).To(Succeed())
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n", httpconntest.UploadBytes)
	go func() { _, _ = conn.Write(append([]byte(head), make([]byte, httpconntest.UploadBytes)...)) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(resp.Body)
}

// Guards against the same with a real socket, and against sound responses before the end of an upload that are lost: the
// server has closed its side, and reads no more, or resets the connection after that.
func TestConn_ResponsesDuringUpload(t *testing.T) {
	answer := func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1000) }
	for name, c := range map[string]struct {
		end   httpconntest.Ending
		whole bool
	}{
		"reset":            {end: httpconntest.Reset},
		"closed":           {end: httpconntest.HalfClose, whole: true},
		"closed and reset": {end: httpconntest.HalfCloseAndReset, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := httpconntest.ServeEarly(t, answer, c.end)
			for range 20 {
				g := NewWithT(t)
				body, err := uploadTo(g, s.HostPort())
				if !c.whole {
					g.Expect(err).To(HaveOccurred())
					continue
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(HaveLen(1000))
			}
		})
	}
}
