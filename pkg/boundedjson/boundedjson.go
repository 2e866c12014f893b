// Package boundedjson decodes JSON from responses that may not end.
package boundedjson

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// ErrTooLarge means that a response exceeds its limits.
var ErrTooLarge = eris.New("response too large")

// Limits bounds a response.
type Limits struct {
	// Bytes bounds its size.
	Bytes int64
	// Parts bounds the number of commas, and so of the elements of arrays: an element that is two bytes
	// long may take hundreds once it is decoded.
	Parts int
}

// Decode decodes one JSON value from a response. Nothing is decoded of one that exceeds the limits.
func Decode(r io.Reader, l Limits, out any) error {
	return json.NewDecoder(&reader{r, l}).Decode(out)
}

// reader reads within limits.
type reader struct {
	r    io.Reader
	left Limits
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	r.left.Bytes -= int64(n)
	r.left.Parts -= bytes.Count(b[:n], []byte(","))
	if r.left.Bytes < 0 || r.left.Parts < 0 {
		return 0, ErrTooLarge
	}
	return n, err
}
