package gossip

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// Interval is the time between two messages of an instance.
	Interval = 200 * time.Millisecond
	// minFanout and maxFanout bound the number of peers that one message goes to;
	// between them it is a share of the peers, which take turns.
	minFanout   = 8
	maxFanout   = 24
	fanoutShare = 4
	// lostIntervals is the number of turns without a message after which a peer is silent.
	lostIntervals = 4
	// maxNewcomers is the number of newcomers that may wait for a message; others
	// get one in their turn.
	maxNewcomers = 64
	// maxChanges is the number of messages with changes that may wait to be sent.
	maxChanges = 64
)

// Options holds what a node is made of. All fields are needed.
type Options struct {
	ID   string
	Boot uint64
	// Listen is this instance's address for datagrams.
	Listen netip.AddrPort
	// Fill adds this instance's state to a message.
	Fill func(m *Message)
	// Heard takes a peer's message, Changes what a peer's watch has shown.
	OnMessage func(m Message)
	OnChanges func(data []byte)
	Log       *slog.Logger
	Now       func() time.Time
}

// Node sends and receives the messages of one instance.
type Node struct {
	Options
	mu    sync.Mutex
	peers map[string]*peer
	// members is the number of registered instances, this one included.
	members int
	turn    int
	seq     uint64
	// newcomers holds the addresses of peers that have just started or just become
	// known: they get this instance's newest message at once.
	newcomers chan netip.AddrPort
	// departed holds the newest start of each peer that has said that it leaves.
	departed map[string]uint64
	// changes holds what is to be told to all peers at once.
	changes chan []byte
	// leaving asks for the last messages, and left is true from then on.
	leaving chan chan struct{}
	left    bool
}

// Member is a registered instance: its address for datagrams and its start, in Unix
// nanoseconds.
type Member struct {
	Addr netip.AddrPort `json:"addr"`
	Boot uint64         `json:"boot"`
}

// peer is another instance.
type peer struct {
	addr  netip.AddrPort
	boot  uint64
	seq   uint64
	heard time.Time
	lost  bool
	// ready tells whether it takes new callers.
	ready bool
}

// NewNode returns a node that knows no peers.
func NewNode(o Options) *Node {
	return &Node{
		Options: o, peers: make(map[string]*peer), members: 1, newcomers: make(chan netip.AddrPort, maxNewcomers),
		changes: make(chan []byte, maxChanges), departed: make(map[string]uint64), leaving: make(chan chan struct{}),
	}
}

// Run sends and receives until the context ends.
func (n *Node) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.Listen))
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	go n.send(ctx, conn)
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			n.readFailed(ctx, err)
			continue
		}
		m, err := decode(buf[:size])
		if err != nil {
			n.Log.Warn("message ignored", "from", from.String(), "error", err.Error())
			continue
		}
		switch {
		case m.ID == n.ID:
		case m.Changes != nil:
			n.takeChanges(m, from)
		case n.take(m, from):
			n.OnMessage(m)
		}
	}
	return nil
}

// readFailed takes an error of the socket. One that comes again and again is not
// logged in haste.
func (n *Node) readFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	n.Log.Warn("datagram not read", "error", err.Error())
	sleep.For(ctx, Interval)
}

// take notes the sender of a message; false if a newer one of it was heard.
func (n *Node) take(m Message, from netip.AddrPort) bool {
	if m.ID == n.ID {
		return false
	}
	silence := n.PeerTimeout()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hasDeparted(m.ID, m.Boot) {
		return false
	}
	p, ok := n.peers[m.ID]
	if !ok {
		p = &peer{}
		n.peers[m.ID] = p
	}
	if m.Boot == p.boot && m.Seq <= p.seq {
		return false
	}
	if m.Boot < p.boot && n.Now().Sub(p.heard) <= silence {
		return false // late, of a start before: a start whose clock is behind comes after a silence
	}
	if p.boot != m.Boot || p.lost {
		n.Log.Info("peer heard", "peer", m.ID, "restarted", p.boot != 0 && p.boot != m.Boot, "config", m.Config)
	}
	if m.Leaving {
		n.depart(m.ID, m.Boot)
		return true
	}
	if p.boot != m.Boot {
		n.greet(from)
	}
	p.addr, p.boot, p.seq, p.heard, p.lost, p.ready = from, m.Boot, m.Seq, n.Now(), false, m.Ready
	return true
}

// greet has a peer get the newest message at once. The lock is held.
func (n *Node) greet(addr netip.AddrPort) {
	select {
	case n.newcomers <- addr:
	default:
	}
}

func (n *Node) send(ctx context.Context, conn *net.UDPConn) {
	turn := time.NewTicker(Interval)
	defer turn.Stop()
	var newest []byte
	for {
		select {
		case <-ctx.Done():
			return
		case sent := <-n.leaving:
			n.sayFarewell(conn)
			close(sent)
			return
		case addr := <-n.newcomers:
			if newest == nil {
				newest = n.message(nil)
			}
			write(conn, newest, addr)
		case data := <-n.changes:
			n.sendChanges(conn, data)
		case <-turn.C:
			newest = n.message(newest)
			for _, addr := range n.targets() {
				write(conn, newest, addr)
			}
			n.noteLost()
		}
	}
}

// message returns this instance's next message, or the last one if there is none.
func (n *Node) message(last []byte) []byte {
	n.seq++
	m := Message{ID: n.ID, Boot: n.Boot, Seq: n.seq, Leaving: n.left}
	n.Fill(&m)
	data, err := encode(m)
	if err != nil {
		n.Log.Error("message not sent", "error", err.Error())
		return last
	}
	return data
}

// write sends a datagram, if there is one yet. One that can't be sent is as good
// as a lost one.
func write(conn *net.UDPConn, data []byte, to netip.AddrPort) {
	if data != nil {
		_, _ = conn.WriteToUDPAddrPort(data, to)
	}
}

// all returns the addresses of all peers.
func (n *Node) all() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(n.peers))
	for _, p := range n.peers {
		if p.addr.IsValid() {
			list = append(list, p.addr)
		}
	}
	return list
}

// targets returns the peers whose turn it is.
func (n *Node) targets() []netip.AddrPort {
	all := n.all()
	count := fanout(len(all))
	if len(all) <= count {
		return all
	}
	sortAddrs(all)
	out := make([]netip.AddrPort, 0, count)
	for i := range count {
		out = append(out, all[(n.turn+i)%len(all)])
	}
	n.turn = (n.turn + count) % len(all)
	return out
}

// fanout is the number of peers that one message goes to.
func fanout(peers int) int { return min(max(minFanout, peers/fanoutShare), maxFanout) }

// noteLost logs the peers that have fallen silent.
func (n *Node) noteLost() {
	silence := n.PeerTimeout()
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, p := range n.peers {
		if p.lost || p.heard.IsZero() || n.Now().Sub(p.heard) <= silence {
			continue
		}
		p.lost = true
		n.Log.Warn("peer silent", "peer", id, "silent_ms", n.Now().Sub(p.heard).Milliseconds())
	}
}
