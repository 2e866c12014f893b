package upstream

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a byte of an answer that is lost, and an answer that is cut but looks whole,
// since a check for input has read what the next read expects.
func TestDeadlineReader_CheckForInputLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		client, server := net.Pipe()
		defer client.Close()
		defer server.Close()
		go func() {
			time.Sleep(time.Second)
			_, _ = server.Write([]byte("answer"))
		}()
		r := &deadlineReader{Conn: client}
		var seen []bool
		r.onTimeout = func() time.Time {
			time.Sleep(300 * time.Millisecond)
			seen = append(seen, r.inputWaits())
			return time.Now().Add(10 * time.Millisecond)
		}
		g.Expect(client.SetReadDeadline(time.Now().Add(500 * time.Millisecond))).To(Succeed())
		text := make([]byte, len("answer"))
		_, err := io.ReadFull(r, text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(text)).To(Equal("answer"))
		g.Expect(seen).To(Equal([]bool{false, true}))

		r = &deadlineReader{Conn: &brokenConn{Conn: client}}
		g.Expect(r.inputWaits()).To(BeFalse())
		_, err = r.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(net.ErrClosed), "the error is told again")
		_, err = r.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(net.ErrClosed))
	})
}

// brokenConn is a connection whose first read fails, and whose others find the end, as with one
// that was reset.
type brokenConn struct {
	net.Conn
	read bool
}

func (c *brokenConn) Read([]byte) (int, error) {
	if c.read {
		return 0, io.EOF
	}
	c.read = true
	return 0, net.ErrClosed
}
