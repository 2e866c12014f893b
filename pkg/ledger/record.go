package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

// hashBytes is the length of keys and fingerprints before hex encoding, in bytes.
const hashBytes = 16

// Key identifies a piece of work: the hash of workspace, service and the caller's
// idempotency key, in hex.
type Key string

// NewKey returns the key of a caller's idempotency key within a workspace and a service.
func NewKey(workspace, service, callerKey string) Key {
	return Key(Fingerprint([]byte(workspace), []byte(service), []byte(callerKey)))
}

// Fingerprint returns a hash of the parts in hex. The length of each part is
// hashed too, so that the same bytes split differently give another hash.
func Fingerprint(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write([]byte(strconv.Itoa(len(p)) + ":"))
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:hashBytes])
}

// State is the state of a record.
type State int

// The states of a record.
const (
	// Dispatched means that the holder may have sent the work to an endpoint.
	Dispatched State = iota + 1
	// Finished means that the work ran and its answer is known.
	Finished
	// Released means that the holder did not run the work and never will.
	Released
)

// Answer is an endpoint's answer.
type Answer struct {
	// Status is the HTTP status; 0 if the endpoint's answer was too large to keep.
	Status      int    `json:"s"`
	ContentType string `json:"t,omitempty"`
	Body        []byte `json:"b,omitempty"`
}

// size returns the number of bytes that count towards InlineAnswerBytes.
func (a *Answer) size() int { return len(a.ContentType) + len(a.Body) }

// Record is what the ledger stores for one key.
type Record struct {
	Key Key `json:"k"`
	// Fingerprint is the hash of the request: method, path and body.
	Fingerprint string `json:"f"`
	// Attempt is the unique id of the attempt that holds the key.
	Attempt string `json:"a"`
	// Holder is the id of the entry that made the attempt.
	Holder string `json:"h"`
	State  State  `json:"s"`
	// Changed is the shard's elapsed time at the last change, in milliseconds.
	Changed int64 `json:"c"`
	// Answer is set in state Finished if it is small enough to be kept here.
	Answer *Answer `json:"r,omitempty"`

	// encoded is the record's JSON form; it is set when the record is put into a shard.
	encoded []byte
}

// Sizes of a record in its shard, in bytes.
const (
	// recordBytes is an upper bound of the encoded length of a record without holder and answer.
	recordBytes = 220
	// answerOverhead is an upper bound of the encoded length of an empty answer.
	answerOverhead = 40
	// escapedBytes is the maximum length of one byte of text in JSON.
	escapedBytes = 6
)

// size returns an upper bound of the record's encoded length in bytes. For a
// dispatched record it includes the space that its answer may need.
func (r *Record) size() int {
	n := recordBytes + len(r.Holder)
	switch {
	case r.State == Dispatched:
		return n + answerOverhead + InlineAnswerBytes*escapedBytes
	case r.Answer != nil:
		return n + answerOverhead + len(r.Answer.ContentType)*escapedBytes + len(r.Answer.Body)*2
	}
	return n
}

// shardState is the value of a shard's object.
type shardState struct {
	// WriteID is unique to the write that stored this state.
	WriteID string
	// Elapsed is the age of the shard as its successive committers measured it,
	// in milliseconds. Each adds the time that passed on its own clock since it
	// read the shard, so that Elapsed never runs ahead of real time and no clock
	// of another machine is trusted.
	Elapsed int64
	records map[Key]Record
	size    int
}

// shardDocument is the JSON form of a shardState.
type shardDocument struct {
	WriteID string   `json:"write_id"`
	Elapsed int64    `json:"elapsed_ms"`
	Records []Record `json:"records"`
}

// ErrCorrupt means that the value of a shard's object can't be read.
var ErrCorrupt = eris.New("ledger: invalid shard")

func newShardState() *shardState {
	return &shardState{records: make(map[Key]Record)}
}

// put adds a record and replaces an earlier one with the same key.
func (s *shardState) put(r Record) {
	s.remove(r.Key)
	// Encoding can't fail, since a record holds only strings, numbers and bytes.
	r.encoded, _ = json.Marshal(&r)
	s.records[r.Key] = r
	s.size += r.size()
}

func (s *shardState) remove(k Key) {
	if old, ok := s.records[k]; ok {
		s.size -= old.size()
		delete(s.records, k)
	}
}

// encode returns the value of the shard's object. Records are encoded when they
// are put, so that encoding the shard costs little more than a copy.
func (s *shardState) encode() ([]byte, error) {
	keys := slices.Sorted(maps.Keys(s.records))
	doc := shardHeader{WriteID: s.WriteID, Elapsed: s.Elapsed}
	head, err := json.Marshal(doc)
	if err != nil {
		return nil, eris.Wrap(err, "ledger: encode shard")
	}
	out := make([]byte, 0, len(head)+s.size)
	out = append(out, head[:len(head)-1]...)
	out = append(out, `,"records":[`...)
	for i, k := range keys {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, s.records[k].encoded...)
	}
	return append(out, "]}"...), nil
}

// shardHeader holds the fields of a shardDocument that precede the records.
type shardHeader struct {
	WriteID string `json:"write_id"`
	Elapsed int64  `json:"elapsed_ms"`
}

// decodeShard reads the value of a shard's object.
func decodeShard(value []byte) (*shardState, error) {
	var doc shardDocument
	if err := json.Unmarshal(value, &doc); err != nil {
		return nil, eris.Wrap(ErrCorrupt, err.Error())
	}
	s := newShardState()
	s.WriteID, s.Elapsed = doc.WriteID, doc.Elapsed
	for _, r := range doc.Records {
		if err := r.check(); err != nil {
			return nil, err
		}
		if _, ok := s.records[r.Key]; ok {
			return nil, eris.Wrap(ErrCorrupt, "duplicate key")
		}
		s.put(r)
	}
	return s, nil
}

// check returns an error for a record that no version of this package writes.
func (r *Record) check() error {
	switch {
	case r.Key == "" || r.Attempt == "":
		return eris.Wrap(ErrCorrupt, "record without key or attempt")
	case r.State < Dispatched || r.State > Released:
		return eris.Wrap(ErrCorrupt, "record with unknown state")
	case r.Answer != nil && r.State != Finished:
		return eris.Wrap(ErrCorrupt, "unfinished record with an answer")
	}
	return nil
}
