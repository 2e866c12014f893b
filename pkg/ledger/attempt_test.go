package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// ownerAndOthers returns the owner of a key's shard and the two other entries.
func ownerAndOthers(c *cluster, key Key) (owner, first, second *node) {
	l := c.entries[0].process().ledger
	owner = c.byID(l.owner(l.shardOf(key)))
	var rest []*node
	for _, e := range c.entries {
		if e != owner {
			rest = append(rest, e)
		}
	}
	return owner, rest[0], rest[1]
}

// TestLateClaimOfAbandonedAttemptDoesNotBlockKey pauses the owner of a shard
// with a claim whose sender gives up while another attempt holds the key. After
// that attempt is released, the owner resumes and commits the claim. The claim
// must not block the key, since its sender knows that it never ran.
func TestLateClaimOfAbandonedAttemptDoesNotBlockKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(3)
		defer func() { c.close(); time.Sleep(time.Minute) }()
		key := NewKey("w", "s", "k")
		owner, sender, holder := ownerAndOthers(c, key)
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

// TestBeginWaitsForRunningAttempt calls Begin with a key whose work runs on
// another entry: it must wait for that answer, or until its context ends.
func TestBeginWaitsForRunningAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(3)
		defer func() { c.close(); time.Sleep(time.Minute) }()
		first, err := c.entries[0].process().ledger.Begin(context.Background(), "k", "f")
		g.Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(2*time.Second, func() { first.Attempt.Finish(&Answer{Status: 200, Body: []byte("held")}) })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		_, err = c.entries[1].process().ledger.Begin(ctx, "k", "f")
		g.Expect(err).To(MatchError(ErrInDoubt))
		second, err := c.entries[2].process().ledger.Begin(context.Background(), "k", "f")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second.Answer.Body).To(BeEquivalentTo("held"))
		g.Expect(time.Since(start)).To(Equal(2 * time.Second))
	})
}

// TestBeginFailsAtOnceIfHolderIsDead kills the holder of a key: Begin must return
// ErrInDoubt on other entries at once.
func TestBeginFailsAtOnceIfHolderIsDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(3)
		defer func() { c.close(); time.Sleep(time.Minute) }()
		_, err := c.entries[0].process().ledger.Begin(context.Background(), "k", "f")
		g.Expect(err).NotTo(HaveOccurred())
		c.entries[0].kill()
		time.Sleep(time.Second)
		start := time.Now()
		_, err = c.entries[1].process().ledger.Begin(context.Background(), "k", "f")
		g.Expect(err).To(MatchError(ErrInDoubt))
		g.Expect(time.Since(start)).To(BeZero())
	})
}

// TestUnconfirmedWriteAfterStaleReadIsUnresolved loses the reply to a write that
// followed a result computed from an out-of-date cache. The outcome must be
// unknown, not the cached result.
func TestUnconfirmedWriteAfterStaleReadIsUnresolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(2)
		defer func() { c.close(); time.Sleep(time.Minute) }()
		ctx := context.Background()
		here, there := c.entries[0].process().ledger.shards[0], c.entries[1].process().ledger.shards[0]
		_, err := here.submit(ctx, claimOp("k", "a1"))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = there.submit(ctx, Op{Kind: OpRelease, Key: "k", Attempt: "a1"})
		g.Expect(err).NotTo(HaveOccurred())
		c.entries[0].setFaults([]storeFault{storeOK, storeLostAnswer, storeUnavailable})
		_, err = here.submit(ctx, claimOp("k", "a2"))
		g.Expect(err).To(MatchError(errUnresolved))
		again, err := there.submit(ctx, claimOp("k", "a3"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.Record.Attempt).To(Equal("a2"))
	})
}
