package loadview

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/fleet"
)

// Shape of the digest. One byte per endpoint: five bits of load, three of age.
const (
	// Partitions is the number of parts that the endpoints are split into, so
	// that one message stays small at any fleet size.
	Partitions = 16
	// digestHeader is the partition (1 byte) and the check of its members (8 bytes).
	digestHeader = 9
	// ageBits is the number of low bits of a byte that hold the age.
	ageBits = 3
	// unknownAge marks an endpoint without a usable report.
	unknownAge = 1<<ageBits - 1
)

// Errors of Merge.
var (
	// ErrDigest means that a digest can't be decoded.
	ErrInvalidDigest = eris.New("loadview: invalid digest")
	// ErrMembers means that the sender knows other endpoints in the partition;
	// the lists of live instances differ for a short while after a change.
	ErrMemberMismatch = eris.New("loadview: digest of other members")
)

// loadSteps are the loads that five bits can tell apart, in requests.
var loadSteps = [32]int{
	0, 1, 2, 3, 4, 5, 6, 7, 8, 10, 12, 14, 16, 20, 24, 28,
	32, 40, 48, 56, 64, 80, 96, 112, 128, 176, 240, 330, 450, 620, 850, 1170,
}

// ageSteps are the ages that three bits can tell apart; a report older than the
// last step is unknown.
var ageSteps = [unknownAge]time.Duration{
	250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second,
}

// partition is a part of the endpoints in an order that all entries agree on.
type partition struct {
	checksum uint64
	members  []*Endpoint
}

// partition splits the endpoints of a snapshot by the hash of their ids.
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

func partitionOf(e *Endpoint) int {
	return int(e.Hash >> 32 % Partitions)
}

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

// Digest returns the reports of one partition, one byte per endpoint.
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

func (e *Endpoint) encode(now time.Time) byte {
	age, ok := e.Age(now)
	if !ok {
		return unknownAge
	}
	return byte(encodeLoad(unpack(e.reported.Load()).load)<<ageBits | encodeAge(age))
}

// encodeLoad returns the nearest step.
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

// encodeAge rounds up, so that a report never looks newer than it is.
func encodeAge(age time.Duration) int {
	i, _ := slices.BinarySearch(ageSteps[:], age)
	return i
}

// Merge takes another entry's digest. A report replaces an older one only.
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

func (e *Endpoint) merge(b byte, now time.Time) {
	age := int(b & unknownAge)
	if age == unknownAge {
		return
	}
	batch := DefaultBatchLimit
	if w := e.reported.Load(); w != 0 {
		batch = unpack(w).batchLimit
	}
	e.set(loadSteps[b>>ageBits], batch, now.Add(-ageSteps[age]))
}
