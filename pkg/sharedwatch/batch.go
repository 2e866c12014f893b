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
	// Omitted is true if there were changes that are too large for a datagram.
	Omitted bool `cbor:"5,keyasint,omitempty"`
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

// objects returns the batch's objects as objects of the store.
func (b *Batch) objects() []objectstore.Object {
	out := make([]objectstore.Object, 0, len(b.Objects))
	for _, o := range b.Objects {
		out = append(out, objectstore.Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return out
}

// encode encodes a batch for the peers. Objects that don't fit into a datagram are
// omitted.
func encode(b Batch) ([]byte, error) {
	packed, err := pack(b.Objects)
	if err != nil {
		return nil, err
	}
	b.Packed = packed
	if len(packed) > maxBatchBytes {
		b.Packed, b.Omitted = nil, true
	}
	data, err := cbor.Marshal(b)
	return data, eris.Wrap(err, "sharedwatch: encode batch")
}

// pack encodes and compresses objects. It returns nil for an empty list.
func pack(objects []object) ([]byte, error) {
	if len(objects) == 0 {
		return nil, nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "sharedwatch: pack objects")
	}
	if err := cbor.NewEncoder(w).Encode(objects); err != nil {
		return nil, eris.Wrap(err, "sharedwatch: pack objects")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "sharedwatch: pack objects")
	}
	return out.Bytes(), nil
}

// unpack is the inverse of pack. It returns an error for more than maxObjectsBytes.
func unpack(packed []byte) ([]object, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	r := flate.NewReader(bytes.NewReader(packed))
	var objects []object
	err := cbor.NewDecoder(io.LimitReader(r, maxObjectsBytes)).Decode(&objects)
	return objects, err
}

func decode(data []byte) (Batch, error) {
	var b Batch
	if err := cbor.Unmarshal(data, &b); err != nil {
		return Batch{}, eris.Wrap(ErrBatch, err.Error())
	}
	if b.Prefix == "" || b.From == 0 || b.To < b.From || objectstore.History(b.From) != objectstore.History(b.To) {
		return Batch{}, eris.Wrap(ErrBatch, "missing prefix or invalid positions")
	}
	objects, err := unpack(b.Packed)
	if err != nil {
		return Batch{}, eris.Wrap(ErrBatch, err.Error())
	}
	b.Objects, b.Packed = objects, nil
	return b, nil
}
