package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"github.com/medlarsill/medlarsill/pkg/allowance"
	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/endpointspeed"
	"github.com/medlarsill/medlarsill/pkg/gossip"
	"github.com/medlarsill/medlarsill/pkg/objectstore/counted"
	"github.com/medlarsill/medlarsill/pkg/objectstore/rewatch"
	"github.com/medlarsill/medlarsill/pkg/origin"
	"github.com/medlarsill/medlarsill/pkg/overload"
	"github.com/medlarsill/medlarsill/pkg/poison"
	"github.com/medlarsill/medlarsill/pkg/ratelimit"
	"github.com/medlarsill/medlarsill/pkg/resetconn"
	"github.com/medlarsill/medlarsill/pkg/rollout"
	"github.com/medlarsill/medlarsill/pkg/scaling"
	"github.com/medlarsill/medlarsill/pkg/sharedwatch"
	"github.com/medlarsill/medlarsill/pkg/sleep"
	"github.com/medlarsill/medlarsill/pkg/storereach"
	"github.com/medlarsill/medlarsill/pkg/truetime"
	"github.com/medlarsill/medlarsill/pkg/upstream"
	"github.com/medlarsill/medlarsill/pkg/usage"
	"github.com/medlarsill/medlarsill/platform"
)

const (
	// storedStateTimeout limits a read of state that instances stored earlier.
	storedStateTimeout = 300 * time.Millisecond
	// idleMargin is added to the time at which the lease holder last stored its state.
	// Instances may have run a little longer, as the state is stored only three times
	// a second.
	idleMargin = 500 * time.Millisecond
	// One in speedsInterval messages includes the learned endpoint speeds.
	speedsInterval = 5
	// One in allUsageInterval messages includes the counts of all usage windows that are kept,
	// the others those of the newestWindows that still change.
	allUsageInterval = 5
	newestWindows    = 2
	// storedSource is the source name of the endpoint speeds that are read from the store.
	storedSource = "stored"
)

// newSharedWatches returns the store client, which shares its watches with the peers.
func (p *process) newSharedWatches(client *http.Client) *sharedwatch.Store {
	storeClient := platform.NewStore(p.cfg.ObjectAPI, client, func() time.Duration { return p.endpointFollower.HoldTime(p.watches.HoldTime()) })
	storeClient.Log = p.log
	p.storeReach = storereach.New(counted.New(storeClient, p.metrics), p.log, time.Now)
	p.storeClient = storeClient
	return sharedwatch.New(sharedwatch.Options{
		Store: rewatch.New(p.storeReach, time.Now), Metrics: p.metrics, Log: p.log, Now: time.Now,
		Rank:           func() int { return p.node.ReachableRank() },
		ReachablePeers: func() int { return p.node.ReachablePeers() },
		Members:        func() int { return p.node.Members() },
		MaxDelay:       time.Duration(p.cfg.ChangeMS) * time.Millisecond,
		Broadcast:      func(data []byte) { p.node.BroadcastChanges(data) },
		Confirmed:      p.recordConfirmed,
	})
}

// recordConfirmed records up to when this instance knows all changes under a prefix of the store.
func (p *process) recordConfirmed(prefix string, at time.Time) {
	if prefix == platform.EndpointPrefix {
		p.table.RecordRegistered(at)
	}
	if prefix == platform.RolloutPrefix {
		p.rollouts.confirmed(at)
	}
}

// setUpPeers creates the components that exchange messages with the peers.
func (p *process) setUpPeers() {
	boot := uint64(time.Now().UnixNano())
	p.clock = truetime.New(time.Now)
	window := seconds(p.cfg.UsageWindowS)
	p.usage = usage.NewLedger(sourceName(p.cfg.ID, boot), window, p.clock.Now)
	p.meter = scaling.NewMeter(time.Now)
	// The address was validated when the settings were read.
	ip := netip.MustParseAddr(p.cfg.IP)
	p.node = gossip.NewNode(gossip.Options{
		ID: p.cfg.ID, Boot: boot, DataCentre: p.cfg.DataCentre, ByDataCentre: p.cfg.GossipByDataCentre, Metrics: p.metrics, Listen: netip.AddrPortFrom(ip, uint16(p.cfg.PeerPort)),
		Fill: p.fillMessage, OnMessage: p.receive, OnChanges: p.watches.ReceiveBatch, OnCrashes: func(data []byte) { p.poison.Receive(data) },
		OnStreams: func(from string, data []byte) { p.origins.Receive(from, data) }, OnStreamBatch: func(data []byte) { p.archive.ReceiveBatch(data) },
		OnRolloutReport: func(id string, boot uint64, r rollout.Report) { p.rollouts.receiveReport(id, boot, r) },
		Accounts:        func() map[string]allowance.Account { return p.allowances.Accounts() },
		OnAccounts:      func(accounts map[string]allowance.Account) { p.allowances.Adopt(accounts) },
		StoreCutOff:     func() bool { return p.storeReach.CutOff() },
		HasEnded:        peerEnded, OnEnded: func(id string) { p.allowances.PeerEnded(id) },
		Log: p.log, Now: time.Now,
	})
	p.archive = p.newArchive(boot)
	p.origins = origin.New(origin.Options{Peers: p.node.ReachablePeerIDs, Send: p.node.SendStreams, Archive: p.archive, Metrics: p.metrics, Log: p.log, Now: time.Now})
	p.peerLoads = endpoints.NewPeerLoads(p.table, p.node.PeerTimeout, time.Now)
	p.registry = &gossip.Registry{Store: p.store, Node: p.node, Log: p.log, Now: time.Now, FirstStart: p.cfg.FirstStart, MayRemove: func() bool {
		_, held := p.dutyLease.Held()
		return held
	}}
}

// peerEnded reports whether a peer's machine refuses connections to the port on which its process
// listens, so that the process has ended. A machine that is cut off or has no power doesn't answer.
func peerEnded(ctx context.Context, addr netip.AddrPort) bool {
	dialer := net.Dialer{Control: resetconn.Control}
	conn, err := dialer.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}

// newArchive returns the archive of where streams began.
func (p *process) newArchive(boot uint64) *origin.Archive {
	return origin.NewArchive(origin.ArchiveOptions{
		Source: p.cfg.ID + "-" + strconv.FormatUint(boot, 36), Self: p.cfg.ID, Store: p.store, StoreHistory: p.storeClient.History,
		Endpoints: p.table.All, Confirm: p.table.Confirm,
		StreamServices: func() []string { return p.config.Current().StreamServices() },
		IsWriter:       func() bool { return !p.discovering() && p.node.WriterRank() == 0 },
		Writers:        p.node.FirstWriters, Members: p.node.Members, Peers: p.livePeers, Send: p.node.SendStreamBatch,
		FirstStart: p.cfg.FirstStart, Metrics: p.metrics, Log: p.log, Now: time.Now, TrueTime: p.clock.Now,
	})
}

// livePeers returns the ids of the other instances that aren't known to have ended, and whether these
// are all.
func (p *process) livePeers() (ids []string, all bool) {
	ids = p.node.LivePeerIDs()
	return ids, len(ids) >= p.node.LiveMembers()-1
}

// membership returns the instances that share the endpoints' rate limits.
func (p *process) membership() ratelimit.Membership {
	return ratelimit.Membership{Self: p.cfg.ID, IDs: p.node.MemberIDs(), Settled: p.registry.Settled()}
}

// newOverloadGuard returns the guard of endpoints that are sensitive to overload.
func (p *process) newOverloadGuard() *overload.Guard {
	return overload.New(overload.Options{
		Members: p.membership, Endpoints: p.table, PeerTimeout: p.node.PeerTimeout, Metrics: p.metrics, Log: p.log, Now: time.Now, Random: rand.Float64,
	})
}

// newPoisonGuard returns the guard against requests that crash endpoints.
func (p *process) newPoisonGuard() *poison.Guard {
	ends := &upstream.EndChecker{Pool: p.pool, Others: p.table.OtherAddrs}
	return poison.New(poison.Options{
		Ended: ends.Ended, Broadcast: p.node.BroadcastCrashes, Metrics: p.metrics, Log: p.log, Now: time.Now,
		MayProbe: func(t poison.Trait) bool { return p.registry.Settled() && !p.isolated() && p.node.Owns(uint64(t)) },
	})
}

// isolated reports whether this instance reaches less than half of the others.
func (p *process) isolated() bool { return 2*p.node.ReachablePeers() < p.node.Members()-1 }

// tickLimits keeps this instance's shares of rate limits and of sensitive endpoints up to date.
func (p *process) tickLimits(ctx context.Context) error {
	for sleep.For(ctx, ratelimit.TickInterval) {
		p.rateLimits.Tick()
		p.overload.Tick()
	}
	return nil
}

// tickEndpointSpeeds keeps the factors of the endpoints' speeds up to date, if they are learned. It
// ends with the context, as the process stops when an actor returns.
func (p *process) tickEndpointSpeeds(ctx context.Context) error {
	if p.endpointSpeeds == nil {
		<-ctx.Done()
		return nil
	}
	for sleep.For(ctx, endpointspeed.TickInterval) {
		p.endpointSpeeds.Tick()
	}
	return nil
}

// runPeers credits the idle time to the allowances and then exchanges messages with
// the peers.
func (p *process) runPeers(ctx context.Context) error {
	if !p.cfg.FirstStart {
		p.creditIdleTime(ctx)
	}
	return p.node.Run(ctx)
}

// creditIdleTime credits to the allowances the time in which no instance was
// running, according to the store.
func (p *process) creditIdleTime(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storedStateTimeout)
	defer cancel()
	saved, err := usage.LastSaved(ctx, p.store)
	if err != nil {
		p.log.Warn("failed to read time of last activity", "error", err.Error())
		return
	}
	if saved.IsZero() {
		return
	}
	since := saved.Add(idleMargin)
	p.allowances.CreditIdleTime(since)
	p.log.Info("time of last activity loaded", "idle_ms", time.Since(since).Milliseconds())
}

// loadSpeeds loads the endpoint speeds that instances stored earlier. It then waits
// for the context, as the process stops when an actor returns.
func (p *process) loadSpeeds(ctx context.Context) error {
	if !p.cfg.FirstStart {
		p.readSpeeds(ctx)
	}
	<-ctx.Done()
	return nil
}

func (p *process) readSpeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storedStateTimeout)
	defer cancel()
	stored, err := scaling.StoredSpeeds(ctx, p.store)
	if err != nil {
		p.log.Warn("failed to read endpoint speeds", "error", err.Error())
		return
	}
	p.scheduler.Speeds.Merge(storedSource, stored)
	p.log.Info("endpoint speeds loaded", "services", len(stored))
}

// sourceName returns the name that identifies one process run of an instance in usage
// counts and peer messages.
func sourceName(id string, boot uint64) string { return fmt.Sprintf("%s/%d", id, boot) }

// fillMessage adds this instance's state to a message to the peers.
func (p *process) fillMessage(m *gossip.Message) {
	m.WallMS = time.Now().UnixMilli()
	m.Ready = p.ready()
	m.ForwardPort = p.forwardPort()
	m.StoreCutOff = p.storeReach.CutOff()
	m.CutOff = p.reach.Services()
	if t := p.config.Current(); t != nil {
		m.Config = t.Version
	}
	m.Load = make(map[string]gossip.Load)
	for _, e := range p.table.All() {
		if own := e.OwnLoad(); own.Running > 0 {
			m.Load[e.ID] = gossip.Load{Running: own.Running, Prompt: own.Prompt}
		}
	}
	m.Totals = p.allowances.Totals()
	m.Demand = p.scheduler.RequestedWork.Totals()
	p.meter.Record(p.usage.Source, m.Demand)
	if p.scheduler.Splits != nil {
		m.Prompts = p.scheduler.Splits.Own()
	}
	if p.scheduler.FairShares != nil {
		m.FairShares = p.scheduler.FairShares.Report()
	}
	if m.Seq%speedsInterval == 1 {
		m.Speeds = p.scheduler.Speeds.OwnSummaries()
	}
	m.Usage = p.usage.Own(usageWindows(m.Seq))
	m.RateLimits = p.rateLimits.Reports()
	m.Overload = p.overload.Reports()
	if p.endpointSpeeds != nil {
		m.EndpointSpeeds = p.endpointSpeeds.Reports(m.Seq)
	}
	m.Quarantine = p.poison.NextEntries()
	m.Fence = p.dutyLease.HighestFence()
	builds := p.archive.Announcement(m.Seq)
	m.Builds, m.UnrecordedBuilds = builds.Record, builds.Unrecorded
	p.rollouts.fill(m)
	// Directives hold for 2 s, and endpoints' limits may not be exceeded meanwhile.
	m.Urgent = len(m.RolloutReports) > 0 || p.rateLimits.HasNews()
}

// forwardPort returns the port on which this instance takes requests of its peers' callers.
func (p *process) forwardPort() uint16 {
	at, ok := p.listeners.forwarded.Addr().(*net.TCPAddr)
	if !ok {
		return 0
	}
	return uint16(at.Port)
}

// usageWindows returns the number of usage windows in this instance's n-th message.
func usageWindows(n uint64) int {
	if n%allUsageInterval == 1 {
		return usage.KeptWindows
	}
	return newestWindows
}

// receive processes a message from a peer.
func (p *process) receive(m gossip.Message) {
	from := sourceName(m.ID, m.Boot)
	p.clock.Observe(m.ID, time.UnixMilli(m.WallMS))
	p.configLag.Observe(m.ID, m.Config)
	p.allowances.ReceiveTotals(m.ID, m.Boot, m.Totals)
	p.meter.Record(from, m.Demand)
	if p.scheduler.Splits != nil {
		p.scheduler.Splits.Merge(from, m.Prompts)
	}
	if p.scheduler.FairShares != nil {
		p.scheduler.FairShares.Receive(from, m.FairShares)
	}
	if ignored := p.usage.Merge(from, m.Usage); ignored > 0 {
		p.log.Debug("usage counts of peer ignored", "peer", m.ID, "windows", ignored, "reason", "far from the current window")
	}
	p.rateLimits.Receive(m.RateLimits)
	p.overload.Receive(m.Overload)
	p.poison.Merge(m.Quarantine)
	p.dutyLease.ObserveFence(m.Fence)
	p.archive.Merge(m.ID, origin.Announcement{Record: m.Builds, Unrecorded: m.UnrecordedBuilds})
	p.rollouts.receive(m)
	p.scheduler.Speeds.Merge(from, m.Speeds)
	if p.endpointSpeeds != nil {
		p.endpointSpeeds.Receive(m.ID, m.EndpointSpeeds)
	}
	loads := make(map[string]endpoints.Load, len(m.Load))
	for id, l := range m.Load {
		loads[id] = endpoints.Load{Running: l.Running, Prompt: l.Prompt}
	}
	p.peerLoads.Update(m.ID, loads)
	p.scheduler.PlaceWaiting()
}
