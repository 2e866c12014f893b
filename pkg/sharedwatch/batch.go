package sharedwatch

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

const (
	// maxBatchBytes is the largest size of a batch's packed objects: a batch has to fit
	// into one datagram.
	maxBatchBytes = 7 << 10
	// maxObjectsBytes is the largest size of a batch's unpacked objects.
	maxObjectsBytes = 1 << 20
)

// ErrBatch is returned for data that isn't a valid batch.
var ErrBatch = eris.New("sharedwatch: invalid batch")

// Batch is the result of a watch: all changes of the objects under a prefix between
// two positions. A batch without objects confirms that nothing changed.
type Batch struct {
	Prefix string `cbor:"1,keyasint"`
	// From and To are the positions before and after the changes. Both belong to the same
	// history of the store.
	From uint64 `cbor:"2,keyasint"`
	To   uint64 `cbor:"3,keyasint"`
	// Objects holds the newest state of each changed key. It is encoded as Packed.
	Objects []object `cbor:"-"`
	Packed  []byte   `cbor:"4,keyasint,omitempty"`
	// Omitted is true if there were changes that are too large for a datagram. Compact then
	// holds them in a shorter form, unless that is too large as well. It is encoded as
	// PackedCompact.
	Omitted       bool     `cbor:"5,keyasint,omitempty"`
	Compact       *compact `cbor:"-"`
	PackedCompact []byte   `cbor:"6,keyasint,omitempty"`
	// Receiving is true if the relay is receiving a response, so that there may be changes
	// beyond To that it doesn't know yet.
	Receiving bool `cbor:"7,keyasint,omitempty"`
}

// object is a changed object in a batch.
type object struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Version uint64
	Value   []byte
	Deleted bool
}

// newBatch returns the batch for the result of a watch.
func newBatch(prefix string, from uint64, c objectstore.Changes) Batch {
	b := Batch{Prefix: prefix, From: from, To: c.Version}
	for _, o := range newest(c.Objects) {
		b.Objects = append(b.Objects, object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return b
}

// newest returns the last state of each key, in the order of those states.
func newest(list []objectstore.Object) []objectstore.Object {
	last := make(map[string]int, len(list))
	for i, o := range list {
		last[o.Key] = i
	}
	out := make([]objectstore.Object, 0, len(last))
	for i, o := range list {
		if last[o.Key] == i {
			out = append(out, o)
		}
	}
	return out
}

// changes returns the batch's changes. They are complete if known is true.
func (b *Batch) changes() (list []change, known bool) {
	if b.Omitted && b.Compact == nil {
		return nil, false
	}
	if b.Omitted {
		return b.Compact.changes(), true
	}
	return fullChanges(b.Objects), true
}

// encode encodes a batch for the peers. If its objects don't fit into a datagram, it holds
// them in the compact form relative to the values that are known, or omits them.
func encode(b Batch, known *knownValues) ([]byte, error) {
	packed, err := pack(b.Objects)
	if err != nil {
		return nil, err
	}
	b.Packed = packed.data
	if !packed.fits {
		b.Packed, b.Omitted = nil, true
		b.PackedCompact, err = packCompact(b.Objects, known)
		if err != nil {
			return nil, err
		}
	}
	data, err := cbor.Marshal(b)
	return data, eris.Wrap(err, "sharedwatch: encode batch")
}

// packedValue is an encoded and compressed value.
type packedValue struct {
	data []byte
	// fits is true if it fits into a batch, and its receivers unpack it.
	fits bool
}

// pack encodes and compresses objects. It returns no data for an empty list.
func pack(objects []object) (packedValue, error) {
	if len(objects) == 0 {
		return packedValue{fits: true}, nil
	}
	return packValue(objects)
}

// packValue encodes and compresses a value.
func packValue(value any) (packedValue, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return packedValue{}, eris.Wrap(err, "sharedwatch: pack changes")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return packedValue{}, eris.Wrap(err, "sharedwatch: pack changes")
	}
	if _, err := w.Write(data); err != nil {
		return packedValue{}, eris.Wrap(err, "sharedwatch: pack changes")
	}
	if err := w.Close(); err != nil {
		return packedValue{}, eris.Wrap(err, "sharedwatch: pack changes")
	}
	return packedValue{data: out.Bytes(), fits: len(data) <= maxObjectsBytes && out.Len() <= maxBatchBytes}, nil
}

// unpack is the inverse of packValue. It does nothing if packed is empty, and returns an
// error for more than maxObjectsBytes.
func unpack(packed []byte, value any) error {
	if len(packed) == 0 {
		return nil
	}
	r := flate.NewReader(bytes.NewReader(packed))
	return cbor.NewDecoder(io.LimitReader(r, maxObjectsBytes)).Decode(value)
}

func decode(data []byte) (Batch, error) {
	var b Batch
	if err := cbor.Unmarshal(data, &b); err != nil {
		return Batch{}, eris.Wrap(ErrBatch, err.Error())
	}
	if b.Prefix == "" || b.From == 0 || b.To < b.From || objectstore.History(b.From) != objectstore.History(b.To) {
		return Batch{}, eris.Wrap(ErrBatch, "missing prefix or invalid positions")
	}
	if err := unpack(b.Packed, &b.Objects); err != nil {
		return Batch{}, eris.Wrap(ErrBatch, err.Error())
	}
	if err := unpack(b.PackedCompact, &b.Compact); err != nil {
		return Batch{}, eris.Wrap(ErrBatch, err.Error())
	}
	b.Packed, b.PackedCompact = nil, nil
	return b, nil
}
