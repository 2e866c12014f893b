package handover

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/flight"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// Limits of the search for a request.
const (
	// askAllLimit is the number of peers up to which all of them are asked.
	askAllLimit = 16
	// rankedPeerCount is how many peers are asked if there are more than
	// askAllLimit: those that rank highest for the request.
	rankedPeerCount = 8
	// locateTimeout limits a Locate or Adopt call to one peer.
	locateTimeout = 300 * time.Millisecond
)

// Found is the location and state of a request.
type Found struct {
	// Peer is the process that owns the request; it may be this one.
	Peer string
	Job  flight.Job
	// Lineage is the lineage of the owner's answer.
	Lineage flight.Lineage
	// Len is the number of tokens that the owner holds.
	Len int
}

// located is one peer's reply to a Locate call.
type located struct {
	peer  string
	reply LocateReply
}

// Find looks for a request on this process and its peers. If no owner is found,
// the holder of the newest copy adopts the request. Find returns ErrNotFound if
// no process that answers knows the request.
func (m *Manager) Find(ctx context.Context, id string) (Found, error) {
	return m.find(ctx, id, m.candidates(id))
}

// FindReachable is like Find but doesn't ask suspected peers. It is meant for
// requests that are probably new: if a caller repeats a request whose owner is
// unreachable, the request may be run again.
func (m *Manager) FindReachable(ctx context.Context, id string) (Found, error) {
	reachable := slices.DeleteFunc(m.candidates(id), func(p string) bool { return m.sender(p).suspected() })
	return m.find(ctx, id, reachable)
}

func (m *Manager) find(ctx context.Context, id string, peers []string) (Found, error) {
	answers := m.locate(ctx, id, peers)
	best, ok := newestLocated(answers)
	if !ok {
		return Found{}, ErrNotFound
	}
	if best.reply.Role == RoleOwner {
		return m.toFound(best), nil
	}
	if f, ok := m.locateOrigin(ctx, id, best, answers); ok {
		return m.toFound(f), nil
	}
	if !m.adoptAt(ctx, best.peer, AdoptArgs{ID: id}) {
		return Found{}, ErrNotFound
	}
	return m.locateAdopted(ctx, best, id)
}

// locateAdopted asks the holder of an adopted copy for the request again, since
// the new owner has a lineage of its own.
func (m *Manager) locateAdopted(ctx context.Context, f located, id string) (Found, error) {
	reply := m.locateLocal(id)
	if f.peer != m.Self.ID {
		var err error
		reply, err = m.locateAt(ctx, f.peer, id)
		if err != nil {
			return Found{}, ErrNotFound
		}
	}
	if reply.Role != RoleOwner {
		return Found{}, ErrNotFound
	}
	return m.toFound(located{peer: f.peer, reply: reply}), nil
}

func (m *Manager) toFound(f located) Found {
	return Found{Peer: f.peer, Job: f.reply.Job.job(m.Now()), Lineage: f.reply.Job.Lineage, Len: f.reply.Len}
}

// locate asks this process and the given peers concurrently.
func (m *Manager) locate(ctx context.Context, id string, peers []string) []located {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := []located{{peer: m.Self.ID, reply: m.locateLocal(id)}}
	for _, p := range peers {
		wg.Go(func() {
			reply, err := m.locateAt(ctx, p, id)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, located{peer: p, reply: reply})
		})
	}
	wg.Wait()
	return out
}

// candidates returns the ids of the peers to ask for a request.
func (m *Manager) candidates(id string) []string {
	var ids []string
	for _, p := range m.Peers.All() {
		if p.ID != m.Self.ID {
			ids = append(ids, p.ID)
		}
	}
	if len(ids) <= askAllLimit {
		return ids
	}
	return rendezvous.Rank(id, ids)[:rankedPeerCount]
}

func (m *Manager) locateAt(ctx context.Context, peerID, id string) (LocateReply, error) {
	locateCtx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	var reply LocateReply
	err := m.Caller.Call(locateCtx, peerID, methodLocate, &LocateArgs{ID: id}, &reply)
	if ctx.Err() == nil {
		m.sender(peerID).observe(err)
	}
	return reply, err
}

// locateOrigin asks the owner that a copy names, unless it has answered already.
func (m *Manager) locateOrigin(ctx context.Context, id string, best located, answers []located) (located, bool) {
	origin := best.reply.Origin
	for _, f := range answers {
		if f.peer == origin {
			return located{}, false
		}
	}
	reply, err := m.locateAt(ctx, origin, id)
	if err != nil || reply.Role != RoleOwner {
		return located{}, false
	}
	return located{peer: origin, reply: reply}, true
}

// adoptAt asks the holder of a copy to adopt the request and reports whether it
// owns the request now.
func (m *Manager) adoptAt(ctx context.Context, peerID string, args AdoptArgs) bool {
	if peerID == m.Self.ID {
		return m.adopt(args.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	var reply AdoptReply
	err := m.Caller.Call(ctx, peerID, methodAdopt, &args, &reply)
	return err == nil && reply.Adopted
}

// newestLocated returns the reply that covers what callers have read: the one
// with the highest generation, among these an owner before a copy, and among
// these the longest answer.
func newestLocated(answers []located) (located, bool) {
	var best located
	for _, f := range answers {
		if f.reply.Role != RoleNone && (best.peer == "" || isNewer(f.reply, best.reply)) {
			best = f
		}
	}
	return best, best.peer != ""
}

func isNewer(a, b LocateReply) bool {
	return cmp.Or(
		a.Job.Generation.Compare(b.Job.Generation),
		cmp.Compare(a.Role, b.Role),
		cmp.Compare(a.Len, b.Len),
	) > 0
}
