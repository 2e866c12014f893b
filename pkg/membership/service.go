package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/peer"
)

// Intervals and time limits of the service.
const (
	// Interval is the length of a tick.
	Interval = 500 * time.Millisecond
	// heartbeatTimeout is the time limit of a heartbeat call.
	heartbeatTimeout = 400 * time.Millisecond
	// probeTimeout is the time limit of a call to a helper, which itself waits up to
	// heartbeatTimeout for the target.
	probeTimeout = 800 * time.Millisecond
	// exchangeTimeout is the time limit of an exchange of member tables or leaving notices.
	exchangeTimeout = 2 * time.Second
	// leaveTimeout is the time limit of the announcement of a planned stop.
	leaveTimeout = 500 * time.Millisecond
)

// Caller makes calls to an address. peer.Client implements it.
type Caller interface {
	CallAddr(ctx context.Context, addr, method string, args, reply any) error
}

// Options configures a Service. All fields but Revision and the On... hooks are required.
type Options struct {
	Self      Member
	Directory *peer.Directory
	Caller    Caller
	Log       *slog.Logger
	Metrics   *Metrics
	Now       func() time.Time
	Rand      *rand.Rand
	// Revision returns the configuration revision in force in this process; nil means none.
	Revision func() uint64
	// OnRevision is called when a peer reports a higher revision; may be nil.
	OnRevision func(from peer.Info, revision uint64)
	// OnLeaving is called once for each leaving endpoint that peers report, with the
	// time left until it stops or UnknownGrace; may be nil.
	OnLeaving func(endpoint string, left time.Duration)
	// OnEvent is called for each member state change, without locks held; may be nil.
	OnEvent func(Event)
}

// Service runs the membership protocol for one process.
type Service struct {
	Options

	mu      sync.Mutex
	machine *Machine

	leaving leavingState
	tasks   sync.WaitGroup
}

// NewService returns a service. Its RPC receiver must be registered with a
// peer.Server under ServiceName.
func NewService(o Options) *Service {
	s := &Service{Options: o, machine: NewMachine(o.Self, o.Rand)}
	s.leaving.init()
	return s
}

// Run runs the protocol until the context ends.
func (s *Service) Run(ctx context.Context) error {
	defer s.tasks.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.spawn(func() { s.relayLeaving(ctx) })
	t := time.NewTicker(Interval)
	defer t.Stop()
	for {
		s.tick(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// spawn runs f in a goroutine that Run waits for.
func (s *Service) spawn(f func()) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		f()
	}()
}

// tick advances the machine and starts the calls that are due.
func (s *Service) tick(ctx context.Context) {
	var step Step
	s.update(func(m *Machine) { step = m.Tick() })
	s.leaving.removeExpired(s.Now())
	for _, to := range step.Heartbeats {
		s.spawn(func() { s.sendHeartbeat(ctx, to) })
	}
	for _, p := range step.Probes {
		s.spawn(func() { s.runProbe(ctx, p) })
	}
	if step.Exchange != nil {
		s.spawn(func() { s.exchangeTables(ctx, *step.Exchange) })
	}
	if to, ok := s.leaving.takeDiffering(); ok {
		s.spawn(func() { s.pullLeaving(ctx, to) })
	}
}

// update applies f to the machine, updates the peer directory if member states
// changed, and reports the changes.
func (s *Service) update(f func(m *Machine)) {
	s.mu.Lock()
	f(s.machine)
	events := s.machine.Events()
	if len(events) > 0 {
		s.publish()
	}
	s.mu.Unlock()
	for _, e := range events {
		s.reportEvent(e)
	}
}

// publish updates the peer directory and the gauge of present members. s.mu must be held.
func (s *Service) publish() {
	present := s.machine.Present()
	infos := make([]peer.Info, 0, len(present))
	for _, m := range present[1:] {
		infos = append(infos, m.Info())
	}
	s.Directory.Set(infos)
	s.Metrics.Present.Set(float64(len(present)))
}

// reportEvent counts and logs a state change and passes it to OnEvent.
func (s *Service) reportEvent(e Event) {
	s.Metrics.Changes.WithLabelValues(e.Status.String()).Inc()
	s.Log.Info("peer state changed", "peer", e.Member.ID, "state", e.Status.String(),
		"incarnation", e.Member.Incarnation, "restarted", e.Restarted)
	if s.OnEvent != nil {
		s.OnEvent(e)
	}
}

// sendHeartbeat sends a heartbeat to a peer and handles the outcome.
func (s *Service) sendHeartbeat(ctx context.Context, to Member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	msg := s.newHeartbeat(to.ID)
	var answer Heartbeat
	err := s.Caller.CallAddr(ctx, to.Addr, methodHeartbeat, msg, &answer)
	if err != nil || answer.From != to.ID {
		s.Metrics.Heartbeats.WithLabelValues("missed").Inc()
		s.update(func(m *Machine) { m.Missed(to.ID) })
		return
	}
	s.Metrics.Heartbeats.WithLabelValues("answered").Inc()
	s.update(func(m *Machine) { m.Answered(to.ID, answer) })
	s.compareDigests(answer, to)
}

// newHeartbeat returns the heartbeat to send to a peer, digests included.
func (s *Service) newHeartbeat(to string) Heartbeat {
	s.mu.Lock()
	h := s.machine.Heartbeat(to)
	s.mu.Unlock()
	s.setDigests(&h)
	return h
}

// setDigests sets the fields of a heartbeat that the machine doesn't know.
func (s *Service) setDigests(h *Heartbeat) {
	h.Leaving = s.leaving.digest()
	if s.Revision != nil {
		h.Revision = s.Revision()
	}
}

// compareDigests handles the parts of a peer's heartbeat that the machine doesn't:
// the digest of leaving endpoints and the configuration revision.
func (s *Service) compareDigests(h Heartbeat, from Member) {
	if h.Leaving != s.leaving.digest() {
		s.leaving.setDiffering(from)
	}
	if s.OnRevision != nil && h.Revision > s.Revision() {
		s.OnRevision(from.Info(), h.Revision)
	}
}

// runProbe asks the helpers to reach the target and records the outcome.
func (s *Service) runProbe(ctx context.Context, p Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reached := make(chan bool, len(p.Helpers))
	for _, h := range p.Helpers {
		s.spawn(func() {
			var answer ProbeAnswer
			err := s.Caller.CallAddr(ctx, h.Addr, methodProbe, ProbeArgs{Target: p.Target}, &answer)
			reached <- err == nil && answer.Reached
		})
	}
	any := false
	for range p.Helpers {
		any = <-reached || any
	}
	s.update(func(m *Machine) { m.Probed(p.Target.ID, any) })
}

// exchangeTables exchanges member tables with a peer.
func (s *Service) exchangeTables(ctx context.Context, to Member) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	s.Metrics.Exchanges.Inc()
	var answer Table
	if err := s.Caller.CallAddr(ctx, to.Addr, methodExchange, s.table(), &answer); err != nil {
		return
	}
	s.Merge(answer.Notes)
}

func (s *Service) table() Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Table{Notes: s.machine.Table()}
}

// Merge adds notes from another source, such as the registrations, to the table.
func (s *Service) Merge(notes []Note) {
	s.update(func(m *Machine) { m.Merge(notes) })
}

// Leave announces the planned stop of this process to its peers.
func (s *Service) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var targets ring
	s.update(func(m *Machine) {
		m.Leave()
		targets = m.Present()
	})
	var calls sync.WaitGroup
	for _, to := range targets.fanOut() {
		calls.Go(func() {
			var answer Heartbeat
			_ = s.Caller.CallAddr(ctx, to.Addr, methodHeartbeat, s.newHeartbeat(to.ID), &answer)
		})
	}
	calls.Wait()
}

// Status returns a member's status; false if the member is unknown.
func (s *Service) Status(id string) (Status, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Status(id)
}

// Present returns the members that are alive or suspect, this process first.
func (s *Service) Present() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Present()
}

// Self returns this process with its current incarnation.
func (s *Service) Self() Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Self()
}
