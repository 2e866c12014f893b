package place

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// LeastInFlight places each attempt on the allowed endpoint with the fewest of
// this process's attempts. It is a baseline.
type LeastInFlight struct {
	mu       sync.Mutex
	inFlight map[string]int
}

var _ Placer = (*LeastInFlight)(nil)

// NewLeastInFlight returns the baseline placer.
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

// RoundRobin places attempts on the allowed endpoints in turn. It is a baseline.
type RoundRobin struct {
	next atomic.Uint64
}

var _ Placer = (*RoundRobin)(nil)

// NewRoundRobin returns the baseline placer.
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

// Done implements Placer.
func (p *RoundRobin) Done(Decision, Request) {}

// PrefixHash places each attempt by rendezvous hashing of the prompt's first
// prefixes, without a bound on the load. It is a baseline.
type PrefixHash struct {
	fallback RoundRobin
}

var _ Placer = (*PrefixHash)(nil)

// NewPrefixHash returns the baseline placer.
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

// Done implements Placer.
func (p *PrefixHash) Done(Decision, Request) {}

// conversationPrefix returns the index of the prefix that all turns of a
// conversation share: the second message, since the first is often a system
// prompt that many conversations have in common.
func conversationPrefix(r *Request) int {
	return min(1, len(r.Prefixes)-1)
}

// infinite is worse than any score.
var worstScore = math.Inf(1)
