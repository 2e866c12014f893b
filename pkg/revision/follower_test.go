package revision

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	"github.com/medlarsill/medlarsill/pkg/peer"
)

// cluster runs followers that call each other. A call over a cut link hangs until its
// context ends, as on a connection that has gone silent.
type cluster struct {
	mu        sync.Mutex
	store     *memstore.Store
	followers map[string]*Follower
	cut       map[[2]string]bool
	running   sync.WaitGroup
	stops     map[string]context.CancelFunc
}

type clusterCaller struct {
	s    *cluster
	from string
}

func (c clusterCaller) CallAddr(ctx context.Context, addr, method string, args, reply any) error {
	c.s.mu.Lock()
	f, silent := c.s.followers[addr], c.s.cut[[2]string{c.from, addr}] || c.s.cut[[2]string{addr, c.from}]
	c.s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return peer.ErrNoAnswer
	}
	if f == nil {
		return peer.ErrUnreachable
	}
	switch method {
	case methodApply:
		return f.RPC().Apply(args.(Envelope), reply.(*Answer))
	case methodState:
		return f.RPC().State(args.(Question), reply.(*Answer))
	}
	return f.RPC().Fetch(args.(None), reply.(*Envelope))
}

func newCluster(t *testing.T, n int) *cluster {
	s := &cluster{store: memstore.New(), followers: map[string]*Follower{}, cut: map[[2]string]bool{}, stops: map[string]context.CancelFunc{}}
	if err := Write(t.Context(), s.store, 0, &config.Envelope{WriteID: "first"}); err != nil {
		t.Fatal(err)
	}
	for i := range n {
		s.start(fmt.Sprint(i), true)
	}
	return s
}

// start runs a follower in place of any earlier one with the same id.
func (s *cluster) start(id string, registered bool) {
	f := NewFollower(s.store, slog.New(slog.NewTextHandler(io.Discard, nil)), time.Now)
	at := time.Now()
	f.SetPeers(Peers{
		Caller: clusterCaller{s, id}, Sources: func() []peer.Info { return readers(s.others(id)) }, All: func() []peer.Info { return s.others(id) },
		Reader:     func() bool { return id < "2" },
		Registered: func() (time.Time, int, bool) { return at.Add(-time.Millisecond), 6, registered },
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	if stop, ok := s.stops[id]; ok {
		stop()
	}
	s.followers[id], s.stops[id] = f, cancel
	s.running.Go(func() { _ = f.Run(ctx) })
}

func (s *cluster) others(id string) []peer.Info {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []peer.Info
	for other := range s.followers {
		if other != id {
			out = append(out, peer.Info{ID: other, Addr: other})
		}
	}
	return out
}

func readers(peers []peer.Info) []peer.Info {
	return slices.DeleteFunc(peers, func(p peer.Info) bool { return p.ID >= "2" })
}

func (s *cluster) stop() {
	for _, cancel := range s.stops {
		cancel()
	}
	s.running.Wait()
}

// setStoreOutage makes the store refuse all calls, or none.
func (s *cluster) setStoreOutage(on bool) {
	s.store.SetHook(func(memstore.Op, string) memstore.Fault {
		if on {
			return memstore.FaultUnavailable
		}
		return memstore.FaultNone
	})
}

func (s *cluster) isolate(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other := range s.followers {
		s.cut[[2]string{id, other}] = true
	}
}

// entries lists six registered entries, as an operator's process reads them.
func (s *cluster) entries(context.Context) ([]Entry, error) {
	var out []Entry
	for i := range 6 {
		out = append(out, Entry{Info: peer.Info{ID: fmt.Sprint(i), Addr: fmt.Sprint(i)}, Group: 6})
	}
	return out, nil
}

func (s *cluster) countFresh() int {
	n := 0
	for _, f := range s.followers {
		if f.Fresh() {
			n++
		}
	}
	return n
}

func TestFollower_StaysFreshThroughPeersDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newCluster(t, 6)
		defer s.stop()
		time.Sleep(3 * time.Second)
		g.Expect(s.countFresh()).To(Equal(6))
		s.setStoreOutage(true)
		for range 300 {
			time.Sleep(200 * time.Millisecond)
			g.Expect(s.countFresh()).To(Equal(6))
		}
	})
}

func TestFollower_NotFreshWithoutStoreAndPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newCluster(t, 6)
		defer s.stop()
		time.Sleep(3 * time.Second)
		s.setStoreOutage(true)
		s.isolate("4")
		time.Sleep(MaxConfirmationAge + time.Millisecond)
		g.Expect(s.followers["4"].Fresh()).To(BeFalse())
		g.Expect(s.countFresh()).To(Equal(5))
		s.mu.Lock()
		s.cut = map[[2]string]bool{}
		s.mu.Unlock()
		time.Sleep(2 * time.Second)
		g.Expect(s.countFresh()).To(Equal(6))
	})
}

func TestFollower_StartedDuringOutageConfirmsThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newCluster(t, 6)
		defer s.stop()
		time.Sleep(3 * time.Second)
		s.setStoreOutage(true)
		s.start("5", false)
		g.Expect(s.followers["5"].Fresh()).To(BeFalse())
		time.Sleep(3 * time.Second)
		g.Expect(s.followers["5"].Fresh()).To(BeTrue())
		g.Expect(s.followers["5"].Revision()).To(BeEquivalentTo(1))
	})
}

// A change must be in force on all entries within 4 s: without a push if the operator's
// process stops right after the write, and with Await if one entry is silent.
func TestAwait_ChangeInForceWithinFourSeconds(t *testing.T) {
	const limit = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newCluster(t, 6)
		defer s.stop()
		time.Sleep(3 * time.Second)
		begin := time.Now()
		g.Expect(Write(t.Context(), s.store, 1, &config.Envelope{WriteID: "second"})).To(Succeed())
		for i := range 6 {
			for s.followers[fmt.Sprint(i)].Revision() < 2 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		g.Expect(time.Since(begin)).To(BeNumerically("<", limit))

		s.isolate("5")
		begin = time.Now()
		third := &config.Envelope{WriteID: "third"}
		g.Expect(Write(t.Context(), s.store, 2, third)).To(Succeed())
		v, err := Await(t.Context(), clusterCaller{s, "admin"}, s.entries, third, time.Now)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.InForce).To(BeTrue())
		g.Expect(time.Since(begin)).To(BeNumerically("<", limit))
	})
}

func TestAwait_ReportsMissingEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newCluster(t, 4)
		defer s.stop()
		second := &config.Envelope{WriteID: "second"}
		g.Expect(Write(t.Context(), s.store, 1, second)).To(Succeed())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		v, err := Await(ctx, clusterCaller{s, "admin"}, s.entries, second, time.Now)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.InForce).To(BeFalse())
		g.Expect(v.Missing).To(Equal([]string{"4", "5"}))
	})
}
