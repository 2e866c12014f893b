package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// others returns the owner of a key's shard and the two other entries.
func ownerAndOthers(w *cluster, key Key) (owner, first, second *node) {
	l := w.entries[0].process().ledger
	owner = w.byID(l.owner(l.shardOf(key)))
	var rest []*node
	for _, e := range w.entries {
		if e != owner {
			rest = append(rest, e)
		}
	}
	return owner, rest[0], rest[1]
}

// TestLateClaimOfAnAbandonedAttempt pauses the owner of a shard with a claim
// whose sender gives up while another attempt holds the key. When that one has
// been released, the owner resumes and commits the claim. It must not block the
// key, since its sender knows that it never ran.
func TestLateClaimOfAbandonedAttemptDoesNotBlockKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newCluster(3)
		defer func() { w.close(); time.Sleep(time.Minute) }()
		key := NewKey("w", "s", "k")
		owner, sender, holder := ownerAndOthers(w, key)
		held, err := holder.process().ledger.Begin(context.Background(), key, "f")
		g.Expect(err).NotTo(HaveOccurred())
		owner.triggerAfter(owner.pause, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err = sender.process().ledger.Begin(ctx, key, "f")
		g.Expect(err).To(MatchError(ErrInDoubt))
		held.Attempt.Release()
		time.Sleep(5 * time.Second)
		owner.resume()
		time.Sleep(time.Second)
		claim, err := holder.process().ledger.Begin(context.Background(), key, "f")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(claim.Attempt).NotTo(BeNil())
		claim.Attempt.MarkUnknown()
	})
}

// TestSecondCallerWaitsForTheFirst lets a caller with the key come while the
// first one's work runs on another entry.
func TestBeginWaitsForRunningAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newCluster(3)
		defer func() { w.close(); time.Sleep(time.Minute) }()
		first, err := w.entries[0].process().ledger.Begin(context.Background(), "k", "f")
		g.Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(2*time.Second, func() { first.Attempt.Finish(&Answer{Status: 200, Body: []byte("held")}) })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		_, err = w.entries[1].process().ledger.Begin(ctx, "k", "f")
		g.Expect(err).To(MatchError(ErrInDoubt))
		second, err := w.entries[2].process().ledger.Begin(context.Background(), "k", "f")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second.Answer.Body).To(BeEquivalentTo("held"))
		g.Expect(time.Since(start)).To(Equal(2 * time.Second))
	})
}

// TestHolderGone kills the holder of a key: others are told at once that the
// outcome is unknown.
func TestBeginFailsAtOnceIfHolderIsDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newCluster(3)
		defer func() { w.close(); time.Sleep(time.Minute) }()
		_, err := w.entries[0].process().ledger.Begin(context.Background(), "k", "f")
		g.Expect(err).NotTo(HaveOccurred())
		w.entries[0].kill()
		time.Sleep(time.Second)
		start := time.Now()
		_, err = w.entries[1].process().ledger.Begin(context.Background(), "k", "f")
		g.Expect(err).To(MatchError(ErrInDoubt))
		g.Expect(time.Since(start)).To(BeZero())
	})
}

// TestLostWriteAfterAStaleCopy loses the answer of a write that followed a
// result on an out-of-date copy. The outcome is unknown, not that of the copy.
func TestUnconfirmedWriteAfterStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newCluster(2)
		defer func() { w.close(); time.Sleep(time.Minute) }()
		ctx := context.Background()
		here, there := w.entries[0].process().ledger.shards[0], w.entries[1].process().ledger.shards[0]
		_, err := here.submit(ctx, claimOp("k", "a1"))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = there.submit(ctx, Op{Kind: OpRelease, Key: "k", Attempt: "a1"})
		g.Expect(err).NotTo(HaveOccurred())
		w.entries[0].setFaults([]storeFault{storeOK, storeLostAnswer, storeUnavailable})
		_, err = here.submit(ctx, claimOp("k", "a2"))
		g.Expect(err).To(MatchError(errUnresolved))
		again, err := there.submit(ctx, claimOp("k", "a3"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.Record.Attempt).To(Equal("a2"))
	})
}
