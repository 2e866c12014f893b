package loadview

import (
	"context"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// Times and limits of polling.
const (
	// PollInterval is the time between two reads of an endpoint's load.
	PollInterval = 500 * time.Millisecond
	// pollTimeout bounds one round of reads of one endpoint.
	pollTimeout = 400 * time.Millisecond
	// PollAllLimit is the number of endpoints up to which every entry reads all
	// of them itself; above it each endpoint is read by one entry.
	PollAllLimit = 64
	// pollConcurrency bounds the reads at one time.
	pollConcurrency = 16
)

// Source gives the reports of endpoints; engine.Engine implements it.
type Source interface {
	Load(ctx context.Context, addr string) (engine.Load, error)
	CacheEvents(ctx context.Context, addr string, after uint64) ([]engine.CacheEvent, error)
}

// Poller reads load and cache events of the endpoints that fall to this entry.
type Poller struct {
	View   *View
	Source Source
	// Self is this entry's id.
	Self string
	// Entries returns the ids of all live entries, this one included or not.
	EntryIDs func() []string
	// Polled tells which endpoints have reports to read; nil means all.
	ShouldPoll func(e *fleet.Endpoint) bool
}

// Assigned returns the endpoints that an entry reads: all of a small fleet,
// otherwise those whose highest rendezvous hash over the entries is its own.
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
	mine := rendezvous.Key(self)
	var out []*fleet.Endpoint
	for _, e := range endpoints {
		if hasHighestWeight(rendezvous.Key(e.ID), mine, hashes) {
			out = append(out, e)
		}
	}
	return out
}

func hasHighestWeight(endpoint, mine uint64, others []uint64) bool {
	own := rendezvous.HashWeight(endpoint, mine)
	for _, h := range others {
		if rendezvous.HashWeight(endpoint, h) > own {
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

// Round reads each assigned endpoint once and waits for the answers.
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

// pollCache reads new events, or all of them again after a gap.
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
