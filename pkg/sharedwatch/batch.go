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
	// maxBatchBytes is the largest encoded batch: it has to fit into one datagram.
	maxBatchBytes = 7 << 10
	// maxObjectsBytes is the largest size of a batch's objects once they are unpacked.
	maxObjectsBytes = 1 << 20
)

// ErrBatch means that a message can't be read as a batch.
var ErrBatch = eris.New("sharedwatch: unreadable batch")

// Batch is what a watch has shown: all changes of the objects under a prefix between
// two positions. Without objects it says that there were none.
type Batch struct {
	Prefix string `cbor:"1,keyasint"`
	// From and To are the positions before and after, both of one history of the store.
	From uint64 `cbor:"2,keyasint"`
	To   uint64 `cbor:"3,keyasint"`
	// Objects holds the newest state of each changed key. On the wire they are Packed.
	Objects []object `cbor:"-"`
	Packed  []byte   `cbor:"4,keyasint,omitempty"`
	// Omitted is true if there were changes that are too large to be told.
	Omitted bool `cbor:"5,keyasint,omitempty"`
}

// object is one changed object in a batch.
type object struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Version uint64
	Value   []byte
	Deleted bool
}

// newBatch returns the batch of a watch that was answered with changes.
func newBatch(prefix string, from uint64, c objectstore.Changes) Batch {
	b := Batch{Prefix: prefix, From: from, To: c.Version}
	for _, o := range newest(c.Objects) {
		b.Objects = append(b.Objects, object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return b
}

// newest returns the last state of each key, in the order of these.
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

func (b *Batch) objects() []objectstore.Object {
	out := make([]objectstore.Object, 0, len(b.Objects))
	for _, o := range b.Objects {
		out = append(out, objectstore.Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return out
}

// encode returns a batch for the peers; objects that don't fit are left out.
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
	return data, eris.Wrap(err, "sharedwatch: encode")
}

// pack compresses objects; none take no bytes.
func pack(objects []object) ([]byte, error) {
	if len(objects) == 0 {
		return nil, nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "sharedwatch: pack")
	}
	if err := cbor.NewEncoder(w).Encode(objects); err != nil {
		return nil, eris.Wrap(err, "sharedwatch: pack")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "sharedwatch: pack")
	}
	return out.Bytes(), nil
}

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
		return Batch{}, eris.Wrap(ErrBatch, "no prefix, or positions that don't follow")
	}
	objects, err := unpack(b.Packed)
	if err != nil {
		return Batch{}, eris.Wrap(ErrBatch, err.Error())
	}
	b.Objects, b.Packed = objects, nil
	return b, nil
}
