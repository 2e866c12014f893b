package httpconn

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// fakeConn is a connection on which some bytes can be read, in parts of one size.
type fakeConn struct {
	net.Conn
	input bytes.Reader
	part  int
}

func (c *fakeConn) Read(b []byte) (int, error) { return c.input.Read(b[:min(len(b), c.part)]) }

// readAll reads what a connection passes on of a text that is read in parts.
func readAll(text string, part int) (string, error) {
	c := &fakeConn{part: part}
	c.input.Reset([]byte(text))
	conn := New(c)
	if err := conn.ExpectResponse(nil); err != nil {
		return "", err
	}
	data, err := io.ReadAll(conn)
	return string(data), err
}

// parts are the sizes of the parts in which heads are read.
var parts = []int{1, 7, 1 << 20}

// soundHeads are heads of final responses.
var soundHeads = []string{
	"HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 200\r\n\r\n",
	"HTTP/1.1 599 \r\n\r\n",
	"HTTP/1.0 404  Not found \xff\r\n\r\n",
	"HTTP/1.1 200 OK\n\n",
	"HTTP/1.1 200 OK\r\nA:\r\nb!#$%&'*+-.^_`|~9:c\r\nC: \t\xe9 , \"x\" \r\nLong: a\r\n\t b\r\n \r\n\r\n",
	"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
}

// Guards against sound responses that are taken for malformed ones, and bodies in which a head is looked for.
func TestConn_PassesSoundResponsesOnUnchanged(t *testing.T) {
	for _, head := range soundHeads {
		for _, part := range parts {
			g := NewWithT(t)
			text := head + "HTTP/1.1 000 of the body\r\n\r\nbody\n\n"
			data, err := readAll(text, part)
			g.Expect(err).NotTo(HaveOccurred(), head)
			g.Expect(data).To(Equal(text))
		}
	}
}

// malformedHeads are heads that aren't well-formed.
var malformedHeads = []string{
	"HTTP/1.1 000 Trouble\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 Trouble\r\nA: b\r\n\r\n",
	"HTTP/1.1 200 O\x00K\r\n\r\n",
	"HTTP/1.1 200 OK\rA: b\r\n\r\n",
	"HTTP/1.1 200 OK\r\nA B: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nA\r\n B: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nA: \x01\r\n\r\n",
	"HTTP/1.1 200 OK\r\nA: b\r\n c\x7f\r\n\r\n",
	"HTTP/1.1 200 OK\r\n: b\r\n\r\n",
	"HTTP/1.1 200 OK\r\n A: b\r\nC: d\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nA : b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
}

// Guards against net/http, which would resend a request on whose connection the first read fails: all of a malformed
// head but its end is passed on.
func TestConn_FailsAtEndOfMalformedHead(t *testing.T) {
	for _, head := range malformedHeads {
		for _, part := range parts {
			g := NewWithT(t)
			data, err := readAll(head+"body", part)
			g.Expect(err).To(MatchError(ErrMalformed))
			g.Expect(data).NotTo(BeEmpty())
			g.Expect(head).To(HavePrefix(data))
			g.Expect(data).NotTo(Equal(head))
		}
	}
}

// Guards against the end of a malformed head that was read ahead of it and isn't noticed.
func TestConn_ChecksWhatWasReadAhead(t *testing.T) {
	g := NewWithT(t)
	g.Expect(New(nil).ExpectResponse([]byte("HTTP/1.1 000 Trouble\r\n\r\n"))).To(MatchError(ErrMalformed))
	g.Expect(New(nil).ExpectResponse([]byte("HTTP/1.1 200 OK\r\n\r\n"))).To(Succeed())
}

// Guards against memory that grows with a head that doesn't end.
func TestConn_BoundsHead(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{strings.Repeat("x", 2*maxHeadBytes), "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", maxHeadBytes)} {
		data, err := readAll(text, 1<<10)
		g.Expect(err).To(MatchError(errHeadTooLarge))
		g.Expect(len(data)).To(BeNumerically("<=", maxHeadBytes))
	}
}
