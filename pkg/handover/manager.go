package handover

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/dispatch"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/flight"
	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// Retention is how long a copy is kept after its last update once its answer has
// ended or its deadline has passed.
const Retention = 60 * time.Second

// Directory lists the peers that are considered live.
type Directory interface {
	All() []peer.Info
	Get(id string) (peer.Info, bool)
}

// Owner runs flights; the entry implements it.
type Owner interface {
	// Adopt continues an answer on this process, or keeps it for readers if it has ended.
	Adopt(a Adoption)
	// Draining reports whether a planned stop of this process has begun.
	Draining() bool
	// Allowed returns the data centres in which a workspace's data may be held.
	Allowed(workspace string) []string
}

// Adoption is a request that this process takes over from another owner.
type Adoption struct {
	Job    flight.Job
	Tokens []engine.Token
	// Code is set if the answer has ended.
	Code dispatch.Code
	// Attempt is the last known attempt, which may still run.
	Attempt flight.Point
	// Generation and Lineage are those of the copy.
	Generation flight.Generation
	Lineage    flight.Lineage
}

// Options configures a manager. All fields are required.
type Options struct {
	Self    peer.Info
	Peers   Directory
	Caller  peer.Caller
	Flights *flight.Registry
	Owner   Owner
	Log     *slog.Logger
	Metrics *Metrics
	Now     func() time.Time
}

// Manager holds copies of peers' requests, copies this entry's flights to peers,
// and finds and adopts requests of other entries.
type Manager struct {
	Options
	copies *copies

	mu      sync.Mutex
	senders map[string]*sender
}

// New returns a manager.
func New(o Options) *Manager {
	return &Manager{Options: o, copies: newCopies(), senders: make(map[string]*sender)}
}

// Register adds the manager's RPC service to a server.
func (m *Manager) Register(s *peer.Server) error {
	return s.Register(ServiceName, &service{m: m})
}

// Run removes expired copies once a second until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			m.copies.sweep(m.Now(), Retention)
			m.Metrics.setCopies(m.copies.len())
		case <-ctx.Done():
			return nil
		}
	}
}

// rankHolders returns the peers that may hold a copy of a request, best first:
// only those in allowed data centres, with other data centres before this one
// and suspected peers last.
func (m *Manager) rankHolders(job *flight.Job) []string {
	allowed := m.Owner.Allowed(job.Workspace)
	var local, remote []string
	for _, p := range m.Peers.All() {
		switch {
		case p.ID == m.Self.ID || !slices.Contains(allowed, p.DataCentre):
		case p.DataCentre == m.Self.DataCentre:
			local = append(local, p.ID)
		default:
			remote = append(remote, p.ID)
		}
	}
	var reachable, suspected []string
	for _, id := range append(rendezvous.Rank(job.ID, remote), rendezvous.Rank(job.ID, local)...) {
		if m.sender(id).suspected() {
			suspected = append(suspected, id)
			continue
		}
		reachable = append(reachable, id)
	}
	return append(reachable, suspected...)
}

func (m *Manager) sender(id string) *sender {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.senders[id]
	if !ok {
		s = &sender{self: m.Self.ID, peer: id, caller: m.Caller, now: m.Now}
		m.senders[id] = s
	}
	return s
}

// HandOver makes a peer that holds the newest copy of a running flight the owner
// of its answer. If there is no such peer, it makes a new copy first. The local
// flight is cancelled with dispatch.ErrTakenOver and then follows the new owner.
func (m *Manager) HandOver(ctx context.Context, f *flight.Flight) error {
	for _, id := range m.rankHolders(&f.Job) {
		reply, err := m.locateAt(ctx, id, f.Job.ID)
		if err != nil || reply.Role == RoleNone || reply.Job.Generation.Compare(f.Generation()) < 0 {
			continue
		}
		if err := m.handOverTo(ctx, id, f); err == nil {
			return nil
		}
	}
	return m.handOverCopy(ctx, f)
}

// handOverCopy stores a new copy on a peer and makes that peer the owner. The log
// is frozen meanwhile, so that readers see no token that the copy lacks.
func (m *Manager) handOverCopy(ctx context.Context, f *flight.Flight) error {
	f.Log.Freeze()
	r := &Replicator{m: m, f: f}
	if r.copyToNewHolder(ctx) == SyncStored && m.handOverTo(ctx, r.holder, f) == nil {
		return nil
	}
	f.Log.Unfreeze()
	return ErrNoPeer
}

func (m *Manager) handOverTo(ctx context.Context, peerID string, f *flight.Flight) error {
	if !m.adoptAt(ctx, peerID, AdoptArgs{ID: f.Job.ID, Planned: true}) {
		return ErrNoPeer
	}
	f.Cancel(dispatch.ErrTakenOver)
	return nil
}

// applyExtension stores an extension. If this process has a flight of the same
// request, the one with the higher generation continues: either the flight here
// is cancelled, or SyncTakenOver is returned to the peer.
func (m *Manager) applyExtension(origin string, e *Extension) SyncState {
	s := m.copies.shard(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Job != nil && m.Owner.Draining() {
		return SyncMissing
	}
	f, err := m.Flights.Get(e.ID)
	if err != nil {
		return s.extend(origin, e, m.Now())
	}
	if e.Job == nil || !outranks(e.Job.Generation, origin, f.Generation(), m.Self.ID) {
		return SyncTakenOver
	}
	state := s.extend(origin, e, m.Now())
	m.Flights.Remove(f)
	f.Cancel(dispatch.ErrTakenOver)
	return state
}

// outranks reports whether generation a ranks above b. The owners' ids decide
// between equal generations.
func outranks(a flight.Generation, aID string, b flight.Generation, bID string) bool {
	return cmp.Or(a.Compare(b), cmp.Compare(aID, bID)) > 0
}

// AdoptAllFrom adopts the unfinished requests copied from a peer that has failed,
// unless a peer that answers owns them or has a newer copy.
func (m *Manager) AdoptAllFrom(id string) {
	for _, request := range m.copies.unfinishedFrom(id) {
		if m.holdsNewest(request) {
			m.adopt(request)
		}
	}
}

// holdsNewest reports whether this process owns a request or holds its newest
// copy among the peers that answer.
func (m *Manager) holdsNewest(id string) bool {
	best, ok := newestLocated(m.locate(context.Background(), id, m.candidates(id)))
	return ok && best.peer == m.Self.ID
}

// adopt makes this process the owner of a request of which it holds a copy. It
// reports whether this process owns the request now.
func (m *Manager) adopt(id string) bool {
	promoted := m.copies.promote(id, func(c requestCopy) {
		m.Metrics.countAdoption()
		m.Owner.Adopt(Adoption{Job: c.job, Tokens: c.tokens, Code: c.code, Attempt: c.point, Generation: c.gen, Lineage: c.lineage})
	})
	if promoted {
		return true
	}
	_, err := m.Flights.Get(id)
	return err == nil
}

// HoldsCopy reports whether this process holds a copy of another process's request.
func (m *Manager) HoldsCopy(id string) bool {
	_, ok := m.copies.get(id)
	return ok
}
