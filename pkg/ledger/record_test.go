package ledger

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

func claimOp(key, attempt string) Op {
	return Op{Kind: OpClaim, Key: Key(key), Fingerprint: "f", Attempt: attempt, Holder: "a"}
}

func TestRecordsExpireAfterRetention(t *testing.T) {
	g := NewWithT(t)
	s, results, _, _ := newShardState().next(0, 1000, []Op{claimOp("k", "a1")})
	g.Expect(results[0].Code).To(Equal(Done))
	s, results, _, _ = s.next(999, 1000, []Op{claimOp("k", "a2")})
	g.Expect(results[0].Code).To(Equal(Held))
	_, results, expired, _ := s.next(1, 1000, []Op{claimOp("k", "a2")})
	g.Expect(results[0].Code).To(Equal(Done))
	g.Expect(expired).To(HaveLen(1))
}

// TestRetentionToleratesClockSkew sets the clock of one entry ahead: records must
// not expire before the retention has passed in real time.
func TestRetentionToleratesClockSkew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(2)
		defer func() { c.close(); time.Sleep(time.Minute) }()
		ahead := c.entries[1].process().ledger
		ahead.Now = func() time.Time { return time.Now().Add(24 * time.Hour) }
		here := c.entries[0].process().ledger
		first, err := here.Begin(context.Background(), "k", "f")
		g.Expect(err).NotTo(HaveOccurred())
		first.Attempt.Finish(&Answer{Status: 200})
		time.Sleep(time.Second)
		second, err := ahead.Begin(context.Background(), "k", "f")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second.Answer).NotTo(BeNil())
		time.Sleep(here.Retention)
		third, err := here.Begin(context.Background(), "k", "f")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(third.Attempt).NotTo(BeNil())
	})
}

// TestFullShardRefusesClaims fills a shard: it must refuse claims before its
// value exceeds the store's limit, and keep all records.
func TestFullShardRefusesClaims(t *testing.T) {
	g := NewWithT(t)
	s := newShardState()
	answer := &Answer{Status: 200, ContentType: strings.Repeat("<", InlineAnswerBytes)}
	n := 0
	for ; ; n++ {
		id := fmt.Sprintf("%036d", n)
		op := claimOp(id[4:], id)
		if result, _ := s.apply(&op); result.Code == Full {
			break
		}
		finish := Op{Kind: OpFinish, Key: Key(id[4:]), Attempt: id, Answer: answer}
		if result, _ := s.apply(&finish); result.Code != Done {
			t.Fatal("no room for the answer of a dispatched record")
		}
		if n > 100 {
			answer = &Answer{Status: 200, Body: []byte("short")}
		}
	}
	data, err := s.encode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<=", objectstore.MaxValueBytes))
	g.Expect(s.records).To(HaveLen(n))
}

// TestShardEncodingRoundTrip checks that a shard is unchanged by encoding and
// decoding, and that its estimated size is an upper bound of the encoded size.
func TestShardEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newShardState()
		for range rapid.IntRange(0, 20).Draw(t, "ops") {
			op := drawOp(t)
			if op.Kind == OpFinish {
				op.Answer = &Answer{Status: 200, ContentType: rapid.StringN(0, 50, 128).Draw(t, "type"), Body: rapid.SliceOfN(rapid.Byte(), 0, 128).Draw(t, "body")}
			}
			s, _, _, _ = s.next(int64(rapid.IntRange(0, 10).Draw(t, "ms")), 50, []Op{op})
		}
		data, err := s.encode()
		if err != nil {
			t.Fatal(err)
		}
		back, err := decodeShard(data)
		if err != nil {
			t.Fatal(err)
		}
		again, err := back.encode()
		if err != nil || string(again) != string(data) {
			t.Fatalf("%s was encoded again as %s", data, again)
		}
		if len(data) > s.size+len(`{"write_id":"","elapsed_ms":0,"records":[]}`)+40 {
			t.Fatalf("shard was encoded in %d bytes, more than the estimated %d", len(data), s.size)
		}
	})
}

// FuzzDecodeShard checks that every shard that can be decoded can be encoded and
// decoded again.
func FuzzDecodeShard(f *testing.F) {
	s, _, _, _ := newShardState().next(5, 1000, []Op{claimOp("k1", "a1"), claimOp("k2", "a2")})
	s, _, _, _ = s.next(1, 1000, []Op{{Kind: OpFinish, Key: "k1", Attempt: "a1", Answer: &Answer{Status: 200, ContentType: "text/plain", Body: []byte("x")}}})
	data, err := s.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decodeShard(data)
		if err != nil {
			return
		}
		again, err := s.encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeShard(again); err != nil {
			t.Fatalf("%s decodes but %s does not: %v", data, again, err)
		}
	})
}
