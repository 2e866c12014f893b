package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// firstRetransmission is the time after which a sender's kernel sends bytes again that were not
// acknowledged; it doubles with each try (RFC 6298, with the minimum of Linux).
const firstRetransmission = 200 * time.Millisecond

// link forwards connections to an address, and can be cut. While it is cut, bytes are held up and
// new connections aren't answered. Held bytes arrive with the first retransmission after the cut,
// as between two machines; they are lost if their sender has reset the connection meanwhile.
type link struct {
	addr, target string

	mu       sync.Mutex
	cut      bool
	healed   chan struct{}
	healedAt time.Time
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{addr: l.Addr().String(), target: target, healed: make(chan struct{})}
	close(k.healed)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

// setCut cuts or heals the link.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if cut == k.cut {
		return
	}
	k.cut = cut
	if cut {
		k.healed = make(chan struct{})
		return
	}
	k.healedAt = time.Now()
	close(k.healed)
}

// state returns a channel that is closed while the link isn't cut.
func (k *link) state() (cut bool, healed chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut, k.healed
}

// healTime returns when the link was last healed; zero if it never was cut.
func (k *link) healTime() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.healedAt
}

func (k *link) serve(c net.Conn) {
	defer c.Close()
	if cut, healed := k.state(); cut {
		// A machine behind a partition doesn't answer. Its caller has given up by the end.
		<-healed
		return
	}
	t, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer t.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.pump(t, c)
	}()
	k.pump(c, t)
	<-done
}

// pump copies what one end sends to the other.
func (k *link) pump(to, from net.Conn) {
	in := make(chan []byte, 1024)
	reset := make(chan struct{})
	go func() {
		defer close(in)
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if n > 0 {
				in <- b[:n]
			}
			if err != nil {
				if !errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
					close(reset)
				}
				return
			}
		}
	}()
	for b := range in {
		if cut, healed := k.state(); cut {
			sent := time.Now()
			<-healed
			time.Sleep(time.Until(nextRetransmission(sent, k.healTime())))
			select {
			case <-reset:
				abort(to)
				return
			default:
			}
		}
		if _, err := to.Write(b); err != nil {
			return
		}
	}
	select {
	case <-reset:
		abort(to)
		return
	default:
	}
	if cut, healed := k.state(); cut {
		<-healed
	}
	if c, ok := to.(*net.TCPConn); ok {
		_ = c.CloseWrite()
	}
}

// nextRetransmission returns when bytes arrive that were sent at a time during a cut.
func nextRetransmission(sent, healed time.Time) time.Time {
	at := sent
	for wait := firstRetransmission; at.Before(healed); wait *= 2 {
		at = at.Add(wait)
	}
	return at
}

// abort resets a connection.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
