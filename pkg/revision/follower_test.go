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

// cluster runs followers that call each other. A call over a blocked link hangs until its
// context ends, as on a connection that delivers nothing.
type cluster struct {
	mu        sync.Mutex
	store     *memstore.Store
	followers map[string]*Follower
	blocked   map[[2]string]bool
	running   sync.WaitGroup
	stops     map[string]context.CancelFunc
}

type clusterCaller struct {
	cluster *cluster
	from    string
}

func (c clusterCaller) CallAddr(ctx context.Context, addr, method string, args, reply any) error {
	c.cluster.mu.Lock()
	f, silent := c.cluster.followers[addr], c.cluster.blocked[[2]string{c.from, addr}] || c.cluster.blocked[[2]string{addr, c.from}]
	c.cluster.mu.Unlock()
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
	c := &cluster{store: memstore.New(), followers: map[string]*Follower{}, blocked: map[[2]string]bool{}, stops: map[string]context.CancelFunc{}}
	if err := Write(t.Context(), c.store, 0, &config.Envelope{WriteID: "first"}); err != nil {
		t.Fatal(err)
	}
	for i := range n {
		c.start(fmt.Sprint(i), true)
	}
	return c
}

// start runs a follower in place of any earlier one with the same id.
func (c *cluster) start(id string, registered bool) {
	f := NewFollower(c.store, slog.New(slog.NewTextHandler(io.Discard, nil)), time.Now)
	at := time.Now()
	f.SetPeers(Peers{
		Caller: clusterCaller{c, id}, Sources: func() []peer.Info { return readers(c.others(id)) }, All: func() []peer.Info { return c.others(id) },
		Reader:     func() bool { return id < "2" },
		Registered: func() (time.Time, int, bool) { return at.Add(-time.Millisecond), 6, registered },
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	if stop, ok := c.stops[id]; ok {
		stop()
	}
	c.followers[id], c.stops[id] = f, cancel
	c.running.Go(func() { _ = f.Run(ctx) })
}

func (c *cluster) others(id string) []peer.Info {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []peer.Info
	for other := range c.followers {
		if other != id {
			out = append(out, peer.Info{ID: other, Addr: other})
		}
	}
	return out
}

// readers returns the peers whose Reader returns true.
func readers(peers []peer.Info) []peer.Info {
	return slices.DeleteFunc(peers, func(p peer.Info) bool { return p.ID >= "2" })
}

func (c *cluster) stop() {
	for _, cancel := range c.stops {
		cancel()
	}
	c.running.Wait()
}

// setStoreOutage makes the store refuse all calls, or none.
func (c *cluster) setStoreOutage(on bool) {
	c.store.SetHook(func(memstore.Op, string) memstore.Fault {
		if on {
			return memstore.FaultUnavailable
		}
		return memstore.FaultNone
	})
}

// isolate blocks all links of a follower.
func (c *cluster) isolate(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.followers {
		c.blocked[[2]string{id, other}] = true
	}
}

// entries lists six registered entries, as an operator's process reads them.
func (c *cluster) entries(context.Context) ([]Entry, error) {
	var out []Entry
	for i := range 6 {
		out = append(out, Entry{Info: peer.Info{ID: fmt.Sprint(i), Addr: fmt.Sprint(i)}, Group: 6})
	}
	return out, nil
}

// countFresh returns how many followers are fresh.
func (c *cluster) countFresh() int {
	n := 0
	for _, f := range c.followers {
		if f.Fresh() {
			n++
		}
	}
	return n
}

func TestFollower_StaysFreshThroughPeersDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 6)
		defer c.stop()
		time.Sleep(3 * time.Second)
		g.Expect(c.countFresh()).To(Equal(6))
		c.setStoreOutage(true)
		for range 300 {
			time.Sleep(200 * time.Millisecond)
			g.Expect(c.countFresh()).To(Equal(6))
		}
	})
}

func TestFollower_NotFreshWithoutStoreAndPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 6)
		defer c.stop()
		time.Sleep(3 * time.Second)
		c.setStoreOutage(true)
		c.isolate("4")
		time.Sleep(MaxConfirmationAge + time.Millisecond)
		g.Expect(c.followers["4"].Fresh()).To(BeFalse())
		g.Expect(c.countFresh()).To(Equal(5))
		c.mu.Lock()
		c.blocked = map[[2]string]bool{}
		c.mu.Unlock()
		time.Sleep(2 * time.Second)
		g.Expect(c.countFresh()).To(Equal(6))
	})
}

func TestFollower_StartedDuringOutageConfirmsThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 6)
		defer c.stop()
		time.Sleep(3 * time.Second)
		c.setStoreOutage(true)
		c.start("5", false)
		g.Expect(c.followers["5"].Fresh()).To(BeFalse())
		time.Sleep(3 * time.Second)
		g.Expect(c.followers["5"].Fresh()).To(BeTrue())
		g.Expect(c.followers["5"].Revision()).To(BeEquivalentTo(1))
	})
}

// A change must be in force on all entries within 4 s: without a push if the operator's
// process stops right after the write, and with Await if one entry is unreachable.
func TestAwait_ChangeInForceWithinFourSeconds(t *testing.T) {
	const limit = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 6)
		defer c.stop()
		time.Sleep(3 * time.Second)
		begin := time.Now()
		g.Expect(Write(t.Context(), c.store, 1, &config.Envelope{WriteID: "second"})).To(Succeed())
		for i := range 6 {
			for c.followers[fmt.Sprint(i)].Revision() < 2 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		g.Expect(time.Since(begin)).To(BeNumerically("<", limit))

		c.isolate("5")
		begin = time.Now()
		third := &config.Envelope{WriteID: "third"}
		g.Expect(Write(t.Context(), c.store, 2, third)).To(Succeed())
		status, err := Await(t.Context(), clusterCaller{c, "admin"}, c.entries, third, time.Now)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status.InForce).To(BeTrue())
		g.Expect(time.Since(begin)).To(BeNumerically("<", limit))
	})
}

func TestAwait_ReportsMissingEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 4)
		defer c.stop()
		second := &config.Envelope{WriteID: "second"}
		g.Expect(Write(t.Context(), c.store, 1, second)).To(Succeed())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		status, err := Await(ctx, clusterCaller{c, "admin"}, c.entries, second, time.Now)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status.InForce).To(BeFalse())
		g.Expect(status.Missing).To(Equal([]string{"4", "5"}))
	})
}
