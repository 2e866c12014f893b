package audit

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

func noSleep(context.Context, time.Duration) {}

func testRecord(n int, o Outcome) Record {
	long := make([]string, MaxSummary+5)
	for i := range long {
		long[i] = fmt.Sprintf("services[service-%d].priority of the record %d", i, n)
	}
	return Record{ID: fmt.Sprintf("id-%d", n), Time: time.Unix(int64(n), 0).UTC(), Operator: "ann", From: uint64(n), To: uint64(n + 1), Outcome: o, Summary: long}
}

// TestFailedRecordIsSettledAsApplied guards against a change being reported as
// failed because the store refused one attempt, while another attempt at the same
// change took effect (found by the race test with SEED=1 STEPS=10000).
func TestFailedRecordIsSettledAsApplied(t *testing.T) {
	g := NewWithT(t)
	env := &config.Envelope{Revision: 3, RecentWrites: []config.Write{{Revision: 2, WriteID: "id-1"}}}
	for _, o := range []Outcome{Unknown, Failed} {
		g.Expect(settle(testRecord(1, o), env).Outcome).To(Equal(Applied))
	}
	other := &config.Envelope{Revision: 2, WriteID: "other"}
	g.Expect(settle(testRecord(1, Unknown), other).Outcome).To(Equal(LostRace))
	g.Expect(settle(testRecord(1, Failed), other).Outcome).To(Equal(Failed))
}

// TestTrailListsEveryRecordOnce puts records with faults at every call, over
// several closed segments, and checks that each is listed once with its last outcome.
func TestTrailListsEveryRecordOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		store := memstore.New()
		trail := New(store, noSleep)
		trail.maxBytes = 8 << 10
		store.SetHook(func(memstore.Op, string) memstore.Fault {
			return rapid.SampledFrom([]memstore.Fault{0, 0, 0, 0, memstore.FaultUnavailable, memstore.FaultLostAnswer, memstore.FaultLostRequest}).Draw(rt, "fault")
		})
		want := make(map[string]Outcome)
		n := rapid.IntRange(1, 20).Draw(rt, "records")
		for i := range n {
			r := testRecord(i, Unknown)
			_, err := trail.Put(context.Background(), r, nil)
			g.Expect(err).NotTo(HaveOccurred())
			r.Outcome = rapid.SampledFrom([]Outcome{Unknown, Applied, LostRace, Refused, Failed}).Draw(rt, "outcome")
			_, err = trail.Put(context.Background(), r, nil)
			g.Expect(err).NotTo(HaveOccurred())
			want[r.ID] = r.Outcome
		}
		store.SetHook(nil)
		got, err := trail.List(context.Background(), nil, 2*n)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(HaveLen(n))
		for i, r := range got {
			g.Expect(r.ID).To(Equal(fmt.Sprintf("id-%d", n-1-i)), "newest first")
			g.Expect(r.Outcome).To(Equal(want[r.ID]))
		}
	})
}

// TestInterruptedSegmentCloseLosesNoRecords kills a process between storing a
// closed segment and removing its records from the current one, and continues
// with another process.
func TestInterruptedSegmentCloseLosesNoRecords(t *testing.T) {
	g := NewWithT(t)
	store := memstore.New()
	ctx, kill := context.WithCancel(context.Background())
	first := New(store, func(context.Context, time.Duration) { kill() })
	first.maxBytes = 8 << 10
	closed := false
	store.SetHook(func(op memstore.Op, key string) memstore.Fault {
		if op == memstore.OpCreate && key == segmentKey(1) {
			closed = true
		}
		if closed && op == memstore.OpUpdate {
			return memstore.FaultUnavailable
		}
		return memstore.FaultNone
	})
	n := 0
	for ; ctx.Err() == nil; n++ {
		_, _ = first.Put(ctx, testRecord(n, Applied), nil)
	}
	store.SetHook(nil)
	second := New(store, noSleep)
	second.maxBytes = first.maxBytes
	for range 3 {
		_, err := second.Put(context.Background(), testRecord(n, Applied), nil)
		g.Expect(err).NotTo(HaveOccurred())
		n++
	}
	got, err := second.List(context.Background(), nil, 2*n)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(n))
}

// TestTrailIsBounded checks the size of each object and the number of segments.
func TestTrailIsBounded(t *testing.T) {
	g := NewWithT(t)
	store := memstore.New()
	trail := New(store, noSleep)
	trail.maxBytes, trail.maxSegments = 8<<10, 4
	for i := range 100 {
		_, err := trail.Put(context.Background(), testRecord(i, Applied), nil)
		g.Expect(err).NotTo(HaveOccurred())
	}
	objects, err := store.List(context.Background(), Prefix)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(objects).To(HaveLen(trail.maxSegments + 1))
	for _, o := range objects {
		g.Expect(len(o.Value)).To(BeNumerically("<", 2*trail.maxBytes))
	}
}

// TestUnsettledRecordsAreBounded checks that many unknown records don't exceed the
// object store's size limit.
func TestUnsettledRecordsAreBounded(t *testing.T) {
	g := NewWithT(t)
	store := memstore.New()
	trail := New(store, noSleep)
	for i := range 5 * maxUnsettled {
		_, err := trail.Put(context.Background(), testRecord(i, Unknown), nil)
		g.Expect(err).NotTo(HaveOccurred())
	}
	o, err := store.Get(context.Background(), currentKey)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(o.Value)).To(BeNumerically("<", objectstore.MaxValueBytes/2))
}

// TestPutReportsExistingRecord checks that a second attempt at a change learns of
// the record of the first.
func TestPutReportsExistingRecord(t *testing.T) {
	g := NewWithT(t)
	trail := New(memstore.New(), noSleep)
	existed, err := trail.Put(context.Background(), testRecord(1, Unknown), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(existed).To(BeFalse())
	existed, err = trail.Put(context.Background(), testRecord(1, Unknown), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(existed).To(BeTrue())
}

// TestPutFailsDuringOutage checks that Put fails during an outage, so that the
// change isn't made.
func TestPutFailsDuringOutage(t *testing.T) {
	g := NewWithT(t)
	store := memstore.New()
	store.SetHook(func(memstore.Op, string) memstore.Fault { return memstore.FaultUnavailable })
	ctx, cancel := context.WithCancel(context.Background())
	trail := New(store, func(context.Context, time.Duration) { cancel() })
	_, err := trail.Put(ctx, testRecord(1, Unknown), nil)
	g.Expect(err).To(MatchError(ErrUnavailable))
}
