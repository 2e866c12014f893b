package exchange_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/medlarsill/medlarsill/pkg/admit"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/exchange"
	"github.com/medlarsill/medlarsill/pkg/loadview"
	"github.com/medlarsill/medlarsill/pkg/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeCaller calls entries by id in one process. An id without an entry never answers.
type fakeCaller map[string]*exchange.Exchange

func (e fakeCaller) Call(ctx context.Context, id, _ string, args, reply any) error {
	to, ok := e[id]
	if !ok {
		<-ctx.Done()
		return peer.ErrNoAnswer
	}
	return to.RPC().Swap(args.(*exchange.Beliefs), reply.(*exchange.Beliefs))
}

// startExchanges runs an exchange among the given ids, of which the last one never answers.
func startExchanges(ctx context.Context, ids ...string) fakeCaller {
	var dir peer.Directory
	var infos []peer.Info
	for _, id := range ids {
		infos = append(infos, peer.Info{ID: id})
	}
	dir.Set(infos)
	all := fakeCaller{}
	for _, id := range ids[:len(ids)-1] {
		all[id] = &exchange.Exchange{
			Self: id, Admitter: admit.NewFairAdmitter(id, time.Now, 0), View: loadview.New(time.Now), Directory: &dir, Caller: all,
		}
		all[id].Admitter.SetCapacity("s", admit.Capacity{"a": 100})
	}
	for _, e := range all {
		go func() { _ = e.Run(ctx) }()
	}
	return all
}

// TestExchange_EnforcesMaxInFlightAcrossEntries checks that requests admitted at one
// entry count at another within one second, although a third one never answers.
func TestExchange_EnforcesMaxInFlightAcrossEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		all := startExchanges(ctx, "a", "b", "silent")
		r := admit.Request{
			Workspace: &config.Workspace{Name: "w", Weight: 1, MaxInFlight: 3, DataCentres: []string{"a"}},
			Service:   &config.Service{Name: "s"}, Deadline: time.Now().Add(time.Minute),
		}
		for range 3 {
			_, err := all["a"].Admitter.Admit(ctx, r)
			g.Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(time.Second)
		_, err := all["b"].Admitter.Admit(ctx, r)
		g.Expect(err).To(MatchError(admit.ErrOverLimit))
	})
}
