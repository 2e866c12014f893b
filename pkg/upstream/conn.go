// Package upstream sends requests to endpoints over pooled connections. Unlike
// net/http, it never resends a request by itself, and its errors distinguish
// requests that were certainly not sent from those that may have run.
package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/medlarsill/medlarsill/pkg/httpconn"
)

// Errors of Pool.Get and Conn.Do, possibly wrapped.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = eris.New("upstream: request not sent")
	// ErrUnknown means that the request may have been sent and run.
	ErrUnknown = eris.New("upstream: request may have run")
)

const (
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 4 << 10
	// maxInlineBody is the largest request body that is written before the response is read;
	// larger ones are written concurrently.
	maxInlineBody = 32 << 10
	// maxSkippedResponses bounds the responses that are read to find the request's own:
	// informational ones and those to other requests.
	maxSkippedResponses = 4
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 1 << 20
)

// Conn is one connection to an endpoint. It carries one request at a time.
type Conn struct {
	net.Conn
	// br reads from the connection through responses and reader.
	br        *bufio.Reader
	responses *httpconn.Conn
	reader    *deadlineReader
	openedAt  time.Time
	// idleSince is when the connection was last returned to the pool.
	idleSince time.Time
	// idleTimeout is the endpoint's timeout for idle connections; 0 if unknown.
	idleTimeout time.Duration
	// noReuse means that the connection must not carry another request.
	noReuse bool
	// reused means that the connection has carried an earlier request.
	reused bool
	// refused holds the ids of the requests that the endpoint has refused on the connection.
	refused map[string]struct{}
}

// maxRefused is the number of refused requests after which a connection is not reused.
const maxRefused = 256

func newConn(c net.Conn, openedAt time.Time) *Conn {
	responses := httpconn.New(c)
	reader := &deadlineReader{Conn: responses}
	return &Conn{Conn: c, openedAt: openedAt, br: bufio.NewReaderSize(reader, bufferBytes), responses: responses, reader: reader}
}

// Reused reports whether the connection has carried an earlier request.
func (c *Conn) Reused() bool { return c.reused }

// OpenedAt returns when the connection was opened.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// DisableReuse marks the connection so that it is not returned to the pool.
func (c *Conn) DisableReuse() { c.noReuse = true }

// RecordRefusal records that the endpoint has refused a request with an id.
func (c *Conn) RecordRefusal(id string) {
	if c.refused == nil {
		c.refused = make(map[string]struct{})
	}
	c.refused[id] = struct{}{}
	c.noReuse = c.noReuse || len(c.refused) >= maxRefused
}

// HasRefused reports whether the endpoint has refused a request with this id on the connection.
// Another refusal with the id may then belong to that one.
func (c *Conn) HasRefused(id string) bool {
	_, ok := c.refused[id]
	return ok
}

// Do sends a request and reads the header of its response. The target is RequestURI as it is, unless it
// is empty. isOwn reports whether a response with that header belongs to the request; other responses are
// skipped. The caller must read the body to its end and return the connection with Pool.Put. Closing the
// connection cancels the request.
func (c *Conn) Do(req *http.Request, isOwn func(*http.Response) bool) (*http.Response, error) {
	written := make(chan error, 1)
	if req.ContentLength > maxInlineBody {
		go func() { written <- c.write(req) }()
	} else if err := c.write(req); err != nil {
		c.noReuse = true
		return nil, unknownError(err)
	} else {
		written <- nil
	}
	resp, err := c.read(req, isOwn)
	if err != nil {
		c.noReuse = true
		return nil, unknownError(err)
	}
	select {
	case err := <-written:
		c.noReuse = c.noReuse || err != nil
	default:
		// The response arrived before the request body was fully written. The rest
		// is still being written, so the connection can't be reused.
		c.noReuse = true
	}
	c.updateReuse(resp)
	return resp, nil
}

// unknownError wraps ErrUnknown and its cause, so that a timeout can be told from other causes.
func unknownError(cause error) error { return fmt.Errorf("%w: %w", ErrUnknown, cause) }

func (c *Conn) write(req *http.Request) error {
	bw := bufio.NewWriterSize(c.responses, bufferBytes)
	if err := writeRequest(bw, req); err != nil {
		return err
	}
	return bw.Flush()
}

// read reads responses until one belongs to the request.
func (c *Conn) read(req *http.Request, isOwn func(*http.Response) bool) (*http.Response, error) {
	for range maxSkippedResponses {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if isOwn(resp) {
			return resp, nil
		}
		c.noReuse = true
		if _, err := io.CopyN(io.Discard, resp.Body, maxSkippedBytes); !errors.Is(err, io.EOF) {
			return nil, eris.New("failed to skip the body of a response to another request")
		}
		if resp.Close {
			return nil, eris.New("connection ends after a response to another request")
		}
	}
	return nil, eris.New("too many informational responses or responses to other requests")
}

// readHead reads the header of one response.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	ahead, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.responses.ExpectResponse(ahead); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.br, req)
	if err != nil {
		return nil, err
	}
	httpconn.CheckTrailers(resp)
	return resp, nil
}

// updateReuse sets noReuse and idleTimeout from a response header.
func (c *Conn) updateReuse(resp *http.Response) {
	if resp.Close {
		c.noReuse = true
	}
	for field := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if n, err := strconv.Atoi(value); ok && err == nil {
			c.idleTimeout = time.Duration(n) * time.Second
		}
	}
}

// Unacknowledged reports whether the endpoint's kernel has not acknowledged all that was sent.
// It may be called while the connection is in use.
func (c *Conn) Unacknowledged() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unsent := 0
	err = raw.Control(func(fd uintptr) {
		// An error leaves the number at 0: nothing is known.
		unsent, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return err == nil && unsent > 0
}

// inputEmpty reports whether an idle connection is still open and has no unread
// input. Input on an idle connection belongs to no request.
func (c *Conn) inputEmpty() bool {
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
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}
