package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/gossip"
	"github.com/medlarsill/medlarsill/pkg/objectstore/counted"
	"github.com/medlarsill/medlarsill/pkg/scaling"
	"github.com/medlarsill/medlarsill/pkg/sharedwatch"
	"github.com/medlarsill/medlarsill/pkg/truetime"
	"github.com/medlarsill/medlarsill/pkg/usage"
	"github.com/medlarsill/medlarsill/platform"
)

const (
	// restTimeout bounds a read of what the instances handed on before.
	storedStateTimeout = 300 * time.Millisecond
	// restMargin is how long after the holder of the duties last stored its state
	// instances may still have been at work: it stores it three times a second.
	idleMargin = 500 * time.Millisecond
	// speedsEvery is the number of messages of which one tells what was learnt of
	// the endpoints.
	speedsInterval = 5
	// storedSource names the store among the sources of what was learnt.
	storedSource = "stored"
)

// shareWatches returns the store, whose watches are shared with the peers.
func (p *process) newSharedWatches(client *http.Client) *sharedwatch.Store {
	calls := platform.NewStore(p.cfg.ObjectAPI, client, func() time.Duration { return p.watches.Hold() })
	return sharedwatch.New(sharedwatch.Options{
		Store: counted.New(calls, p.metrics), Metrics: p.metrics, Log: p.log, Now: time.Now,
		Rank:    func() int { return p.node.HeardRank() },
		Heard:   func() int { return p.node.PeersHeard() },
		Members: func() int { return p.node.Members() },
		Tell:    func(data []byte) { p.node.Tell(data) },
	})
}

// joinPeers sets up what this instance tells its peers and hears of them.
func (p *process) setUpPeers() {
	boot := uint64(time.Now().UnixNano())
	p.clock = truetime.New(time.Now)
	window := seconds(p.cfg.UsageWindowS)
	p.usage = usage.NewLedger(sourceName(p.cfg.ID, boot), window, p.clock.Now)
	p.meter = scaling.NewMeter(time.Now)
	// The settings were checked: the IP number can be read.
	ip := netip.MustParseAddr(p.cfg.IP)
	p.node = gossip.NewNode(gossip.Options{
		ID: p.cfg.ID, Boot: boot, Listen: netip.AddrPortFrom(ip, uint16(p.cfg.PeerPort)),
		Fill: p.fillMessage, Heard: p.receive, Changes: p.watches.Heard, Log: p.log, Now: time.Now,
	})
	p.peerLoads = endpoints.NewPeerLoads(p.table, p.node.Silence, time.Now)
	p.registry = &gossip.Registry{Store: p.store, Node: p.node, Log: p.log, Now: time.Now, Remover: func() bool {
		_, held := p.duty.Held()
		return held
	}}
}

// runPeers finds out how long the system was idle, and then talks to the peers.
func (p *process) runPeers(ctx context.Context) error {
	p.creditIdleTime(ctx)
	return p.node.Run(ctx)
}

// noteRest opens the allowances with what they saved up while no instance was at
// work, as far as the store shows it.
func (p *process) creditIdleTime(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storedStateTimeout)
	defer cancel()
	saved, err := usage.LastSaved(ctx, p.store)
	if err != nil {
		p.log.Warn("time of the last work not read", "error", err.Error())
		return
	}
	if saved.IsZero() {
		return
	}
	since := saved.Add(idleMargin)
	p.allowances.Rested(since)
	p.log.Info("time of the last work read", "idle_ms", time.Since(since).Milliseconds())
}

// recallSpeeds starts from what the instances had learnt of the endpoints before.
func (p *process) loadSpeeds(ctx context.Context) error {
	p.readSpeeds(ctx)
	<-ctx.Done()
	return nil
}

func (p *process) readSpeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storedStateTimeout)
	defer cancel()
	stored, err := scaling.StoredSpeeds(ctx, p.store)
	if err != nil {
		p.log.Warn("speeds of endpoints not read", "error", err.Error())
		return
	}
	p.scheduler.Speeds.Heard(storedSource, stored)
	p.log.Info("speeds of endpoints read", "services", len(stored))
}

// source names one start of an instance in the usage.
func sourceName(id string, boot uint64) string { return fmt.Sprintf("%s/%d", id, boot) }

// fill adds this instance's state to a message.
func (p *process) fillMessage(m *gossip.Message) {
	m.WallMS = time.Now().UnixMilli()
	m.Ready = p.ready()
	if t := p.config.Current(); t != nil {
		m.Config = t.Version
	}
	m.Load = make(map[string]gossip.Load)
	for _, e := range p.table.All() {
		if own := e.Own(); own.Running > 0 {
			m.Load[e.ID] = gossip.Load{Running: own.Running, Prompt: own.Prompt}
		}
	}
	m.Totals = p.allowances.Totals()
	m.Asked = p.scheduler.Asked.Totals()
	p.meter.Heard(p.usage.Source, m.Asked)
	if m.Seq%speedsInterval == 1 {
		m.Speeds = p.scheduler.Speeds.Own()
	}
	m.Usage = p.usage.Own()
	m.Fence = p.duty.Highest()
}

// heard takes a peer's state.
func (p *process) receive(m gossip.Message) {
	from := sourceName(m.ID, m.Boot)
	p.clock.Heard(m.ID, time.UnixMilli(m.WallMS))
	p.allowances.Heard(m.ID, m.Boot, m.Totals)
	p.meter.Heard(from, m.Asked)
	p.usage.Merge(from, m.Usage)
	p.duty.Learn(m.Fence)
	p.scheduler.Speeds.Heard(from, m.Speeds)
	loads := make(map[string]endpoints.Load, len(m.Load))
	for id, l := range m.Load {
		loads[id] = endpoints.Load{Running: l.Running, Prompt: l.Prompt}
	}
	p.peerLoads.Heard(m.ID, loads)
	p.scheduler.Changed()
}
