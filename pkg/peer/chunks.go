package peer

import "sync"

// chunkBytes is the size of the parts in which a large message is received.
const chunkBytes = 16 << 10

// chunk is a part of a large message.
type chunk struct {
	data [chunkBytes]byte
	// used is how much of data was received.
	used int
}

// freeChunks are the chunks that aren't in use. Without them, those of closed connections take memory
// until the garbage collector has run, however quickly further ones are received.
var freeChunks = sync.Pool{New: func() any { return new(chunk) }}

// chunks holds received bytes. It grows without copies, which would take as much memory again.
type chunks struct {
	list []*chunk
	// read is how much of the first one was read.
	read int
}

// space returns free space at the end; fill tells how much of it was used.
func (c *chunks) space() []byte {
	n := len(c.list)
	if n == 0 || c.list[n-1].used == chunkBytes {
		c.list = append(c.list, freeChunks.Get().(*chunk))
		n++
	}
	last := c.list[n-1]
	return last.data[last.used:]
}

func (c *chunks) fill(used int) {
	c.list[len(c.list)-1].used += used
}

// append adds bytes.
func (c *chunks) append(b []byte) {
	for len(b) > 0 {
		n := copy(c.space(), b)
		c.fill(n)
		b = b[n:]
	}
}

// next removes and returns bytes from the beginning; 0 if there are none.
func (c *chunks) next(b []byte) int {
	if len(c.list) == 0 {
		return 0
	}
	first := c.list[0]
	n := copy(b, first.data[c.read:first.used])
	c.read += n
	if c.read == first.used {
		c.dropFirst()
	}
	return n
}

// clear removes all bytes.
func (c *chunks) clear() {
	for len(c.list) > 0 {
		c.dropFirst()
	}
}

// dropFirst removes the first chunk, which may be used again.
func (c *chunks) dropFirst() {
	first := c.list[0]
	c.list, c.read = c.list[1:], 0
	first.used = 0
	freeChunks.Put(first)
}
