// Package httpconntest provides servers of tests whose answers may be malformed, or come before the end of an upload.
package httpconntest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Server is a server that counts its requests.
type Server struct {
	net.Listener
	requests atomic.Int64
}

// Serve starts a server on the loopback interface. The n-th request gets the n-th answer, and all after that the last one;
// the connection ends with the last one.
func Serve(t testing.TB, answers ...string) *Server {
	t.Helper()
	return listen(t).serveAll(answers)
}

// ServeOn is Serve on a listener.
func ServeOn(t testing.TB, l net.Listener, answers ...string) *Server {
	return newServer(t, l).serveAll(answers)
}

// listen returns a server that listens on the loopback interface.
func listen(t testing.TB) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newServer(t, l)
}

func newServer(t testing.TB, l net.Listener) *Server {
	t.Cleanup(func() { l.Close() })
	return &Server{Listener: l}
}

func (s *Server) serveAll(answers []string) *Server {
	go s.accept(func(c net.Conn) { s.serve(c, answers) })
	return s
}

// HostPort returns the server's IP address and port.
func (s *Server) HostPort() string { return s.Addr().String() }

// Requests returns the number of requests so far.
func (s *Server) Requests() int { return int(s.requests.Load()) }

func (s *Server) accept(serve func(net.Conn)) {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

func (s *Server) serve(c net.Conn, answers []string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		n := min(int(s.requests.Add(1)), len(answers))
		if _, err := io.WriteString(c, answers[n-1]); err != nil || n == len(answers) {
			return
		}
	}
}

// Sound returns a well-formed answer with a body.
func Sound(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Malformed returns answers with a body whose heads aren't well-formed, by what is wrong.
func Malformed(body string) map[string]string {
	framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunked := chunks(body) + "\r\n"
	return map[string]string{
		"status 000":             "HTTP/1.1 000 Trouble\r\n" + framed,
		"status 000 first":       "HTTP/1.1 000 Trouble\r\n\r\n" + Sound(body),
		"status 600":             "HTTP/1.1 600 Trouble\r\n" + framed,
		"switch of protocols":    "HTTP/1.1 101 Switching Protocols\r\n\r\n" + Sound(body),
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Trouble: 1\r\n" + framed,
		"blank after a name":     "HTTP/1.1 200 OK\r\nX-Trouble : 1\r\n" + framed,
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Trouble: 1\r\n" + framed,
		"blank after the length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n%s", len(body)/2, body),
		"chunks with a blank":    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" + chunked,
		"chunks in HTTP/1.0":     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked,
	}
}

// MalformedTrailer returns an answer with a body whose trailer isn't well-formed.
func MalformedTrailer(body string) string {
	return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body) + "X Trouble: 1\r\n\r\n"
}

// chunks returns a body in chunks, without the trailers and the empty line after them.
func chunks(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body) }
