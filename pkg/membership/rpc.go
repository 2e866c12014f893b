package membership

import (
	"context"
	"time"
)

// ServiceName is the name under which RPC is registered with a peer.Server.
const ServiceName = "Membership"

// RPC method names.
const (
	methodHeartbeat = ServiceName + ".Heartbeat"
	methodProbe     = ServiceName + ".Probe"
	methodExchange  = ServiceName + ".Exchange"
	methodLeaving   = ServiceName + ".Leaving"
	methodMissing   = ServiceName + ".Missing"
)

// ProbeArgs names the member that a helper is asked to reach.
type ProbeArgs struct{ Target Member }

// ProbeAnswer reports whether the helper reached the target.
type ProbeAnswer struct{ Reached bool }

// Table holds a process's notes about all members that it knows.
type Table struct{ Notes []Note }

// LeavingBatch is a list of leaving notices.
type LeavingBatch struct{ Items []Leaving }

// KnownLeaving holds the hashed ids of the leaving endpoints that the caller knows.
type KnownLeaving struct{ Hashes []uint64 }

// None is an empty reply.
type None struct{}

// RPC is the net/rpc receiver for calls from peers.
type RPC struct{ s *Service }

// RPC returns the receiver to register under ServiceName.
func (s *Service) RPC() *RPC { return &RPC{s: s} }

// Heartbeat handles a peer's heartbeat and replies with this process's own.
func (r *RPC) Heartbeat(h Heartbeat, answer *Heartbeat) error {
	var from Member
	r.s.update(func(m *Machine) {
		*answer = m.Receive(h)
		from = m.member(h.From)
	})
	r.s.setDigests(answer)
	if from.ID != "" {
		r.s.compareDigests(h, from)
	}
	return nil
}

// Probe sends a heartbeat to a member on behalf of a peer that could not reach it.
func (r *RPC) Probe(args ProbeArgs, answer *ProbeAnswer) error {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	msg := r.s.newHeartbeat(args.Target.ID)
	var h Heartbeat
	err := r.s.Caller.CallAddr(ctx, args.Target.Addr, methodHeartbeat, msg, &h)
	if err != nil || h.From != args.Target.ID {
		return nil
	}
	answer.Reached = true
	r.s.update(func(m *Machine) { m.Answered(args.Target.ID, h) })
	return nil
}

// Exchange merges the caller's member table and returns this process's own.
func (r *RPC) Exchange(t Table, answer *Table) error {
	r.s.Merge(t.Notes)
	*answer = r.s.table()
	return nil
}

// Leaving handles leaving notices from a peer.
func (r *RPC) Leaving(b LeavingBatch, _ *None) error {
	r.s.receiveLeaving(b.Items)
	return nil
}

// Missing returns the leaving notices that the caller doesn't know.
func (r *RPC) Missing(k KnownLeaving, answer *LeavingBatch) error {
	answer.Items = r.s.leaving.missing(k.Hashes, r.s.Now())
	return nil
}

// receiveLeaving stores notices from a peer, relays the new ones and passes them
// to OnLeaving.
func (s *Service) receiveLeaving(items []Leaving) {
	for _, l := range items {
		if s.AnnounceLeaving(l.ID, l.Left) && s.OnLeaving != nil {
			s.OnLeaving(l.ID, l.Left)
		}
	}
}

// AnnounceLeaving propagates the notice that an endpoint is leaving and stops
// after grace, which may be UnknownGrace. It reports whether the notice was new.
func (s *Service) AnnounceLeaving(endpoint string, grace time.Duration) bool {
	first := s.leaving.add(Leaving{ID: endpoint, Left: grace}, s.Now())
	if first {
		s.Metrics.Leaving.Inc()
	}
	return first
}
