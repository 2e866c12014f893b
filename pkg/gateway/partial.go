package gateway

import (
	"io"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/connbudget"
)

const (
	// freeResponseBytes is the part of a response that isn't counted: most are smaller.
	freeResponseBytes = 32 << 10
	// responseStepBytes is the step in which more is counted, so that few reads take the lock of the budget.
	responseStepBytes = 32 << 10
)

// errResponseMemory is the error of a response for whose unfinished part there is no memory.
var errResponseMemory = eris.New("gateway: no memory for an unfinished response")

// newResponseMemory returns the memory that responses may take before they are passed on, which they
// share. A limit of 0 means no bound.
func newResponseMemory(limit int64) *connbudget.Heads {
	if limit == 0 {
		return nil
	}
	return connbudget.NewHeads(limit)
}

// partialResponse counts what was received of a response and not passed on. If there isn't enough memory for
// all of them, those of the address that holds most are closed first, the largest first: a faulty
// endpoint's. Only one goroutine uses it, but for Source and Evict.
type partialResponse struct {
	memory *connbudget.Heads // nil means no bound
	conn   net.Conn
	held   int64
	// kept is true once closing the connection gives back no memory.
	kept atomic.Bool
}

// Source implements connbudget.Holder.
func (p *partialResponse) Source() connbudget.Source {
	return connbudget.SourceOfAddr(p.conn.RemoteAddr())
}

// Evict implements connbudget.Holder.
func (p *partialResponse) Evict() bool {
	if p.kept.Load() {
		return false
	}
	_ = p.conn.Close()
	return true
}

// hold counts the memory of what was received. It returns false if there is none for it.
func (p *partialResponse) hold(bytes int) bool {
	if p.memory == nil {
		return true
	}
	size := int64(0)
	if bytes > freeResponseBytes {
		size = (int64(bytes) + responseStepBytes - 1) / responseStepBytes * responseStepBytes
	}
	if size == p.held {
		return true
	}
	p.held = size
	return p.memory.Hold(p, size)
}

// release gives back all memory.
func (p *partialResponse) release() {
	if p.memory != nil {
		p.memory.Release(p)
	}
}

// readHead reads the beginning of a body, up to a limit or as far as there is memory. It reports whether
// that is all of it. The memory is held until release.
func (p *partialResponse) readHead(body io.Reader, limit int) (head []byte, whole bool, err error) {
	head = make([]byte, 0, readSize)
	for len(head) <= limit && p.hold(cap(head)) {
		n, err := body.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		switch {
		case err == io.EOF:
			p.kept.Store(true)
			return head, len(head) <= limit, nil
		case err != nil:
			return nil, false, err
		case len(head) == cap(head):
			head = append(head, 0)[:len(head)]
		}
	}
	p.kept.Store(true)
	return head, false, nil
}
