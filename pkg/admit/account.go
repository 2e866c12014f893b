package admit

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Memory limits of one entry.
const (
	// DefaultByteBudget bounds the bytes of all accepted requests.
	DefaultByteBudget = 256 << 20
	// workspaceByteShare is the largest share of the budget that one workspace may use.
	workspaceByteShare = 0.5
)

// accountShards is the number of independently locked shards.
const accountShards = 64

// accounts limits the requests in flight of each workspace over all services, including
// waiting ones, and the memory that accepted requests use.
type accounts struct {
	budget int64
	bytes  atomic.Int64
	shards [accountShards]accountShard
}

type accountShard struct {
	mu          sync.Mutex
	byWorkspace map[string]*account
}

// account is the usage of one workspace.
type account struct {
	inFlight int
	bytes    int64
	// peerInFlight is the number of its requests in flight at other entries.
	peerInFlight int
}

func newAccounts(budget int64) *accounts {
	a := &accounts{budget: budget}
	for i := range a.shards {
		a.shards[i].byWorkspace = make(map[string]*account)
	}
	return a
}

func (a *accounts) shard(workspace string) *accountShard {
	return &a.shards[xxhash.Sum64String(workspace)%accountShards]
}

// reserve adds a request to its workspace's account. If that would exceed a limit, it
// returns the reason and false.
func (a *accounts) reserve(r *Request) (reason string, ok bool) {
	s := a.shard(r.Workspace.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.account(r.Workspace.Name)
	if limit := r.Workspace.MaxInFlight; limit > 0 && w.inFlight+w.peerInFlight >= limit {
		return "the workspace is at its limit of requests in flight", false
	}
	size := int64(r.Bytes)
	if float64(w.bytes+size) > workspaceByteShare*float64(a.budget) {
		return "the workspace holds too much memory", false
	}
	if a.bytes.Add(size) > a.budget {
		a.bytes.Add(-size)
		return "the entry holds too much memory", false
	}
	w.inFlight++
	w.bytes += size
	return "", true
}

// release removes a request that reserve has added.
func (a *accounts) release(workspace string, bytes int) {
	s := a.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.account(workspace)
	w.inFlight--
	w.bytes -= int64(bytes)
	a.bytes.Add(-int64(bytes))
	if w.inFlight == 0 && w.peerInFlight == 0 {
		delete(s.byWorkspace, workspace)
	}
}

// setPeerInFlight replaces the numbers of requests in flight at other entries, by workspace.
func (a *accounts) setPeerInFlight(others map[string]int) {
	for i := range a.shards {
		a.shards[i].clearPeerInFlight()
	}
	for workspace, n := range others {
		s := a.shard(workspace)
		s.mu.Lock()
		s.account(workspace).peerInFlight = n
		s.mu.Unlock()
	}
}

func (s *accountShard) clearPeerInFlight() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, w := range s.byWorkspace {
		w.peerInFlight = 0
		if w.inFlight == 0 {
			delete(s.byWorkspace, name)
		}
	}
}

func (s *accountShard) account(workspace string) *account {
	w, ok := s.byWorkspace[workspace]
	if !ok {
		w = &account{}
		s.byWorkspace[workspace] = w
	}
	return w
}
