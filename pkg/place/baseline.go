package place

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// LeastInFlight is a baseline that places each attempt on the allowed endpoint
// with the fewest attempts in flight from this process.
type LeastInFlight struct {
	mu       sync.Mutex
	inFlight map[string]int
}

var _ Placer = (*LeastInFlight)(nil)

// NewLeastInFlight returns a LeastInFlight without attempts.
func NewLeastInFlight() *LeastInFlight {
	return &LeastInFlight{inFlight: make(map[string]int)}
}

// Place implements Placer.
func (p *LeastInFlight) Place(s *fleet.Snapshot, r Request) (Decision, error) {
	if len(r.Allowed) == 0 {
		return Decision{}, ErrNoDataCentreAllowed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *fleet.Endpoint
	for _, e := range s.Service(r.Service) {
		if !eligible(e, &r) {
			continue
		}
		if best == nil || p.inFlight[e.ID] < p.inFlight[best.ID] {
			best = e
		}
	}
	if best == nil {
		return Decision{}, ErrNoEndpoint
	}
	p.inFlight[best.ID]++
	return Decision{Endpoint: best}, nil
}

// Done implements Placer.
func (p *LeastInFlight) Done(d Decision, r Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[d.Endpoint.ID]--
}

// RoundRobin is a baseline that places attempts on the allowed endpoints in turn.
type RoundRobin struct {
	next atomic.Uint64
}

var _ Placer = (*RoundRobin)(nil)

// NewRoundRobin returns a RoundRobin.
func NewRoundRobin() *RoundRobin { return &RoundRobin{} }

// Place implements Placer.
func (p *RoundRobin) Place(s *fleet.Snapshot, r Request) (Decision, error) {
	if len(r.Allowed) == 0 {
		return Decision{}, ErrNoDataCentreAllowed
	}
	all := s.Service(r.Service)
	for range all {
		e := all[p.next.Add(1)%uint64(len(all))]
		if eligible(e, &r) {
			return Decision{Endpoint: e}, nil
		}
	}
	return Decision{}, ErrNoEndpoint
}

// Done implements Placer. It does nothing.
func (p *RoundRobin) Done(Decision, Request) {}

// PrefixHash is a baseline that places each attempt by rendezvous hashing of the
// conversation's prefix, without a bound on the load.
type PrefixHash struct {
	fallback RoundRobin
}

var _ Placer = (*PrefixHash)(nil)

// NewPrefixHash returns a PrefixHash.
func NewPrefixHash() *PrefixHash { return &PrefixHash{} }

// Place implements Placer.
func (p *PrefixHash) Place(s *fleet.Snapshot, r Request) (Decision, error) {
	if len(r.Prefixes) == 0 {
		return p.fallback.Place(s, r)
	}
	if len(r.Allowed) == 0 {
		return Decision{}, ErrNoDataCentreAllowed
	}
	key := r.Prefixes[conversationPrefix(&r)]
	var best *fleet.Endpoint
	highest := uint64(0)
	for _, e := range s.Service(r.Service) {
		if !eligible(e, &r) {
			continue
		}
		w := rendezvous.Weight(key, e.ID)
		if best == nil || w > highest {
			best, highest = e, w
		}
	}
	if best == nil {
		return Decision{}, ErrNoEndpoint
	}
	return Decision{Endpoint: best}, nil
}

// Done implements Placer. It does nothing.
func (p *PrefixHash) Done(Decision, Request) {}

// conversationPrefix returns the index of the shortest prefix that identifies a
// conversation. That is the second if there is one, since the first message is
// often a system prompt that many conversations share.
func conversationPrefix(r *Request) int {
	return min(1, len(r.Prefixes)-1)
}

// worstScore is higher, and so worse, than any score.
var worstScore = math.Inf(1)
