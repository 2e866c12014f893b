package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// oneAnswerServer is a TCP server that answers the first request on each
// connection, then reads a second one and closes the connection without a response.
type oneAnswerServer struct {
	net.Listener
	requests atomic.Int64
	conns    sync.Map
	wg       sync.WaitGroup
}

func newOneAnswerServer(t *testing.T) *oneAnswerServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := &oneAnswerServer{Listener: l}
	s.wg.Go(s.accept)
	t.Cleanup(func() {
		l.Close()
		s.conns.Range(func(c, _ any) bool { c.(net.Conn).Close(); return true })
		s.wg.Wait()
	})
	return s
}

func (s *oneAnswerServer) accept() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		s.conns.Store(c, true)
		s.wg.Go(func() { s.serve(c) })
	}
}

func (s *oneAnswerServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	if !s.read(r) {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld")
	s.read(r)
}

func (s *oneAnswerServer) read(r *bufio.Reader) bool {
	request, err := http.ReadRequest(r)
	if err != nil || !isFromThisRun(request) {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.requests.Add(1)
	return true
}

// TestForwarder_SendsNonIdempotentCallOnce guards against calls that are lost or
// resent because they were sent on a reused connection, which the server closes
// after reading a second request. Each call must use a connection of its own,
// reach the server exactly once and be answered.
func TestForwarder_SendsNonIdempotentCallOnce(t *testing.T) {
	const calls = 5
	for _, key := range []string{"", "k"} {
		for _, body := range []string{"", "bed 1"} {
			g := NewWithT(t)
			e := newOneAnswerServer(t)
			f := newFixture(t, e.Addr().String())
			for i := range calls {
				k := key
				if k != "" {
					k += string(rune('0' + i))
				}
				a, err := f.hold(k, body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(a.Body)).To(Equal("held"))
			}
			g.Expect(e.requests.Load()).To(BeEquivalentTo(calls))
		}
	}
}

// TestForwarder_TransportDoesNotResendBody guards against net/http resending an
// idempotent call with a body when a pooled connection closes: the retry would
// not be taken from the budget.
func TestForwarder_TransportDoesNotResendBody(t *testing.T) {
	g := NewWithT(t)
	e := newOneAnswerServer(t)
	f := newFixture(t, e.Addr().String())
	f.Budget = &fakeBudget{}
	_, err := f.call("POST", "/search", "k", "{}")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.call("POST", "/search", "k", "{}")
	g.Expect(err).To(MatchError(ErrUnknown))
	g.Expect(e.requests.Load()).To(BeEquivalentTo(2))
}
