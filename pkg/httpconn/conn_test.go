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
)

// uploadBytes is more than the kernel keeps of what a peer doesn't read.
const uploadBytes = 8 << 20

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

// uploadTo sends a long upload to a server that serves one connection, and reads the response.
func uploadTo(g *WithT, serve func(c *net.TCPConn)) (body []byte, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		tcp := c.(*net.TCPConn)
		_ = tcp.SetReadBuffer(4 << 10)
		_, _ = c.Read(make([]byte, 100))
		serve(tcp)
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	conn := New(raw)
	defer conn.Close()
	g.Expect(conn.ExpectResponse(nil)).To(Succeed())
	go func() { _, _ = conn.Write(make([]byte, uploadBytes)) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(resp.Body)
}

// Guards against the same with a real socket, and against sound responses before the end of an upload that are lost: the
// server has closed its side, and reads no more, or resets the connection after that.
func TestConn_ResponsesDuringUpload(t *testing.T) {
	reset := func(c *net.TCPConn) {
		time.Sleep(30 * time.Millisecond) // the upload is being written
		_ = c.SetLinger(0)
		c.Close()
	}
	for name, c := range map[string]struct {
		end   func(c *net.TCPConn)
		whole bool
	}{
		"reset":            {end: reset},
		"closed":           {whole: true, end: func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(100 * time.Millisecond) }},
		"closed and reset": {whole: true, end: func(c *net.TCPConn) { _ = c.CloseWrite(); reset(c) }},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				g := NewWithT(t)
				body, err := uploadTo(g, func(conn *net.TCPConn) {
					fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1000))
					c.end(conn)
				})
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
