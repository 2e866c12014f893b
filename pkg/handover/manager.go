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

// Retention is how long the copy of an ended answer is kept.
const Retention = 60 * time.Second

// Directory lists the peers that are believed to be alive.
type Directory interface {
	All() []peer.Info
	Get(id string) (peer.Info, bool)
}

// Owner runs flights; the entry implements it.
type Owner interface {
	// Adopt continues an answer here, or keeps it for its readers if it has ended.
	Adopt(a Adoption)
	// Draining tells whether a planned stop has begun here.
	Draining() bool
	// Allowed returns the data centres in which a workspace's data may be.
	Allowed(workspace string) []string
}

// Adoption is an answer that this process continues for another one.
type Adoption struct {
	Job    flight.Job
	Tokens []engine.Token
	// Code is set if the answer has ended.
	Code dispatch.Code
	// Point is the last attempt known, which may still run.
	Point flight.Point
	// Generation and Lineage are those of the copy.
	Generation flight.Generation
	Lineage    flight.Lineage
}

// Options holds what a manager is made of. All fields are needed.
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

// Manager keeps copies for peers, copies this entry's flights to them, and
// finds and continues requests of others.
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

// Run forgets old copies until the context ends.
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

// keepers ranks the peers that may hold a copy of a request: allowed data
// centres only, other data centres before this one, and peers that have lately
// failed to answer last.
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
		s = &sender{self: m.Self.ID, peer: id, call: m.Caller, now: m.Now}
		m.senders[id] = s
	}
	return s
}

// HandOver makes the holder of a running flight's newest copy continue the
// answer, after making a copy if there is none. The flight here then follows it.
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

// handOverCopy makes a new copy and has its holder continue the answer. Readers
// see nothing new meanwhile that the copy lacks.
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

// keep stores an extension. If this process has a flight of the same request,
// the higher generation goes on: the flight here yields, or the peer is told
// that its answer has been taken over.
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

func outranks(a flight.Generation, aID string, b flight.Generation, bID string) bool {
	return cmp.Or(a.Compare(b), cmp.Compare(aID, bID)) > 0
}

// PeerGone continues the unfinished answers whose copies came from a peer that has died.
func (m *Manager) AdoptAllFrom(id string) {
	for _, request := range m.copies.unfinishedFrom(id) {
		if m.holdsNewest(request) {
			m.adopt(request)
		}
	}
}

// newest tells whether no peer that answers has a newer copy of a request or owns it.
func (m *Manager) holdsNewest(id string) bool {
	best, ok := newestLocated(m.locate(context.Background(), id, m.candidates(id)))
	return ok && best.peer == m.Self.ID
}

// adopt makes this process the owner of a request that it holds a copy of.
func (m *Manager) adopt(id string) bool {
	moved := m.copies.promote(id, func(c requestCopy) {
		m.Metrics.adopt()
		m.Owner.Adopt(Adoption{Job: c.job, Tokens: c.tokens, Code: c.code, Point: c.point, Generation: c.gen, Lineage: c.lineage})
	})
	if moved {
		return true
	}
	_, err := m.Flights.Get(id)
	return err == nil
}

// Holds tells whether this process holds a copy of another process's request.
func (m *Manager) HoldsCopy(id string) bool {
	_, ok := m.copies.get(id)
	return ok
}
