// Package exchange exchanges state between entries: the usage of the workspaces'
// limits, and the load of endpoints.
package exchange

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/admit"
	"github.com/medlarsill/medlarsill/pkg/loadview"
	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Intervals and limits of the exchange between entries.
const (
	// exchangeInterval is the time between two rounds.
	exchangeInterval = 250 * time.Millisecond
	// exchangeTimeout is the time limit of one round of calls.
	exchangeTimeout = 200 * time.Millisecond
	// callAllLimit is the number of other entries up to which each round calls all.
	callAllLimit = 8
	// sparseInterval is the time between two rounds above callAllLimit. Each round
	// then calls one entry, which limits the bytes per second at any group size.
	sparseInterval = 500 * time.Millisecond
)

// Beliefs is what an entry sends to another one: its view of the usage of the
// limits, and a digest of one partition of the endpoints' load, if any. net/rpc writes
// the name of the type.
type Beliefs struct {
	Usage  admit.Usage
	Digest []byte
}

// ServiceName is the name under which RPC is registered with a peer.Server.
const ServiceName = "Exchange"

const methodSwap = ServiceName + ".Swap"

// Directory lists the entries that are considered alive.
type Directory interface {
	All() []peer.Info
}

// Exchange runs the exchange of one entry with the others. All exported fields must be
// set before use.
type Exchange struct {
	Self      string
	Admitter  *admit.FairAdmitter
	View      *loadview.View
	Directory Directory
	Caller    peer.Caller

	mu        sync.Mutex
	partition int
}

// RPC is the net/rpc receiver for calls from peers.
type RPC struct {
	e *Exchange
}

// RPC returns the receiver to register under ServiceName.
func (e *Exchange) RPC() *RPC { return &RPC{e: e} }

// Swap merges a peer's state and returns this entry's.
func (r *RPC) Swap(in *Beliefs, out *Beliefs) error {
	r.e.merge(in)
	*out = r.e.localState()
	return nil
}

// merge merges a peer's state. A digest that was made from another list of endpoints
// is ignored; the lists agree again after the next read of the instance list.
func (e *Exchange) merge(b *Beliefs) {
	e.Admitter.Merge(b.Usage)
	if len(b.Digest) > 0 {
		_ = e.View.Merge(b.Digest)
	}
}

// localState returns this entry's state. It contains a digest only if there are too
// many endpoints for every entry to poll all of them.
func (e *Exchange) localState() Beliefs {
	b := Beliefs{Usage: e.Admitter.Usage()}
	if e.View.Len() > loadview.PollAllLimit {
		b.Digest = e.View.Digest(e.nextPartition())
	}
	return b
}

// nextPartition returns the partitions of the endpoints in turn.
func (e *Exchange) nextPartition() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.partition++
	return e.partition % loadview.Partitions
}

// Run exchanges state with the other entries until the context ends: with all of them
// in each round up to callAllLimit, else with one per round in turn.
func (e *Exchange) Run(ctx context.Context) error {
	from := int(rand.Uint32())
	for {
		ids := e.otherIDs()
		e.Admitter.SetPeers(ids)
		count, interval := len(ids), exchangeInterval
		if count > callAllLimit {
			count, interval = 1, sparseInterval
		}
		e.callPeers(ctx, ids, from, count)
		from += count
		if !sleep.For(ctx, interval) {
			return nil
		}
	}
}

// callPeers exchanges state with count peers concurrently, starting at
// ids[from%len(ids)], and waits for them.
func (e *Exchange) callPeers(ctx context.Context, ids []string, from, count int) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i := range count {
		id := ids[(from+i)%len(ids)]
		wg.Go(func() {
			in, out := e.localState(), Beliefs{}
			if err := e.Caller.Call(ctx, id, methodSwap, &in, &out); err == nil {
				e.merge(&out)
			}
		})
	}
	wg.Wait()
}

// otherIDs returns the ids of the other entries.
func (e *Exchange) otherIDs() []string {
	var out []string
	for _, p := range e.Directory.All() {
		if p.ID != e.Self {
			out = append(out, p.ID)
		}
	}
	return out
}
