package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// endingConn is a connection on which some bytes can be read, in parts of one size, and then an
// error. What is written is dropped.
type endingConn struct {
	net.Conn
	input bytes.Reader
	part  int
	end   error
}

func newEndingConn(input []byte, part int, end error) *endingConn {
	c := &endingConn{part: part, end: end}
	c.input.Reset(input)
	return c
}

func (c *endingConn) Read(b []byte) (int, error) {
	n, _ := c.input.Read(b[:min(len(b), c.part)])
	if n == 0 {
		return 0, c.end
	}
	return n, nil
}

func (c *endingConn) Write(b []byte) (int, error)     { return len(b), nil }
func (c *endingConn) Close() error                    { return nil }
func (c *endingConn) SetReadDeadline(time.Time) error { return nil }

// headsOfAnswers are whole heads, by the way in which their bodies end.
var headsOfAnswers = map[string]string{
	"length":          "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: s\r\nContent-Length: 800\r\nContent-Type: text/plain\r\n\r\n",
	"no body":         "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: s\r\nContent-Length: 0\r\n\r\n",
	"chunks":          "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"connection":      "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: s\r\nConnection: close\r\n\r\n",
	"stream":          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nId: r-1\r\nProof: s\r\n\r\n",
	"white space":     "HTTP/1.1 200 OK  \r\nId:\t r-1 \t\r\nProof:  s  \r\nX-Long: a\r\n\t b\r\n \r\n\r\n",
	"line feeds only": "HTTP/1.1 200 OK\nId: r-1\nProof: s\n\n",
	"after a notice":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r-1\r\nProof: s\r\n\r\n",
	"early hints":     "HTTP/1.1 103 Early Hints\r\nId: r-1\r\nProof: s\r\n\r\nHTTP/1.1 200 OK\r\nId: r-1\r\n\r\n",
}

// Guards against a head that stops in the middle and is taken for a whole one: the caller would
// get an empty or short body as a complete success.
func TestConn_TruncatedHeadIsNoResponse(t *testing.T) {
	ends := map[string]error{"closed": io.EOF, "reset": syscall.ECONNRESET, "silent": os.ErrDeadlineExceeded}
	for name, head := range headsOfAnswers {
		for ending, end := range ends {
			t.Run(fmt.Sprint(name, " ", ending), func(t *testing.T) {
				g := NewWithT(t)
				for length := range len(head) {
					for _, part := range []int{1, 7, len(head)} {
						resp, err := doOn(newEndingConn([]byte(head[:length]), part, end))
						g.Expect(err).To(MatchError(ErrUnknown), "%q in parts of %d bytes: %v", head[:length], part, resp)
					}
				}
				_, err := doOn(newEndingConn([]byte(head), len(head), end))
				g.Expect(err).NotTo(HaveOccurred(), "the whole head")
			})
		}
	}
}

// doOn sends a request on a connection.
func doOn(c net.Conn) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodGet, "http://a.example/", nil)
	if err != nil {
		return nil, err
	}
	return newConn(c, time.Now()).Do(req, func(r *http.Response) bool { return r.Header.Get("Id") == "r-1" })
}
