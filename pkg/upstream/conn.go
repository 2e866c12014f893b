// Package upstream sends requests to endpoints over kept connections. Unlike
// an ordinary HTTP client it never sends a request a second time by itself, and
// it tells whether a failed request can have reached its endpoint.
package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a round trip, possibly wrapped.
var (
	// ErrUnsent means that no byte of the request has left this process.
	ErrUnsent = eris.New("upstream: not sent")
	// ErrUnknown means that the request was sent, and that it isn't known whether it ran.
	ErrUnknown = eris.New("upstream: no answer")
)

const (
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
	// inlineBody is the largest request body that is written before the answer is awaited.
	inlineBody = 32 << 10
	// maxInterim bounds the informational and stray answers that are skipped.
	maxInterim = 4
	// maxStrayBytes bounds the body of a stray answer that is skipped.
	maxStrayBytes = 1 << 20
)

// Conn is one connection to an endpoint. It carries one request at a time.
type Conn struct {
	net.Conn
	br *bufio.Reader
	// idle is when it became idle, and keep how long the endpoint keeps it then; 0 if unknown.
	idle time.Time
	keep time.Duration
	// spoiled connections carry no further request.
	spoiled bool
	reused  bool
}

func newConn(c net.Conn) *Conn {
	return &Conn{Conn: c, br: bufio.NewReaderSize(c, bufferBytes)}
}

// Reused tells whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Spoil keeps the connection from being used again.
func (c *Conn) DisableReuse() { c.spoiled = true }

// Do sends a request and reads the head of its answer. own tells from the head
// whether an answer belongs to the request; others are skipped. The caller
// reads the body to its end and gives the connection back to its pool; closing
// the connection cancels the request.
func (c *Conn) Do(req *http.Request, own func(*http.Response) bool) (*http.Response, error) {
	written := make(chan error, 1)
	if req.ContentLength > inlineBody {
		go func() { written <- c.write(req) }()
	} else if err := c.write(req); err != nil {
		c.spoiled = true
		return nil, eris.Wrap(ErrUnknown, err.Error())
	} else {
		written <- nil
	}
	resp, err := c.read(req, own)
	if err != nil {
		c.spoiled = true
		return nil, eris.Wrap(ErrUnknown, err.Error())
	}
	select {
	case err := <-written:
		c.spoiled = c.spoiled || err != nil
	default:
		// The answer came before the request was read: the rest of the body is
		// still being written, so the connection can carry nothing else.
		c.spoiled = true
	}
	c.learn(resp)
	return resp, nil
}

func (c *Conn) write(req *http.Request) error {
	bw := bufio.NewWriterSize(c.Conn, bufferBytes)
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// read reads heads until one is the request's own answer.
func (c *Conn) read(req *http.Request, own func(*http.Response) bool) (*http.Response, error) {
	for range maxInterim {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if own(resp) {
			return resp, nil
		}
		c.spoiled = true
		if _, err := io.CopyN(io.Discard, resp.Body, maxStrayBytes); !errors.Is(err, io.EOF) {
			return nil, eris.New("stray answer")
		}
		if resp.Close {
			return nil, eris.New("stray answer before the end of the connection")
		}
	}
	return nil, eris.New("too many stray answers")
}

// learn takes from an answer how long the connection may be kept.
func (c *Conn) learn(resp *http.Response) {
	if resp.Close {
		c.spoiled = true
	}
	for field := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if n, err := strconv.Atoi(value); ok && err == nil {
			c.keep = time.Duration(n) * time.Second
		}
	}
}

// clean tells whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *Conn) clean() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
