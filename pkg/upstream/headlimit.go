package upstream

import (
	"io"

	"github.com/rotisserie/eris"
)

// maxHeadBytes bounds the status line and the headers of a response, and what is read
// ahead of them.
const maxHeadBytes = 64 << 10

// errHeadTooLarge is the error of a response whose status line or headers don't end.
var errHeadTooLarge = eris.New("upstream: response header too large")

// headLimiter limits how much is read while a response's header is awaited. Bodies are
// not limited.
type headLimiter struct {
	r io.Reader
	// inHead is true while a header is read, and left the number of bytes that it may still have.
	inHead bool
	left   int
}

// start limits the reads until end is called.
func (l *headLimiter) start() { l.inHead, l.left = true, maxHeadBytes }

// end ends the limit.
func (l *headLimiter) end() { l.inHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.inHead {
		return l.r.Read(b)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}
