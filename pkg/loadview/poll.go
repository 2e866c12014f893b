package loadview

import (
	"context"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// Intervals and limits of polling.
const (
	// PollInterval is the time between two polls of an endpoint.
	PollInterval = 500 * time.Millisecond
	// pollTimeout bounds one poll of an endpoint.
	pollTimeout = 400 * time.Millisecond
	// PollAllLimit is the largest fleet in which every entry polls all endpoints. In a
	// larger fleet each endpoint is polled by one entry.
	PollAllLimit = 64
	// pollConcurrency bounds the number of concurrent polls.
	pollConcurrency = 16
)

// Source reads the load and the cache events of endpoints. engine.Engine implements it.
type Source interface {
	Load(ctx context.Context, addr string) (engine.Load, error)
	CacheEvents(ctx context.Context, addr string, after uint64) ([]engine.CacheEvent, error)
}

// Poller polls the load and the cache events of the endpoints assigned to this entry.
type Poller struct {
	View   *View
	Source Source
	// Self is this entry's id.
	Self string
	// EntryIDs returns the ids of all live entries. It may omit this one.
	EntryIDs func() []string
	// ShouldPoll reports whether an endpoint provides load reports; nil means that all do.
	ShouldPoll func(e *fleet.Endpoint) bool
}

// Assigned returns the endpoints that an entry polls: all in a small fleet, otherwise
// those for which the entry has the highest rendezvous weight of all entries.
func Assigned(endpoints []*fleet.Endpoint, self string, entries []string) []*fleet.Endpoint {
	if len(endpoints) <= PollAllLimit {
		return endpoints
	}
	hashes := make([]uint64, 0, len(entries))
	for _, id := range entries {
		if id != self {
			hashes = append(hashes, rendezvous.Key(id))
		}
	}
	selfHash := rendezvous.Key(self)
	var out []*fleet.Endpoint
	for _, e := range endpoints {
		if hasHighestWeight(rendezvous.Key(e.ID), selfHash, hashes) {
			out = append(out, e)
		}
	}
	return out
}

// hasHighestWeight reports whether no other entry has a higher rendezvous weight for
// the endpoint.
func hasHighestWeight(endpoint, selfHash uint64, others []uint64) bool {
	selfWeight := rendezvous.HashWeight(endpoint, selfHash)
	for _, h := range others {
		if rendezvous.HashWeight(endpoint, h) > selfWeight {
			return false
		}
	}
	return true
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context, table *fleet.Table) error {
	t := time.NewTicker(PollInterval)
	defer t.Stop()
	for {
		p.Round(ctx, table.Snapshot())
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Round polls each assigned endpoint once and waits for the results.
func (p *Poller) Round(ctx context.Context, s *fleet.Snapshot) {
	p.View.Sync(s)
	var wg sync.WaitGroup
	slots := make(chan struct{}, pollConcurrency)
	for _, e := range Assigned(s.Endpoints, p.Self, p.EntryIDs()) {
		if p.ShouldPoll != nil && !p.ShouldPoll(e) {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			p.poll(ctx, e)
			<-slots
		})
	}
	wg.Wait()
}

// poll reads an endpoint's load and cache events. It skips the endpoint on an error,
// since the next round polls it again.
func (p *Poller) poll(ctx context.Context, e *fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	l, err := p.Source.Load(ctx, e.Addr)
	if err != nil {
		return
	}
	p.View.Report(e.ID, l)
	p.pollCache(ctx, e)
}

// pollCache reads an endpoint's new cache events, or all of them if some were lost.
func (p *Poller) pollCache(ctx context.Context, e *fleet.Endpoint) {
	state := p.View.Endpoint(e.ID)
	if state.NeedsResync() {
		if all, err := p.Source.CacheEvents(ctx, e.Addr, 0); err == nil {
			p.View.Resync(e.ID, all)
		}
		return
	}
	if events, err := p.Source.CacheEvents(ctx, e.Addr, state.CacheSeq()); err == nil {
		p.View.ApplyEvents(e.ID, events)
	}
}
