package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
)

// Where a receiver is, relative to the sender.
const (
	sameDataCentre    = "same"
	otherDataCentre   = "other"
	unknownDataCentre = "unknown"
)

// peerAddress is where a peer is reached.
type peerAddress struct {
	addr netip.AddrPort
	// where says in which data centre the peer is, and dataCentre is that one if it is known.
	where, dataCentre string
	// relayed is true if peers of its data centre pass messages on to the peer.
	relayed bool
	// peer is the peer itself, and lastTurn its turn of the last regular message that was sent to it.
	peer     *peer
	lastTurn uint64
}

// addresses returns the addresses of all peers.
func (n *Node) addresses() []peerAddress {
	n.mu.Lock()
	defer n.mu.Unlock()
	suspectAfter := n.roundTime() + Interval
	// Few peers get each message directly, so that a detour would only delay it.
	relays := n.ByDataCentre && len(n.peers) > minFanout
	list := make([]peerAddress, 0, len(n.peers))
	for _, p := range n.peers {
		if !p.addr.IsValid() {
			continue
		}
		a := n.locate(p)
		// A peer that may be cut off, or whose data centre may be, gets messages from here.
		suspect := p.unreachable || n.Now().Sub(p.lastSeen) > suspectAfter
		a.relayed = relays && a.where == otherDataCentre && !suspect && !p.direct
		list = append(list, a)
	}
	return list
}

// locate returns where a peer is. The caller must hold mu.
func (n *Node) locate(p *peer) peerAddress {
	a := peerAddress{addr: p.addr, where: otherDataCentre, dataCentre: p.dataCentre, peer: p, lastTurn: p.lastTurn}
	switch {
	case n.DataCentre == "" || p.dataCentre == "":
		a.where = unknownDataCentre
	case p.dataCentre == n.DataCentre:
		a.where = sameDataCentre
	}
	return a
}

// peerAt returns where the peer with an address is; false if there is none.
func (n *Node) peerAt(addr netip.AddrPort) (peerAddress, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		if p.addr == addr {
			return n.locate(p), true
		}
	}
	return peerAddress{addr: addr, where: unknownDataCentre}, false
}

// isCutOffLocally reports whether this instance doesn't hear at least half of the peers of its own data
// centre, which pass messages on to it. Peers that were never heard may be there too: an instance that
// starts while it is cut off from its data centre knows the data centres of the others only.
func (n *Node) isCutOffLocally() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	local, silent := 0, 0
	for _, p := range n.peers {
		neverHeard := p.boot == 0
		if n.locate(p).where != sameDataCentre && !neverHeard {
			continue
		}
		local++
		if n.Now().Sub(p.lastSeen) > n.roundTime()+Interval {
			silent++
		}
	}
	return local > 0 && 2*silent >= local
}

// delivery is what one datagram does: it goes to a peer, which passes it on to others.
type delivery struct {
	to     peerAddress
	passOn []netip.AddrPort
}

// deliveries returns the datagrams of the next regular message. Each peer gets the message as often as
// without data centres, but of those of another one only one gets it from here.
func (n *Node) deliveries() []delivery {
	var list []delivery
	direct, relayed := n.split()
	peers := len(direct)
	for _, group := range relayed {
		peers += len(group)
	}
	for _, p := range n.next(direct, share(len(direct), peers)) {
		list = append(list, delivery{to: p})
	}
	for _, group := range relayed {
		part := n.next(group, share(len(group), peers))
		list = append(list, n.deliverVia(part))
	}
	return list
}

// deliverVia returns the datagram for a part of another data centre. The peer that was the relay least recently
// passes it on: the first of the part may always be the same one.
func (n *Node) deliverVia(part []peerAddress) delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	relay := slices.MinFunc(part, func(a, b peerAddress) int { return cmp.Compare(a.peer.lastRelay, b.peer.lastRelay) })
	relay.peer.lastRelay = n.turn
	d := delivery{to: relay}
	for _, p := range part {
		if p.peer != relay.peer {
			d.passOn = append(d.passOn, p.addr)
		}
	}
	return d
}

// split returns the peers that get the next message from here, and the others by data centre. Urgent news
// takes no detour.
func (n *Node) split() (direct []peerAddress, relayed map[string][]peerAddress) {
	relayed = make(map[string][]peerAddress)
	urgent := n.urgent || n.Now().Before(n.urgentUntil)
	for _, p := range n.addresses() {
		if p.relayed && !urgent {
			relayed[p.dataCentre] = append(relayed[p.dataCentre], p)
		} else {
			direct = append(direct, p)
		}
	}
	return direct, relayed
}

// share returns how many of a group of all peers get one message.
func share(group, peers int) int {
	if group == peers {
		return fanout(peers)
	}
	return (group*fanout(peers) + peers - 1) / peers
}

// next returns the count peers of a list that have waited longest for a regular message. The wait is kept by
// peer, since a position in the list would be another peer's when the peers that get messages directly change.
func (n *Node) next(all []peerAddress, count int) []peerAddress {
	if len(all) > count {
		slices.SortFunc(all, func(a, b peerAddress) int { return a.addr.Compare(b.addr) })
		start := n.firstTarget % len(all)
		all = slices.Concat(all[start:], all[:start])
		slices.SortStableFunc(all, func(a, b peerAddress) int { return cmp.Compare(a.lastTurn, b.lastTurn) })
		all = all[:count]
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range all {
		n.turn++
		p.peer.lastTurn = n.turn
	}
	return all
}

// sendRegular sends a regular message to the peers whose turn it is.
func (n *Node) sendRegular(conn datagramWriter, message []byte) {
	var short []byte
	for _, d := range n.deliveries() {
		if !n.ByDataCentre || d.to.where != otherDataCentre || message == nil {
			n.write(conn, message, d.to)
			continue
		}
		if short == nil {
			short = n.compressor.compress(message)
		}
		n.deliver(conn, short, d)
	}
}

// deliver sends a message to a peer that passes it on, or to each of them if it doesn't fit.
func (n *Node) deliver(conn datagramWriter, message []byte, d delivery) {
	if len(d.passOn) == 0 {
		n.write(conn, message, d.to)
		return
	}
	data, err := envelope{PassOn: d.passOn, Message: message}.encode()
	if err == nil {
		n.write(conn, data, d.to)
		return
	}
	n.write(conn, message, d.to)
	for _, addr := range d.passOn {
		n.write(conn, message, peerAddress{addr: addr, where: d.to.where})
	}
}

// recordUrgency records whether a message has to be known everywhere at once: because its sender says so, or
// for a round from a change of its sender's state on.
func (n *Node) recordUrgency(m Message) {
	state := senderState{ready: m.Ready, storeCutOff: m.StoreCutOff, cutOff: strings.Join(m.CutOff, "\n"), config: m.Config, fence: m.Fence}
	n.urgent = m.Urgent
	if state == n.lastState {
		return
	}
	n.lastState = state
	n.urgentUntil = n.Now().Add(n.RoundTime())
}

// senderState is the state of an instance that its peers have to know at once.
type senderState struct {
	ready, storeCutOff bool
	cutOff             string
	config, fence      uint64
}
