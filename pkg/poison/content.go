package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// Content is what a request asks of an endpoint. Further tries of the same request share it,
// though each has an id of its own.
type Content struct {
	Method, Host string
	// URI is the path with the query, as the caller sent it.
	URI string
	// Caller names who the request is from.
	Caller string
	Body   []byte
}

// Hash returns a hash of the content from which it can't be told.
func (c Content) Hash() uint64 { return c.hash(nil) & hashMask }

// hash returns a hash of the content and further fields.
func (c Content) hash(further []string) uint64 {
	h := sha256.New()
	for _, field := range []string{c.Method, c.Host, c.URI, c.Caller} {
		writeField(h, []byte(field))
	}
	writeField(h, c.Body)
	for _, field := range further {
		writeField(h, []byte(field))
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// writeField writes a field after its length, so that two lists of fields are never written
// as the same bytes.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// A hash never returns an error.
	_, _ = h.Write(length[:])
	_, _ = h.Write(field)
}
