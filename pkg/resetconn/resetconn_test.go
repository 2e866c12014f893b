package resetconn

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// maxSent is far more than the buffers of a connection hold.
const maxSent = 256 << 20

// Guards against bytes that arrive after their connection was closed: a call that its sender has
// given up, as its lease has ended, would be carried out.
func TestDialContext_NothingArrivesAfterClose(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	c, err := DialContext(time.Minute)(context.Background(), "tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	server, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	sent := fillBuffers(g, c)
	g.Expect(c.Close()).To(Succeed())
	received, err := io.Copy(io.Discard, server)
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
	g.Expect(received).To(BeNumerically("<", sent))
}

// fillBuffers writes until the buffers of a connection are full, and returns the number of bytes.
func fillBuffers(g *WithT, c net.Conn) int64 {
	g.Expect(c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
	var sent int64
	part := make([]byte, 1<<20)
	for sent < maxSent {
		n, err := c.Write(part)
		sent += int64(n)
		if err != nil {
			return sent
		}
	}
	g.Expect(sent).To(BeNumerically("<", maxSent), "the buffers are never full")
	return sent
}
