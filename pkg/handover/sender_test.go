package handover

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/peer"
)

// fakePeer answers no call until responsive is set.
type fakePeer struct {
	responsive atomic.Bool
	calls      int
}

func (p *fakePeer) Call(ctx context.Context, _, _ string, args, reply any) error {
	p.calls++
	if !p.responsive.Load() {
		<-ctx.Done()
		return peer.ErrNoAnswer
	}
	reply.(*SyncReply).States = make([]SyncState, len(args.(*SyncArgs).Extensions))
	return nil
}

// TestSenderProbesSuspectedPeerOncePerPeriod checks that only one caller per
// period uses a peer that does not answer, and that the peer is no longer
// suspected once it answers.
func TestSenderProbesSuspectedPeerOncePerPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := &fakePeer{}
		s := &sender{self: "a", peer: "b", caller: p, now: time.Now}
		send := func() error {
			_, err := s.send(t.Context(), Extension{ID: "r"})
			return err
		}
		g.Expect(s.suspected()).To(BeFalse())
		g.Expect(send()).To(MatchError(peer.ErrNoAnswer))
		g.Expect(s.suspected()).To(BeTrue())
		time.Sleep(suspectTime)
		g.Expect(s.suspected()).To(BeFalse(), "the first caller may use the peer again")
		g.Expect(s.suspected()).To(BeTrue(), "further callers still see it as suspected")
		p.responsive.Store(true)
		g.Expect(send()).To(Succeed())
		g.Expect(s.suspected()).To(BeFalse())
	})
}

// TestSenderBatchesExtensionsDuringCall checks that extensions added during a
// call are sent together in the next one.
func TestSenderBatchesExtensionsDuringCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := &fakePeer{}
		s := &sender{self: "a", peer: "b", caller: p, now: time.Now}
		results := make(chan error, 10)
		for range 10 {
			go func() {
				_, err := s.send(t.Context(), Extension{ID: "r"})
				results <- err
			}()
			synctest.Wait()
		}
		p.responsive.Store(true)
		for range 10 {
			<-results
		}
		g.Expect(p.calls).To(Equal(2))
	})
}
