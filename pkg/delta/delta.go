// Package delta encodes a document as its difference from an earlier one. Documents are
// compared in segments that begin with a delimiter, so that an element of a JSON array
// that is added, changed or removed costs little more than itself.
package delta

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// delimiter begins a segment: that of JSON objects.
const delimiter = '{'

// Errors of Apply.
var (
	// ErrBase means that a delta was made for another document.
	ErrBase = eris.New("delta: not the document that the delta was made for")
	// ErrInvalid means that a delta can't be applied.
	ErrInvalid = eris.New("delta: invalid")
)

// Delta is the difference between two documents.
type Delta struct {
	_ struct{} `cbor:",toarray"`
	// Base and Result are the hashes of the two documents.
	Base, Result uint64
	// Size is the size of the result in bytes.
	Size  int
	Edits []Edit
}

// Edit is a part of the result: Length bytes of the base from Offset on, followed by Text.
type Edit struct {
	_              struct{} `cbor:",toarray"`
	Offset, Length int
	Text           []byte
}

// New returns the delta from a base to a result.
func New(base, result []byte) Delta {
	d := Delta{Base: xxhash.Sum64(base), Result: xxhash.Sum64(result), Size: len(result)}
	offsets := make(map[uint64]int)
	eachSegment(base, func(offset int, segment []byte) { offsets[xxhash.Sum64(segment)] = offset })
	eachSegment(result, func(_ int, segment []byte) {
		offset, known := offsets[xxhash.Sum64(segment)]
		if known && bytes.HasPrefix(base[offset:], segment) {
			d.keep(offset, len(segment))
		} else {
			d.insert(segment)
		}
	})
	return d
}

// keep appends a part of the base to the result.
func (d *Delta) keep(offset, length int) {
	if n := len(d.Edits); n > 0 {
		last := &d.Edits[n-1]
		if len(last.Text) == 0 && last.Offset+last.Length == offset {
			last.Length += length
			return
		}
	}
	d.Edits = append(d.Edits, Edit{Offset: offset, Length: length})
}

// insert appends text to the result.
func (d *Delta) insert(text []byte) {
	if len(d.Edits) == 0 {
		d.Edits = append(d.Edits, Edit{})
	}
	last := &d.Edits[len(d.Edits)-1]
	last.Text = append(last.Text, text...)
}

// eachSegment calls f with each segment of a document and its offset.
func eachSegment(document []byte, f func(offset int, segment []byte)) {
	start := 0
	for start < len(document) {
		length := bytes.IndexByte(document[start+1:], delimiter) + 1
		if length == 0 {
			length = len(document) - start
		}
		f(start, document[start:start+length])
		start += length
	}
}

// Apply returns the result of a delta for its base.
func (d *Delta) Apply(base []byte) ([]byte, error) {
	if xxhash.Sum64(base) != d.Base {
		return nil, ErrBase
	}
	size := 0
	for _, e := range d.Edits {
		if e.Offset < 0 || e.Length < 0 || e.Offset > len(base) || e.Length > len(base)-e.Offset {
			return nil, ErrInvalid
		}
		size += e.Length + len(e.Text)
		if size > d.Size {
			return nil, ErrInvalid
		}
	}
	out := make([]byte, 0, size)
	for _, e := range d.Edits {
		out = append(out, base[e.Offset:e.Offset+e.Length]...)
		out = append(out, e.Text...)
	}
	if xxhash.Sum64(out) != d.Result {
		return nil, ErrInvalid
	}
	return out, nil
}
