package loadview

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/fleet"
)

// Format of a digest: a header, then one byte per endpoint with five bits of load
// and three bits of age.
const (
	// Partitions is the number of partitions that the endpoints are divided into, to
	// keep the messages of a large fleet small.
	Partitions = 16
	// digestHeader is the length of the header: the partition (1 byte) and the checksum
	// of its members (8 bytes).
	digestHeader = 9
	// ageBits is the number of low bits of a byte that hold the age.
	ageBits = 3
	// unknownAge is the age code of an endpoint without a recent report.
	unknownAge = 1<<ageBits - 1
)

// Errors of Merge.
var (
	// ErrInvalidDigest means that a digest can't be decoded.
	ErrInvalidDigest = eris.New("loadview: invalid digest")
	// ErrMemberMismatch means that the sender's list of endpoints in the partition
	// differs from the receiver's, as it does for a short time after a change.
	ErrMemberMismatch = eris.New("loadview: digest is for a different list of endpoints")
)

// loadSteps are the loads that the five bits encode, in requests.
var loadSteps = [32]int{
	0, 1, 2, 3, 4, 5, 6, 7, 8, 10, 12, 14, 16, 20, 24, 28,
	32, 40, 48, 56, 64, 80, 96, 112, 128, 176, 240, 330, 450, 620, 850, 1170,
}

// ageSteps are the ages that the three bits encode. An older report is sent as
// unknownAge.
var ageSteps = [unknownAge]time.Duration{
	250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second,
}

// partition is a subset of the endpoints, in the same order at all entries.
type partition struct {
	checksum uint64
	members  []*Endpoint
}

// rebuildPartitions divides the endpoints of a snapshot by the hash of their ids.
func (v *View) rebuildPartitions(s *fleet.Snapshot) {
	var parts [Partitions]partition
	for _, f := range s.Endpoints {
		e := v.Endpoint(f.ID)
		p := &parts[partitionOf(e)]
		p.members = append(p.members, e)
	}
	for i := range parts {
		parts[i].finish()
	}
	v.partitions.Store(&parts)
}

// partitionOf returns the number of an endpoint's partition.
func partitionOf(e *Endpoint) int {
	return int(e.Hash >> 32 % Partitions)
}

// finish sorts the members and computes their checksum.
func (p *partition) finish() {
	slices.SortFunc(p.members, func(a, b *Endpoint) int {
		if a.Hash < b.Hash {
			return -1
		}
		return 1
	})
	h := xxhash.New()
	var buf [8]byte
	for _, e := range p.members {
		binary.LittleEndian.PutUint64(buf[:], e.Hash)
		_, _ = h.Write(buf[:])
	}
	p.checksum = h.Sum64()
}

// Digest encodes the load reports of one partition.
func (v *View) Digest(part int) []byte {
	p := &v.partitions.Load()[part%Partitions]
	now := v.now()
	out := make([]byte, digestHeader, digestHeader+len(p.members))
	out[0] = byte(part % Partitions)
	binary.LittleEndian.PutUint64(out[1:], p.checksum)
	for _, e := range p.members {
		out = append(out, e.encode(now))
	}
	return out
}

// encode returns the byte of an endpoint in a digest.
func (e *Endpoint) encode(now time.Time) byte {
	age, ok := e.Age(now)
	if !ok {
		return unknownAge
	}
	return byte(encodeLoad(unpack(e.reported.Load()).load)<<ageBits | encodeAge(age))
}

// encodeLoad returns the index of the nearest load step.
func encodeLoad(load int) int {
	i, _ := slices.BinarySearch(loadSteps[:], load)
	if i == len(loadSteps) {
		return i - 1
	}
	if i > 0 && load-loadSteps[i-1] < loadSteps[i]-load {
		return i - 1
	}
	return i
}

// encodeAge returns the index of the age step. It rounds up, so that a report never
// appears newer than it is.
func encodeAge(age time.Duration) int {
	i, _ := slices.BinarySearch(ageSteps[:], age)
	return i
}

// Merge applies another entry's digest. Its reports replace only older ones.
func (v *View) Merge(digest []byte) error {
	if len(digest) < digestHeader || digest[0] >= Partitions {
		return ErrInvalidDigest
	}
	p := &v.partitions.Load()[digest[0]]
	loads := digest[digestHeader:]
	if binary.LittleEndian.Uint64(digest[1:]) != p.checksum || len(loads) != len(p.members) {
		return ErrMemberMismatch
	}
	now := v.now()
	for i, e := range p.members {
		e.merge(loads[i], now)
	}
	return nil
}

// merge applies the byte of an endpoint in a digest.
func (e *Endpoint) merge(b byte, now time.Time) {
	age := int(b & unknownAge)
	if age == unknownAge {
		return
	}
	batch := DefaultBatchLimit
	if w := e.reported.Load(); w != 0 {
		batch = unpack(w).batchLimit
	}
	e.setReport(loadSteps[b>>ageBits], batch, now.Add(-ageSteps[age]))
}
