package gossip

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

var discard = slog.New(slog.NewTextHandler(io.Discard, nil))

func address(i int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7600", i)) }

// registered returns members that have all started once.
func registered(addrs map[string]netip.AddrPort) map[string]Member {
	out := make(map[string]Member, len(addrs))
	for id, addr := range addrs {
		out[id] = Member{Addr: addr, Boot: 1}
	}
	return out
}

func newNode(id string, now *time.Time) *Node {
	return NewNode(Options{ID: id, Boot: 1, Listen: address(1), Fill: func(*Message) {}, OnMessage: func(Message) {}, Log: discard, Now: func() time.Time { return *now }})
}

func TestAMessageSurvivesTheWire(t *testing.T) {
	g := NewWithT(t)
	in := Message{
		ID: "a", Boot: 7, Seq: 3, WallMS: 1700000000123, Config: 9,
		Load: map[string]Load{"i-1": {Running: 2, Prompt: 900}}, Totals: map[string]float64{"w1": 12345},
		Demand: map[string]float64{"s1": 1.5}, Usage: map[int64]map[string]int{4: {"w1": 2}},
	}
	data, err := encode(in)
	g.Expect(err).NotTo(HaveOccurred())
	out, err := decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal(in))
}

func FuzzDecode(f *testing.F) {
	data, _ := encode(Message{ID: "a", Boot: 1})
	f.Add(data)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decode(data)
		if err == nil && (m.ID == "" || m.Boot == 0) {
			t.Fatal("a message without a sender was taken")
		}
	})
}

func TestOnlyNewerMessagesOfAStartCount(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	n := newNode("a", &now)
	g.Expect(n.take(Message{ID: "b", Boot: 5, Seq: 2}, address(2))).To(BeTrue())
	g.Expect(n.take(Message{ID: "b", Boot: 5, Seq: 2}, address(2))).To(BeFalse(), "a repeat")
	g.Expect(n.take(Message{ID: "b", Boot: 5, Seq: 1}, address(2))).To(BeFalse(), "out of order")
	g.Expect(n.take(Message{ID: "b", Boot: 4, Seq: 9}, address(2))).To(BeFalse(), "of an earlier start")
	g.Expect(n.take(Message{ID: "b", Boot: 6, Seq: 1}, address(3))).To(BeTrue(), "of a later start, at another address")
	g.Expect(n.take(Message{ID: "a", Boot: 9, Seq: 1}, address(1))).To(BeFalse(), "its own")
	g.Expect(n.Members()).To(Equal(2))
	now = now.Add(2 * n.PeerTimeout())
	g.Expect(n.take(Message{ID: "b", Boot: 5, Seq: 1}, address(3))).To(BeTrue(), "of a start whose clock was set back")
}

func TestMembersAreForgottenOnlyIfSilentAndNotRegistered(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	n := newNode("a", &now)
	n.SetMembers(registered(map[string]netip.AddrPort{"a": address(1), "b": address(2), "c": address(3)}))
	g.Expect(n.Members()).To(Equal(3))
	now = now.Add(time.Hour)
	n.take(Message{ID: "b", Boot: 1, Seq: 1}, address(2))
	n.SetMembers(registered(map[string]netip.AddrPort{"a": address(1), "c": address(3)}))
	g.Expect(n.Members()).To(Equal(3), "b was just heard, c is registered")
	now = now.Add(time.Hour)
	n.SetMembers(registered(map[string]netip.AddrPort{"a": address(1), "c": address(3)}))
	g.Expect(n.Members()).To(Equal(2))
}

func TestPeersTakeTurns(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	n := newNode("a", &now)
	list := map[string]netip.AddrPort{"a": address(1)}
	for i := range 20 {
		list[fmt.Sprint("p", i)] = address(10 + i)
	}
	n.SetMembers(registered(list))
	count := map[netip.AddrPort]int{}
	for range 5 {
		targets := n.targets()
		g.Expect(targets).To(HaveLen(minFanout))
		for _, t := range targets {
			count[t]++
		}
	}
	g.Expect(count).To(HaveLen(20))
	for _, times := range count {
		g.Expect(times).To(Equal(2))
	}
}

func TestRanksDiffer(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	names := []string{"a", "b", "c", "d"}
	seen := map[int]bool{}
	for _, name := range names {
		n := newNode(name, &now)
		for _, other := range names {
			if other != name {
				n.take(Message{ID: other, Boot: 1, Seq: 1, Ready: true}, address(2))
			}
		}
		seen[n.Rank()] = true
	}
	g.Expect(seen).To(HaveLen(4))
	alone := newNode("a", &now)
	alone.SetMembers(registered(map[string]netip.AddrPort{"b": address(2)}))
	g.Expect(alone.Rank()).To(BeZero(), "who hears nobody is the first")
}

// read has a registry read the registrations once.
func read(ctx context.Context, r *Registry) error {
	_, err := r.step(ctx)
	return err
}

// Guards against a start of all instances in which each takes itself for the only one
// for eight seconds: all of them ask for the duties, and all watch the store.
func TestInstancesThatStartTogetherKnowEachOtherSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := memstore.New()
		ctx, cancel := context.WithCancel(context.Background())
		var nodes []*Node
		for i := range 5 {
			n := NewNode(Options{ID: fmt.Sprint("n", i), Boot: 1, Listen: address(i + 1), Fill: func(*Message) {}, OnMessage: func(Message) {}, Log: discard, Now: time.Now})
			nodes = append(nodes, n)
			r := &Registry{Store: store, Node: n, Log: discard, Now: time.Now, MayRemove: func() bool { return false }}
			go func() { _ = r.Run(ctx) }()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for _, n := range nodes {
			g.Expect(n.Members()).To(Equal(5), n.ID)
		}
		g.Expect(store.Calls()[memstore.OpList]).To(Equal(10))
		cancel()
		synctest.Wait()
	})
}

func TestRegistryRegistersAndRemovesWhatIsGone(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	store := memstore.New()
	ctx := context.Background()
	_, err := store.Create(ctx, Prefix+"gone", []byte(`{"addr":"10.0.0.9:7600"}`))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = store.Create(ctx, Prefix+"odd", []byte(`nonsense`))
	g.Expect(err).NotTo(HaveOccurred())
	n := newNode("a", &now)
	remover := false
	r := &Registry{Store: store, Node: n, Log: discard, Now: func() time.Time { return now }, MayRemove: func() bool { return remover }, missing: make(map[string]time.Time)}
	g.Expect(read(ctx, r)).To(Succeed())
	g.Expect(n.Members()).To(Equal(2))
	o, err := store.Get(ctx, Prefix+"a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Value).To(MatchJSON(`{"addr":"10.0.0.1:7600","boot":1}`))

	now = now.Add(RemoveAfter)
	g.Expect(read(ctx, r)).To(Succeed())
	_, err = store.Get(ctx, Prefix+"gone")
	g.Expect(err).NotTo(HaveOccurred(), "only the holder of the duties removes")
	remover = true
	g.Expect(read(ctx, r)).To(Succeed())
	_, err = store.Get(ctx, Prefix+"gone")
	g.Expect(err).To(HaveOccurred())
}

// TestNodesHearEachOther runs two nodes over loopback datagrams.
func TestNodesHearEachOther(t *testing.T) {
	g := NewWithT(t)
	heard := make(chan Message, 1)
	a, b := freePort(t), freePort(t)
	start := func(id string, at netip.AddrPort, other netip.AddrPort, take func(Message)) func() {
		n := NewNode(Options{ID: id, Boot: 1, Listen: at, Fill: func(m *Message) { m.Config = 42 }, OnMessage: take, Log: discard, Now: time.Now})
		n.SetMembers(registered(map[string]netip.AddrPort{"other": other}))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		return func() {
			cancel()
			g.Expect(<-done).To(Succeed())
		}
	}
	stopA := start("a", a, b, func(Message) {})
	stopB := start("b", b, a, func(m Message) {
		select {
		case heard <- m:
		default:
		}
	})
	m := <-heard
	g.Expect(m.ID).To(Equal("a"))
	g.Expect(m.Config).To(BeEquivalentTo(42))
	stopA()
	stopB()
}

func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// TestAFarewellReachesThePeers has one of two nodes leave over loopback datagrams.
func TestAFarewellReachesThePeers(t *testing.T) {
	g := NewWithT(t)
	a, b := freePort(t), freePort(t)
	stays := NewNode(Options{ID: "b", Boot: 1, Listen: b, Fill: func(*Message) {}, OnMessage: func(Message) {}, Log: discard, Now: time.Now})
	leaves := NewNode(Options{ID: "a", Boot: 1, Listen: a, Fill: func(*Message) {}, OnMessage: func(Message) {}, Log: discard, Now: time.Now})
	leaves.SetMembers(registered(map[string]netip.AddrPort{"b": b}))
	stays.SetMembers(registered(map[string]netip.AddrPort{"a": a}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	for _, n := range []*Node{stays, leaves} {
		go func() { done <- n.Run(ctx) }()
	}
	g.Eventually(stays.ReachablePeers).WithTimeout(20 * time.Second).Should(Equal(1))
	leaves.Leave(ctx)
	g.Eventually(stays.Members).WithTimeout(20 * time.Second).Should(Equal(1))
	cancel()
	for range 2 {
		g.Expect(<-done).To(Succeed())
	}
}

// TestPeersThatAreNotReadyHaveNoRank is a rolling stop: those that stop would
// otherwise keep the first ranks, and nobody would take the duties over.
func TestPeersThatAreNotReadyHaveNoRank(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	names := []string{"a", "b", "c", "d"}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(rendezvous.Key(a), rendezvous.Key(b)) })
	last := newNode(names[3], &now)
	for _, other := range names[:3] {
		last.take(Message{ID: other, Boot: 1, Seq: 1, Ready: true}, address(2))
	}
	g.Expect(last.Rank()).To(Equal(3))
	for _, other := range names[:3] {
		last.take(Message{ID: other, Boot: 1, Seq: 2}, address(2))
	}
	g.Expect(last.Rank()).To(BeZero())
}

// TestNewcomersGetAMessageAtOnce: an instance that starts hears its peers before
// their next turns.
// Guards against endpoints that are taken from anybody who reaches the port.
func TestChangesOfStrangersAreIgnored(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	n := newNode("a", &now)
	var heard []string
	n.OnChanges = func(data []byte) { heard = append(heard, string(data)) }
	n.takeChanges(Message{ID: "b", Boot: 5, Changes: []byte("unheard")}, address(2))
	n.take(Message{ID: "b", Boot: 5, Seq: 1}, address(2))
	n.takeChanges(Message{ID: "b", Boot: 5, Changes: []byte("elsewhere")}, address(3))
	n.takeChanges(Message{ID: "b", Boot: 4, Changes: []byte("earlier start")}, address(2))
	n.takeChanges(Message{ID: "b", Boot: 5, Changes: []byte("peer")}, address(2))
	g.Expect(heard).To(Equal([]string{"peer"}))
}

func TestNewcomersGetAMessageAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	n := newNode("a", &now)
	n.SetMembers(registered(map[string]netip.AddrPort{"a": address(1), "b": address(2)}))
	g.Expect(n.newcomers).To(Receive(Equal(address(2))), "a peer that has just become known")
	n.take(Message{ID: "b", Boot: 5, Seq: 1}, address(2))
	g.Expect(n.newcomers).To(Receive(Equal(address(2))), "a start that hasn't been heard")
	n.take(Message{ID: "b", Boot: 5, Seq: 2}, address(2))
	g.Expect(n.newcomers).NotTo(Receive())
	n.take(Message{ID: "b", Boot: 6, Seq: 1}, address(3))
	g.Expect(n.newcomers).To(Receive(Equal(address(3))), "a restart at another address")
}

// TestNothingIsSetAsideForAPeerThatHasLeft is a rolling stop: the last message of a
// peer ends its membership at once, whatever its registration says, and a later
// start of it is a member again.
func TestNothingIsSetAsideForAPeerThatHasLeft(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	n := newNode("a", &now)
	list := registered(map[string]netip.AddrPort{"a": address(1), "b": address(2), "c": address(3)})
	n.SetMembers(list)
	g.Expect(n.take(Message{ID: "b", Boot: 1, Seq: 5}, address(2))).To(BeTrue())
	g.Expect(n.take(Message{ID: "b", Boot: 1, Seq: 6, Leaving: true}, address(2))).To(BeTrue(), "its last totals count")
	g.Expect(n.Members()).To(Equal(2))
	g.Expect(n.take(Message{ID: "b", Boot: 1, Seq: 7, Leaving: true}, address(2))).To(BeFalse(), "repeats don't")
	g.Expect(n.take(Message{ID: "b", Boot: 1, Seq: 4}, address(2))).To(BeFalse(), "nor what was late")
	n.SetMembers(list)
	g.Expect(n.Members()).To(Equal(2), "its registration is still there")
	list["b"] = Member{Addr: address(4), Boot: 2}
	n.SetMembers(list)
	g.Expect(n.Members()).To(Equal(3), "it is registered again")
	g.Expect(n.take(Message{ID: "c", Boot: 1, Seq: 1, Leaving: true}, address(3))).To(BeTrue(), "never heard before")
	g.Expect(n.Members()).To(Equal(2))
	g.Expect(n.take(Message{ID: "c", Boot: 9, Seq: 1}, address(3))).To(BeTrue())
	g.Expect(n.Members()).To(Equal(3), "a later start")
}

func TestARegistrationOfAPeerThatHasLeftIsRemovedAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	store := memstore.New()
	ctx := context.Background()
	_, err := store.Create(ctx, Prefix+"b", []byte(`{"addr":"10.0.0.2:7600","boot":1}`))
	g.Expect(err).NotTo(HaveOccurred())
	n := newNode("a", &now)
	r := &Registry{Store: store, Node: n, Log: discard, Now: func() time.Time { return now }, MayRemove: func() bool { return true }, missing: make(map[string]time.Time)}
	g.Expect(read(ctx, r)).To(Succeed())
	g.Expect(n.Members()).To(Equal(2))
	n.take(Message{ID: "b", Boot: 1, Seq: 1, Leaving: true}, address(2))
	g.Expect(read(ctx, r)).To(Succeed())
	_, err = store.Get(ctx, Prefix+"b")
	g.Expect(err).To(MatchError(objectstore.ErrNotFound))
	g.Expect(r.Unregister(ctx)).To(Succeed())
	_, err = store.Get(ctx, Prefix+"a")
	g.Expect(err).To(MatchError(objectstore.ErrNotFound), "its own registration is taken back at a planned stop")
	g.Expect(r.Unregister(ctx)).To(Succeed(), "once more")
}
