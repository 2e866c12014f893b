package main

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/actors"
	"github.com/medlarsill/medlarsill/pkg/cloud/httpcloud"
	"github.com/medlarsill/medlarsill/pkg/controller"
	"github.com/medlarsill/medlarsill/pkg/dispatch"
	"github.com/medlarsill/medlarsill/pkg/engine/httpengine"
	"github.com/medlarsill/medlarsill/pkg/entry"
	"github.com/medlarsill/medlarsill/pkg/entrystate"
	"github.com/medlarsill/medlarsill/pkg/exchange"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/flight"
	"github.com/medlarsill/medlarsill/pkg/handover"
	"github.com/medlarsill/medlarsill/pkg/httpconn"
	"github.com/medlarsill/medlarsill/pkg/httpserver"
	"github.com/medlarsill/medlarsill/pkg/membership"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/httpstore"
	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/resetconn"
	"github.com/medlarsill/medlarsill/pkg/revision"
	"github.com/medlarsill/medlarsill/pkg/settings"
	"github.com/medlarsill/medlarsill/pkg/tlsconfig"
)

// Limits of connections to endpoints and the platform, and the sweep interval.
const (
	dialTimeout          = 500 * time.Millisecond
	sweepInterval        = time.Second
	idleConnsPerEndpoint = 64
	// connBufferBytes is small to save memory on open connections; a token needs far less.
	connBufferBytes = 1 << 10
)

// process holds the components of one entry. They are created in the order of
// the fields and closed in reverse order.
type process struct {
	cfg settings.Entry
	log *slog.Logger
	reg *prometheus.Registry

	keys        *tlsconfig.ProcessKeys
	client      *http.Client
	store       objectstore.Store
	cloudClient *httpcloud.Client
	follower    *revision.Follower

	directory  *peer.Directory
	peers      *peer.Client
	peerServer *peer.Server
	member     *localMember

	table      *fleet.Table
	flights    *flight.Registry
	scheduling *scheduling
	// exchange shares this entry's admission and load state with the other entries.
	exchange *exchange.Exchange
	server   *entry.Server
	manager  *handover.Manager
	callers  *http.Server
	stop     *stopper

	closers []func()
}

// newProcess creates the components without starting them.
func newProcess(cfg settings.Entry, log *slog.Logger) (*process, error) {
	p := &process{cfg: cfg, log: log, reg: prometheus.NewRegistry()}
	steps := []func() error{p.wirePlatform, p.wirePeers, p.wireFleet, p.wireServer, p.wireHandover, p.wireCallers}
	for _, step := range steps {
		if err := step(); err != nil {
			p.close()
			return nil, err
		}
	}
	return p, nil
}

func (p *process) wirePlatform() error {
	keys, err := tlsconfig.FromSettings(p.cfg.TLS, p.cfg.PeerTLS)
	if err != nil {
		return err
	}
	p.keys = keys
	p.client = newClient()
	p.store = withBudget(httpstore.NewClient(p.cfg.ObjectAPI, p.client), p.reg)
	p.cloudClient = httpcloud.NewClient(p.cfg.CloudAPI, p.client)
	p.follower = revision.NewFollower(p.store, p.log, time.Now)
	return nil
}

func (p *process) wirePeers() error {
	p.directory = &peer.Directory{}
	p.peers = peer.NewClient(p.directory, p.keys.PeerClient())
	p.closers = append(p.closers, p.peers.Close)
	p.peerServer = peer.NewServer(p.keys.PeerServer())
	p.peerServer.Report(p.reg, p.log)
	p.member = newLocalMember(p.cfg, p.store, p.directory, p.peers, p.reg, p.log)
	p.closers = append(p.closers, func() { p.member.leave(p.log, p.follower.DeregisterDelay()) })
	p.member.connectFollower(p.follower, p.peers)
	if err := p.peerServer.Register(revision.ServiceName, p.follower.RPC()); err != nil {
		return err
	}
	return p.peerServer.Register(membership.ServiceName, p.member.service.RPC())
}

func (p *process) wireFleet() error {
	p.table = fleet.NewTable(time.Now, p.onLeaving)
	p.member.connectTable(p.table)
	p.flights = flight.NewRegistry(time.Now)
	return nil
}

// onLeaving handles the first notice that an endpoint's or this entry's instance
// is being reclaimed or drained.
func (p *process) onLeaving(id string, at time.Time) {
	p.log.Info("reclaim or drain notice received", "instance", id)
	p.member.announceLeaving(id, at)
	if id == p.cfg.ID {
		p.stop.OnReclaimNotice(time.Until(at))
	}
}

func (p *process) wireServer() error {
	engines := httpengine.NewClient(p.client)
	p.scheduling = newScheduling(p.cfg, p.reg, p.follower, p.directory, engines)
	p.exchange = &exchange.Exchange{
		Self: p.cfg.ID, Admitter: p.scheduling.admitter, View: p.scheduling.view, Directory: p.directory, Caller: p.peers,
	}
	if err := p.peerServer.Register(exchange.ServiceName, p.exchange.RPC()); err != nil {
		return err
	}
	forwarder, closeLedger, err := newForwarder(p.cfg, p.reg, p.store, p.directory, p.peers, p.peerServer)
	if err != nil {
		return err
	}
	p.closers = append(p.closers, closeLedger)
	forwarder.Budget = p.scheduling.retries.ForService(plainRetryBudget)
	forwarder.Config, forwarder.Fleet, forwarder.Placer = p.follower, p.table, p.scheduling.placer
	p.server = entry.New(entry.Options{
		Config: p.follower, Admitter: p.scheduling.admitter, Placer: p.scheduling.placer, Fleet: p.table,
		Dispatcher: &dispatch.Dispatcher{
			Self: p.cfg.ID, Config: p.follower, Fleet: p.table, Placer: p.scheduling.placer,
			Engine: engines, Metrics: dispatch.NewMetrics(p.reg), Now: time.Now,
			Suspects: p.scheduling.view,
			Retrier:  p.scheduling.retries,
		},
		Flights: p.flights, Services: forwarder,
		Log: p.log, Metrics: entry.NewMetrics(p.reg), Now: time.Now,
	})
	p.closers = append(p.closers, p.server.Close)
	return p.peerServer.Register(entrystate.ServiceName, entrystate.New(p.cfg.ID, p.follower.Current, p.server.Ready))
}

func (p *process) wireHandover() error {
	p.manager = handover.New(handover.Options{
		Self:  peer.Info{ID: p.cfg.ID, DataCentre: p.cfg.DataCentre, Addr: p.cfg.PeerListen},
		Peers: p.directory, Caller: p.peers, Flights: p.flights, Owner: p.server,
		Log: p.log, Metrics: handover.NewMetrics(p.reg), Now: time.Now,
	})
	p.server.Handover = p.manager
	p.member.service.OnEvent = p.memberChanged
	return p.manager.Register(p.peerServer)
}

// memberChanged takes over the flights of a peer whose process has ended.
func (p *process) memberChanged(e membership.Event) {
	ended := e.Restarted || e.Status == membership.Gone || e.Status == membership.Left
	if ended && e.Member.ID != p.cfg.ID {
		go p.manager.AdoptAllFrom(e.Member.ID)
	}
}

func (p *process) wireCallers() error {
	p.callers = httpserver.New(p.cfg.Listen, p.server.Handler())
	p.callers.TLSConfig = p.keys.Server()
	p.stop = newStopper(p.cfg, p.server, p.callers, p.log)
	return nil
}

// actors returns the functions to run concurrently. When one returns, all stop.
func (p *process) actors() []actors.Actor {
	operations := httpserver.New(p.cfg.MetricsListen, httpserver.Operations(p.reg, p.server.Ready))
	return []actors.Actor{
		p.stop.Run,
		func(ctx context.Context) error { return p.keys.Run(ctx, p.log) },
		p.follower.Run,
		p.manager.Run,
		func(ctx context.Context) error { return p.peerServer.Run(ctx, p.cfg.PeerListen) },
		p.member.service.Run,
		p.member.registry.Run,
		func(ctx context.Context) error { return fleet.FollowList(ctx, p.cloudClient, p.table) },
		func(ctx context.Context) error { return fleet.FollowNotices(ctx, p.cloudClient, p.table) },
		func(ctx context.Context) error {
			return controller.FollowDrains(ctx, p.store, time.Now, p.table.MarkLeaving, p.log)
		},
		func(ctx context.Context) error { return p.scheduling.poller.Run(ctx, p.table) },
		func(ctx context.Context) error { return p.scheduling.runLimits(ctx, p.follower, p.table) },
		p.exchange.Run,
		p.sweep,
		func(ctx context.Context) error { return httpserver.Run(ctx, p.callers, time.Second) },
		func(ctx context.Context) error { return httpserver.Run(ctx, operations, time.Second) },
	}
}

// close closes the components in reverse order of their creation.
func (p *process) close() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
}

// sweep periodically removes ended flights and stops abandoned ones.
func (p *process) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.flights.Sweep(entry.ResumeWindow)
		case <-ctx.Done():
			return nil
		}
	}
}

// plainRetryBudget names the retry budget that all plain services share.
const plainRetryBudget = "plain services"

// newClient returns the HTTP client for endpoints and the platform.
func newClient() *http.Client {
	t := resetconn.NewTransport(dialTimeout)
	t.MaxIdleConnsPerHost, t.DisableCompression = idleConnsPerEndpoint, true
	t.ReadBufferSize, t.WriteBufferSize = connBufferBytes, connBufferBytes
	return &http.Client{Transport: httpconn.NewTransport(t)}
}
