package gateway

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// bodyRetryAfter is the Retry-After of requests whose bodies don't fit into the memory now.
const bodyRetryAfter = 500 * time.Millisecond

// errNoRoom is the error of a body that doesn't fit into the memory for bodies now.
var errNoRoom = eris.New("gateway: no room for the request's body")

// bodyRoom is the memory that request bodies may take, which are kept until their requests end. It
// is safe for concurrent use.
type bodyRoom struct {
	limit int64 // in bytes; 0 means no limit
	used  atomic.Int64
}

// reserve takes room for n bytes, or returns false if there isn't enough. What is refused takes
// none, not even for a moment: it would keep out others that fit.
func (b *bodyRoom) reserve(n int64) bool {
	for {
		used := b.used.Load()
		if b.limit > 0 && used+n > b.limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// release gives room back.
func (b *bodyRoom) release(n int64) { b.used.Add(-n) }

// reservingReader takes room for what it reads.
type reservingReader struct {
	io.Reader
	room *bodyRoom
	// reserved is the number of bytes for which room was taken.
	reserved int64
}

// Read implements io.Reader. It returns errNoRoom if there is no room for what was read.
func (r *reservingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if !r.room.reserve(int64(n)) {
		return 0, errNoRoom
	}
	r.reserved += int64(n)
	return n, err
}
