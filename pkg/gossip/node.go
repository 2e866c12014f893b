package gossip

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/allowance"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
	"github.com/medlarsill/medlarsill/pkg/rollout"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// Interval is the time between two messages of an instance.
	Interval = 200 * time.Millisecond
	// minFanout and maxFanout bound the number of peers that get one message. Between
	// the bounds it is 1/fanoutShare of the peers; successive messages rotate through them.
	minFanout   = 8
	maxFanout   = 24
	fanoutShare = 4
	// timeoutRounds is the number of rounds without a message after which a peer is
	// unreachable. In one round every peer gets a message.
	timeoutRounds = 4
	// maxNewPeers is the largest number of queued new peers; others get their first
	// message in the normal rotation.
	maxNewPeers = 512
	// maxFirstTarget bounds the position of an instance's first target.
	maxFirstTarget = 1 << 20
	// maxBroadcasts is the largest number of queued broadcasts.
	maxBroadcasts = 64
	// maxDirected is the largest number of queued messages to single peers.
	maxDirected = 1024
)

// Options configures a Node. All fields but DataCentre, ByDataCentre, StoreCutOff, OnRolloutReport and Metrics
// are required.
type Options struct {
	ID   string
	Boot uint64
	// DataCentre is the data centre of this instance; "" if it isn't known. With ByDataCentre, a message is
	// sent to one peer of each of the others, which passes it on there.
	DataCentre   string
	ByDataCentre bool
	// Listen is the UDP address of this instance. If its port is 0, Open sets it to the
	// one that was chosen.
	Listen netip.AddrPort
	// Fill adds this instance's state to a message.
	Fill func(m *Message)
	// OnMessage is called with each message of a peer, OnChanges and OnCrashes with the
	// changes and the reports of crashes that a peer broadcasts.
	OnMessage func(m Message)
	OnChanges func(data []byte)
	OnCrashes func(data []byte)
	// OnStreams is called with a peer's messages on streams.
	OnStreams func(from string, data []byte)
	// OnStreamBatch is called with streams that this instance is to store.
	OnStreamBatch func(data []byte)
	// OnRolloutReport is called with a report that a peer has sent to this instance alone.
	OnRolloutReport func(id string, boot uint64, r rollout.Report)
	// Accounts returns what this instance knows of the workspaces' allowances, and OnAccounts is
	// called with what a peer knows of them after this instance's start.
	Accounts   func() map[string]allowance.Account
	OnAccounts func(accounts map[string]allowance.Account)
	// StoreCutOff reports whether this instance's calls to the object store fail; nil means that they
	// don't.
	StoreCutOff func() bool
	// HasEnded reports whether no process listens at a peer's address any more; it is false if
	// that isn't known. OnEnded is called with each peer whose process has ended.
	HasEnded func(ctx context.Context, addr netip.AddrPort) bool
	OnEnded  func(id string)
	// Metrics registers the metrics; nil for none.
	Metrics prometheus.Registerer
	Log     *slog.Logger
	Now     func() time.Time
}

// Node sends and receives the messages of one instance.
type Node struct {
	Options
	mu    sync.Mutex
	peers map[string]*peer
	// members is the number of registered instances, including this one.
	members int
	// firstTarget is the position of the first message's first target among the peers. It
	// is a hash of the id, so that instances that start together send to different peers.
	firstTarget int
	// turn counts the peers to which regular messages were sent.
	turn uint64
	seq  uint64
	// urgent is true if the newest message has to be known everywhere at once, and urgentUntil is until
	// when all of them have. lastState is the sender's state in it.
	urgent      bool
	urgentUntil time.Time
	lastState   senderState
	// newPeers queues the addresses of peers that have just started or become known,
	// which get this instance's newest message immediately.
	newPeers chan netip.AddrPort
	// leftBoots holds, by peer, the boot number under which it last left.
	leftBoots map[string]uint64
	// broadcasts queues messages that are to be sent to all peers at once.
	broadcasts chan Message
	// directed queues messages to one peer each.
	directed chan directedMessage
	// leaveRequests carries the requests of Leave; isLeaving is true from then on.
	leaveRequests chan chan struct{}
	isLeaving     bool
	// conn is the socket, and out the same for sending; nil until Open.
	conn    *net.UDPConn
	out     datagramWriter
	probes  probing
	metrics *metrics
	// compressor is used by the goroutine that sends alone.
	compressor compressor
}

// Member is a registered instance: its UDP address and its boot number, the time of its
// start in Unix nanoseconds.
type Member struct {
	Addr netip.AddrPort `json:"addr"`
	Boot uint64         `json:"boot"`
}

// peer is another instance.
type peer struct {
	addr        netip.AddrPort
	boot        uint64
	seq         uint64
	lastSeen    time.Time
	unreachable bool
	// ended is true if the peer's process is known to have ended and no message of it has come since.
	ended bool
	// ready is true if the peer accepts new callers.
	ready bool
	// forwardPort and cutOff are those of the peer's newest message.
	forwardPort uint16
	cutOff      []string
	// storeCutOff is true if the peer's calls to the object store fail.
	storeCutOff bool
	// dataCentre is the peer's data centre; "" if it doesn't say. direct is true if its own data centre
	// doesn't pass messages on to it.
	dataCentre string
	direct     bool
	// lastTurn is the sender's turn at the last regular message to the peer; 0 before the first.
	lastTurn uint64
	// lastRelay is that of the last message that the peer was to relay to others.
	lastRelay uint64
}

// NewNode returns a node without peers.
func NewNode(o Options) *Node {
	if o.StoreCutOff == nil {
		o.StoreCutOff = func() bool { return false }
	}
	return &Node{
		Options: o, peers: make(map[string]*peer), members: 1, firstTarget: int(rendezvous.Key(o.ID) % maxFirstTarget), metrics: newMetrics(o.Metrics),
		newPeers:   make(chan netip.AddrPort, maxNewPeers),
		broadcasts: make(chan Message, maxBroadcasts), directed: make(chan directedMessage, maxDirected), leftBoots: make(map[string]uint64), leaveRequests: make(chan chan struct{}),
	}
}

// Open opens the socket. It must be called once, before Run.
func (n *Node) Open() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.Listen))
	if err != nil {
		return err
	}
	n.conn, n.out = conn, conn
	n.Listen = netip.AddrPortFrom(n.Listen.Addr(), conn.LocalAddr().(*net.UDPAddr).AddrPort().Port())
	return nil
}

// Run sends and receives messages until the context ends, and closes the socket.
func (n *Node) Run(ctx context.Context) error {
	conn := n.conn
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	go n.sendLoop(ctx, conn)
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			n.handleReadError(ctx, err)
			continue
		}
		n.Receive(buf[:size], from)
	}
	return nil
}

// Receive handles one datagram. It doesn't keep data.
func (n *Node) Receive(data []byte, from netip.AddrPort) {
	if isEnvelope(data) {
		n.receiveEnvelope(data, from)
		return
	}
	m, err := decode(data)
	if err != nil {
		n.Log.Warn("failed to decode message", "from", from.String(), "error", err.Error())
		return
	}
	switch {
	case m.ID == n.ID:
	case m.Changes != nil, m.Crashes != nil, m.Streams != nil, m.StreamBatch != nil, m.Accounts != nil, m.RolloutReport != nil:
		n.receiveBroadcast(m, from)
	case n.accept(m, from):
		n.OnMessage(m)
		n.recordLives(m.ID)
	}
}

// handleReadError logs a read error of the socket, then pauses, so that a persistent
// error doesn't flood the log.
func (n *Node) handleReadError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	n.Log.Warn("failed to read datagram", "error", err.Error())
	sleep.For(ctx, Interval)
}

// accept updates the state of a message's sender. It reports whether the message is
// newer than all earlier ones of that sender.
func (n *Node) accept(m Message, from netip.AddrPort) bool {
	if m.ID == n.ID {
		return false
	}
	timeout := n.PeerTimeout()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hasLeft(m.ID, m.Boot) {
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
	if m.Boot < p.boot && n.Now().Sub(p.lastSeen) <= timeout {
		return false // delayed message from before a restart; a restart with the clock set back follows a timeout
	}
	if p.boot != m.Boot || p.unreachable {
		n.Log.Info("peer reachable", "peer", m.ID, "restarted", p.boot != 0 && p.boot != m.Boot, "config", m.Config)
	}
	if m.Leaving {
		n.removeLeaving(m.ID, m.Boot)
		return true
	}
	if p.boot != m.Boot {
		n.queueNewPeer(from)
	}
	p.addr, p.boot, p.seq, p.lastSeen, p.unreachable, p.ready = from, m.Boot, m.Seq, n.Now(), false, m.Ready
	p.forwardPort, p.cutOff, p.storeCutOff = m.ForwardPort, m.CutOff, m.StoreCutOff
	p.dataCentre, p.direct = m.DataCentre, m.Direct
	return true
}

// queueNewPeer queues an address for the newest message. The caller must hold mu.
func (n *Node) queueNewPeer(addr netip.AddrPort) {
	select {
	case n.newPeers <- addr:
	default:
	}
}

// sendLoop sends all messages of this instance until it leaves or the context ends.
func (n *Node) sendLoop(ctx context.Context, conn datagramWriter) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	var newest []byte
	for {
		select {
		case <-ctx.Done():
			return
		case sent := <-n.leaveRequests:
			n.announceLeaving(conn)
			close(sent)
			return
		case addr := <-n.newPeers:
			if newest == nil {
				newest = n.message(nil)
			}
			n.welcome(conn, newest, addr)
		case m := <-n.broadcasts:
			n.sendToAll(conn, m)
		case d := <-n.directed:
			n.sendTo(conn, d)
		case <-ticker.C:
			newest = n.message(newest)
			n.sendRegular(conn, newest)
			n.logUnreachable()
		}
	}
}

// message encodes this instance's next message, or returns the last one on an error.
func (n *Node) message(last []byte) []byte {
	n.seq++
	m := Message{ID: n.ID, Boot: n.Boot, Seq: n.seq, Leaving: n.isLeaving, DataCentre: n.DataCentre, Direct: n.isCutOffLocally()}
	n.Fill(&m)
	n.recordUrgency(m)
	data, err := encode(m)
	if err != nil && m.EndpointSpeeds != nil {
		// The rest of the message is needed more, and the reports come again.
		m.EndpointSpeeds = nil
		data, err = encode(m)
	}
	if err != nil && m.FairShares != nil {
		// The counts are cumulative, so that the next ones make up for these.
		m.FairShares = nil
		data, err = encode(m)
	}
	if err != nil {
		n.Log.Error("failed to encode message", "error", err.Error())
		return last
	}
	return data
}

// datagramWriter is the socket, as far as it sends.
type datagramWriter interface {
	WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error)
}

// write sends a datagram unless it is nil. Errors are ignored, since datagrams may be
// lost anyway.
func (n *Node) write(conn datagramWriter, data []byte, to peerAddress) {
	if data != nil {
		_, _ = conn.WriteToUDPAddrPort(data, to.addr)
		n.metrics.sentBytes.WithLabelValues(to.where).Add(float64(len(data)))
	}
}

// fanout returns the number of peers that get one message.
func fanout(peers int) int { return min(max(minFanout, peers/fanoutShare), maxFanout) }

// logUnreachable logs the peers that have become unreachable.
func (n *Node) logUnreachable() {
	timeout := n.PeerTimeout()
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, p := range n.peers {
		if p.unreachable || p.lastSeen.IsZero() || n.Now().Sub(p.lastSeen) <= timeout {
			continue
		}
		p.unreachable = true
		n.Log.Warn("peer unreachable", "peer", id, "silent_ms", n.Now().Sub(p.lastSeen).Milliseconds())
	}
}
