package membership

import (
	"context"
	"time"
)

// ServiceName is the name under which RPC is registered with a peer.Server.
const ServiceName = "Membership"

// Methods of the service.
const (
	methodHeartbeat = ServiceName + ".Heartbeat"
	methodProbe     = ServiceName + ".Probe"
	methodExchange  = ServiceName + ".Exchange"
	methodLeaving   = ServiceName + ".Leaving"
	methodMissing   = ServiceName + ".Missing"
)

// ProbeArgs asks a helper to try to reach a member.
type ProbeArgs struct{ Target Member }

// ProbeAnswer tells whether the helper reached it.
type ProbeAnswer struct{ Reached bool }

// Table is all that a process knows of the members.
type Table struct{ Notes []Note }

// LeavingBatch carries notices of leaving endpoints.
type LeavingBatch struct{ Items []Leaving }

// KnownLeaving holds the hashes of the ids that a process knows as leaving.
type KnownLeaving struct{ Hashes []uint64 }

// None is an empty answer.
type None struct{}

// RPC serves the calls of peers. Its methods follow net/rpc.
type RPC struct{ s *Service }

// RPC returns the receiver to register under ServiceName.
func (s *Service) RPC() *RPC { return &RPC{s: s} }

// Heartbeat takes a peer's heartbeat and answers with this process's own.
func (r *RPC) Heartbeat(h Heartbeat, answer *Heartbeat) error {
	var from Member
	r.s.update(func(m *Machine) {
		*answer = m.Receive(h)
		from = m.member(h.From)
	})
	r.s.fill(answer)
	if from.ID != "" {
		r.s.compare(h, from)
	}
	return nil
}

// Probe tries to reach a member for a peer that can't.
func (r *RPC) Probe(args ProbeArgs, answer *ProbeAnswer) error {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	msg := r.s.message(args.Target.ID)
	var h Heartbeat
	err := r.s.Caller.CallAddr(ctx, args.Target.Addr, methodHeartbeat, msg, &h)
	if err != nil || h.From != args.Target.ID {
		return nil
	}
	answer.Reached = true
	r.s.update(func(m *Machine) { m.Answered(args.Target.ID, h) })
	return nil
}

// Exchange swaps whole tables.
func (r *RPC) Exchange(t Table, answer *Table) error {
	r.s.Learn(t.Notes)
	*answer = r.s.table()
	return nil
}

// Leaving takes notices of leaving endpoints and relays those that are new.
func (r *RPC) Leaving(b LeavingBatch, _ *None) error {
	r.s.takeLeaving(b.Items)
	return nil
}

// Missing returns the notices that the caller doesn't have.
func (r *RPC) Missing(k KnownLeaving, answer *LeavingBatch) error {
	answer.Items = r.s.leaving.missing(k.Hashes, r.s.Now())
	return nil
}

// takeLeaving records notices from peers, tells the hook and relays the new ones.
func (s *Service) takeLeaving(items []Leaving) {
	for _, l := range items {
		if s.AnnounceLeaving(l.ID, l.Left) && s.OnLeaving != nil {
			s.OnLeaving(l.ID, l.Left)
		}
	}
}

// Leaving spreads the notice that an endpoint is leaving and stops after the
// grace time, or UnknownGrace. It reports whether the notice was new here.
func (s *Service) AnnounceLeaving(endpoint string, grace time.Duration) bool {
	first := s.leaving.add(Leaving{ID: endpoint, Left: grace}, s.Now())
	if first {
		s.Metrics.Leaving.Inc()
	}
	return first
}
