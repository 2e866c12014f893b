package httpconntest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// UploadBytes is the size of an upload that is larger than what the kernel keeps of what a server doesn't read.
const UploadBytes = 8 << 20

const (
	// earlyReadBytes is the receive buffer of a server that answers early.
	earlyReadBytes = 4 << 10
	// uploadTime is the time after which an upload has begun to be written.
	uploadTime = 30 * time.Millisecond
)

// Ending is how a server ends a connection on which it has answered early.
type Ending func(t testing.TB, c *net.TCPConn)

// KeepOpen keeps the connection open until the test ends.
func KeepOpen(t testing.TB, _ *net.TCPConn) { <-t.Context().Done() }

// Reset resets the connection while the upload is being written.
func Reset(_ testing.TB, c *net.TCPConn) {
	time.Sleep(uploadTime)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// HalfClose closes the server's side of the connection.
func HalfClose(t testing.TB, c *net.TCPConn) {
	_ = c.CloseWrite()
	KeepOpen(t, c)
}

// HalfCloseAndReset closes the server's side of the connection, and then resets it.
func HalfCloseAndReset(t testing.TB, c *net.TCPConn) {
	_ = c.CloseWrite()
	Reset(t, c)
}

// ServeEarly starts a server that answers each request once it has read its head, reads no more, and ends the
// connection.
func ServeEarly(t testing.TB, answer func(*http.Request) string, end Ending) *Server {
	s := listen(t)
	go s.accept(func(c net.Conn) { s.serveEarly(t, c.(*net.TCPConn), answer, end) })
	return s
}

func (s *Server) serveEarly(t testing.TB, c *net.TCPConn, answer func(*http.Request) string, end Ending) {
	defer c.Close()
	_ = c.SetReadBuffer(earlyReadBytes)
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	s.requests.Add(1)
	if _, err := io.WriteString(c, answer(req)); err != nil {
		return
	}
	end(t, c)
}
