package gossip

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/medlarsill/medlarsill/pkg/allowance"
)

// maxAccounts is the number of accounts in one message, so that it fits into a datagram.
const maxAccounts = 40

// welcome sends this instance's newest message to a peer that has just started or become known, and
// what this instance knows of the allowances.
func (n *Node) welcome(conn datagramWriter, newest []byte, addr netip.AddrPort) {
	to, _ := n.peerAt(addr)
	n.write(conn, newest, to)
	accounts := n.Accounts()
	for names := range slices.Chunk(slices.Sorted(maps.Keys(accounts)), maxAccounts) {
		part := make(map[string]allowance.Account, len(names))
		for _, name := range names {
			part[name] = accounts[name]
		}
		data, err := encode(Message{ID: n.ID, Boot: n.Boot, Accounts: part})
		if err != nil {
			n.Log.Error("failed to send allowances", "peer", addr.String(), "error", err.Error())
			return
		}
		n.write(conn, data, to)
	}
}
