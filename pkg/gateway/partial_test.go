package gateway

import (
	"io"
	"net"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// addressedConn is a connection from an address that tells whether it was closed.
type addressedConn struct {
	net.Conn
	addr   net.Addr
	closed bool
}

func (c *addressedConn) RemoteAddr() net.Addr { return c.addr }

func (c *addressedConn) Close() error {
	c.closed = true
	return nil
}

func newAddressedConn(ip string) *addressedConn {
	return &addressedConn{addr: &net.TCPAddr{IP: net.ParseIP(ip), Port: 80}}
}

// Guards against responses of sound endpoints that end for those of a faulty one, and against connections
// that are closed though their responses are complete.
func TestPartialResponse_GivesWayToThoseOfOtherEndpoints(t *testing.T) {
	g := NewWithT(t)
	gw := New(Options{ResponseBytes: 8 * responseStepBytes})
	whole, first, second, sound := newAddressedConn("10.0.0.1"), newAddressedConn("10.0.0.1"), newAddressedConn("10.0.0.1"), newAddressedConn("10.0.0.2")
	complete := gw.newPartial(whole)
	_, all, err := complete.readHead(strings.NewReader(strings.Repeat("x", 2*responseStepBytes)), maxBufferedBytes)
	g.Expect([]any{all, err}).To(Equal([]any{true, nil}))
	g.Expect(gw.responses.Used()).To(BeEquivalentTo(3 * responseStepBytes))
	g.Expect(gw.newPartial(first).hold(4 * responseStepBytes)).To(BeTrue())
	g.Expect(gw.newPartial(second).hold(2 * responseStepBytes)).To(BeTrue())
	g.Expect([]bool{whole.closed, first.closed, second.closed}).To(Equal([]bool{false, true, false}))
	partial := gw.newPartial(sound)
	g.Expect(partial.hold(4 * responseStepBytes)).To(BeTrue())
	g.Expect([]bool{second.closed, sound.closed}).To(Equal([]bool{true, false}))
	complete.release()
	partial.release()
	g.Expect(gw.responses.Used()).To(BeZero())
}

// Guards against a large response that fails for want of memory, where it can be passed on as it arrives.
func TestPartialResponse_PassesOnWhatThereIsNoMemoryFor(t *testing.T) {
	g := NewWithT(t)
	partial := New(Options{ResponseBytes: responseStepBytes}).newPartial(newAddressedConn("10.0.0.1"))
	body := strings.NewReader(strings.Repeat("x", 4*responseStepBytes))
	head, all, err := partial.readHead(body, maxBufferedBytes)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all).To(BeFalse())
	rest, err := io.ReadAll(body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(head) + len(rest)).To(Equal(4 * responseStepBytes))
}
