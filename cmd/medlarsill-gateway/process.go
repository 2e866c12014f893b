package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/actors"
	"github.com/medlarsill/medlarsill/pkg/allowance"
	"github.com/medlarsill/medlarsill/pkg/backoff"
	"github.com/medlarsill/medlarsill/pkg/configlag"
	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/endpointspeed"
	"github.com/medlarsill/medlarsill/pkg/fairshare"
	"github.com/medlarsill/medlarsill/pkg/gateway"
	"github.com/medlarsill/medlarsill/pkg/gossip"
	"github.com/medlarsill/medlarsill/pkg/httpconn"
	"github.com/medlarsill/medlarsill/pkg/ingress"
	"github.com/medlarsill/medlarsill/pkg/kvcache"
	"github.com/medlarsill/medlarsill/pkg/kvmove"
	"github.com/medlarsill/medlarsill/pkg/lease"
	"github.com/medlarsill/medlarsill/pkg/logging"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/origin"
	"github.com/medlarsill/medlarsill/pkg/overload"
	"github.com/medlarsill/medlarsill/pkg/poison"
	"github.com/medlarsill/medlarsill/pkg/promptsplit"
	"github.com/medlarsill/medlarsill/pkg/ratelimit"
	"github.com/medlarsill/medlarsill/pkg/reach"
	"github.com/medlarsill/medlarsill/pkg/resetconn"
	"github.com/medlarsill/medlarsill/pkg/retry"
	"github.com/medlarsill/medlarsill/pkg/routing"
	"github.com/medlarsill/medlarsill/pkg/scaling"
	"github.com/medlarsill/medlarsill/pkg/schedule"
	"github.com/medlarsill/medlarsill/pkg/settings"
	"github.com/medlarsill/medlarsill/pkg/sharedwatch"
	"github.com/medlarsill/medlarsill/pkg/sleep"
	"github.com/medlarsill/medlarsill/pkg/startup"
	"github.com/medlarsill/medlarsill/pkg/storereach"
	"github.com/medlarsill/medlarsill/pkg/truetime"
	"github.com/medlarsill/medlarsill/pkg/upstream"
	"github.com/medlarsill/medlarsill/pkg/usage"
	"github.com/medlarsill/medlarsill/platform"
)

const (
	// dialTimeout limits the time to connect to the platform.
	dialTimeout = 400 * time.Millisecond
	// storeConns is the maximum number of idle connections to the platform's store.
	storeConns = 4
	// storeIdleTimeout is how long such a connection is kept.
	storeIdleTimeout = 10 * time.Second
	// memoryShare is the share of the instance's memory that is set as Go's memory limit.
	memoryShare = 0.6
	// bodyShare is the share of the instance's memory that the bodies of requests may take.
	bodyShare = 0.25
	// responseShare is the share of the instance's memory that unfinished responses may take.
	responseShare = 0.15
	// poolSweepInterval is the interval at which idle connections to endpoints are checked.
	poolSweepInterval = 2 * time.Second
	// speedLogInterval is the interval at which endpoint speeds are logged.
	speedLogInterval = 5 * time.Second
	// headShare is the share of the instance's memory that the large heads of requests may take.
	// 350 callers with heads of 16 KiB each take a third of it in the smallest instances.
	headShare = 0.15
	// allowanceShare is the share of the permitted excess over a limit that is used.
	allowanceShare = 0.5
	// creditShare is the share of the permitted slack that new accounts start with. It
	// is below half as all instances may start twice in the period over which a limit
	// is measured.
	creditShare = 0.4
)

// process holds the components of one gateway process.
type process struct {
	cfg              settings.Gateway
	source           settings.Source
	log              *slog.Logger
	metrics          *prometheus.Registry
	store            objectstore.Store
	watches          *sharedwatch.Store
	storeReach       *storereach.Store
	storeClient      *platform.Store
	config           *routing.Follower
	configLag        *configlag.Detector
	table            *endpoints.Table
	endpointFollower *endpoints.Follower
	scheduler        *schedule.Scheduler
	allowances       *allowance.Limiter
	rateLimits       *ratelimit.Limits
	backoffs         *backoff.Backoffs
	overload         *overload.Guard
	endpointSpeeds   *endpointspeed.Factors
	poison           *poison.Guard
	quarantine       *poison.Keeper
	origins          *origin.Registry
	archive          *origin.Archive
	rollouts         *rollouts
	pool             *upstream.Pool
	peerPool         *upstream.Pool
	reach            *reach.Tracker
	forwarded        *ingress.Server
	gateway          *gateway.Gateway
	ingress          *ingress.Server
	readinessServer  *ingress.Server
	metricsServer    *ingress.Server
	node             *gossip.Node
	registry         *gossip.Registry
	clock            *truetime.Clock
	usage            *usage.Ledger
	peerLoads        *endpoints.PeerLoads
	meter            *scaling.Meter
	dutyLease        *lease.Lease
	reporter         *usage.Reporter
	planner          *scaling.Planner
	listeners        listeners
	startedAt        time.Time
	startup          *startup.Timeline
	stopping         atomic.Bool
	// stopRequested is closed to request a planned stop.
	stopRequested chan struct{}
}

func newProcess(cfg settings.Gateway, source settings.Source, log *slog.Logger) *process {
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB) * (1 << 20)))
	p := &process{
		startedAt: time.Now(), cfg: cfg, source: source, log: log, metrics: prometheus.NewRegistry(),
		pool: upstream.NewPool(time.Now), peerPool: upstream.NewPool(time.Now), stopRequested: make(chan struct{}),
	}
	client := newPlatformClient()
	p.setUpFollowers(client)
	p.setUpPeers()
	p.setUpLimits()
	p.setUpRollouts()
	p.gateway = p.newGateway()
	p.setUpDuties(client)
	p.setUpRolloutHolder()
	p.startup = startup.New(startup.Options{Steps: p.startupSteps(), Log: log, Now: time.Now})
	p.setUpServers()
	p.registerStateMetrics()
	return p
}

// newPlatformClient returns the HTTP client for the platform's store and API.
func newPlatformClient() *http.Client {
	t := resetconn.NewTransport(dialTimeout)
	t.MaxIdleConnsPerHost, t.IdleConnTimeout = storeConns, storeIdleTimeout
	return &http.Client{Transport: httpconn.NewTransport(t)}
}

// setUpFollowers creates the components that follow the configuration and the endpoints in the
// store, and the scheduler that places requests on the endpoints.
func (p *process) setUpFollowers(client *http.Client) {
	members := func() int { return p.node.Members() }
	p.watches = p.newSharedWatches(client)
	p.store = p.watches
	p.config = routing.NewFollower(routing.FollowerOptions{
		Store: p.store, Prefix: platform.ConfigPrefix, IsNewest: platform.IsConfig, Decode: platform.DecodeConfig,
		OnChange: func(t *routing.Table) { p.allowances.Open(t.Workspaces) }, Members: members, Log: p.log, Now: time.Now,
	})
	p.configLag = p.newConfigLag()
	p.table = endpoints.NewTable(p.endpointsChanged)
	p.endpointFollower = endpoints.NewFollower(endpoints.FollowerOptions{
		Store: p.store, Prefix: platform.EndpointPrefix, Decode: platform.DecodeEndpoint, Table: p.table, Members: members, Log: p.log, Now: time.Now,
	})
	p.pool.Ended = func(addr string) { p.table.RecordEnded(addr, time.Now()) }
	p.scheduler = schedule.New(p.table, slots, time.Now)
	p.scheduler.Members = members
	if p.cfg.KVFetch {
		p.scheduler.Prefixes = kvcache.New(kvcache.Options{Engine: p.engine, Endpoints: p.table, Members: members, Metrics: p.metrics})
	}
	if p.cfg.SplitPrompts {
		p.scheduler.Splits = promptsplit.New(promptsplit.Options{Metrics: p.metrics, Log: p.log, Now: time.Now})
	}
	if p.cfg.FairWorkspaces {
		p.scheduler.FairShares = fairshare.New(fairshare.Options{
			Metrics: p.metrics, Log: p.log, Now: time.Now, RoundTime: func() time.Duration { return p.node.RoundTime() },
		})
	}
}

// engine returns the engines of a service, or nil if it has none.
func (p *process) engine(service string) *routing.Engine {
	t := p.config.Current()
	if t == nil {
		return nil
	}
	s, ok := t.Service(service)
	if !ok {
		return nil
	}
	return s.Engine
}

// setUpLimits creates the components that decide whether and where a request may be sent.
func (p *process) setUpLimits() {
	p.allowances = allowance.New(allowance.Options{
		Overshoot: allowanceShare * p.cfg.AllowanceOver, Credit: creditShare * p.cfg.AllowanceSlack, Now: time.Now,
		PeerTimeout: p.node.PeerTimeout, RoundTime: p.node.RoundTime, ReportInterval: gossip.Interval, Members: p.node.LiveMembers,
	})
	p.rateLimits = ratelimit.New(ratelimit.Options{Members: p.membership, Metrics: ratelimit.NewMetrics(p.metrics), Log: p.log, Now: time.Now})
	p.backoffs = backoff.New(backoff.Options{Metrics: p.metrics, Log: p.log, Now: time.Now})
	p.scheduler.Limits = schedule.AllOf{p.backoffs, p.rateLimits}
	p.reach = reach.New(reach.Options{Endpoints: p.table, Connects: p.pool.Holds, Log: p.log})
	p.overload = p.newOverloadGuard()
	p.scheduler.Shares = p.overload
	p.setUpEndpointSpeeds()
	p.poison = p.newPoisonGuard()
	p.quarantine = p.newQuarantineKeeper()
}

// setUpEndpointSpeeds creates the component that learns how fast each endpoint is, if the settings
// say so.
func (p *process) setUpEndpointSpeeds() {
	if !p.cfg.EndpointSpeeds {
		return
	}
	p.endpointSpeeds = endpointspeed.New(endpointspeed.Options{Endpoints: p.table, Metrics: p.metrics, Log: p.log, Now: time.Now})
	p.scheduler.EndpointSpeeds = p.endpointSpeeds
}

// newGateway returns the handler of callers' requests.
func (p *process) newGateway() *gateway.Gateway {
	identities := endpoints.NewIdentities(endpoints.IdentityOptions{
		Table: p.table, Read: p.endpointFollower.Read, Metrics: p.metrics, Log: p.log, Now: time.Now,
	})
	return gateway.New(gateway.Options{
		Protocol:      platform.Protocol{},
		Config:        p.config,
		Placer:        p.scheduler,
		Allowance:     p.allowances,
		Retries:       retry.NewSharedBudget(p.cfg.RetryShare, p.cfg.RetryExtra, p.node.Members, time.Now),
		Usage:         p.usage,
		Endpoints:     p.table,
		RateLimits:    p.rateLimits,
		Backoffs:      p.backoffs,
		Overload:      p.overload,
		Poison:        p.poison,
		Origins:       p.origins,
		Identities:    identities,
		Pool:          p.pool,
		Rollouts:      p.rollouts.choices(),
		Moves:         p.movePlanner(),
		BodyBytes:     int64(bodyShare * float64(p.cfg.MemoryMB) * (1 << 20)),
		ResponseBytes: int64(responseShare * float64(p.cfg.MemoryMB) * (1 << 20)),
		Reach:         p.reach,
		Peers:         p.node,
		PeerPool:      p.peerPool,
		Metrics:       gateway.NewMetrics(p.metrics),
		Log:           p.log,
		KnownState:    p.knownState,
		IdleConns:     p.idleConns,
		Now:           time.Now,
		Random:        rand.Float64,
	})
}

// movePlanner returns what decides on moves of streams, or nil if the settings permit none.
func (p *process) movePlanner() *kvmove.Planner {
	if !p.cfg.KVMoves {
		return nil
	}
	return kvmove.NewPlanner(p.metrics)
}

// startupSteps returns what this process waits for after its start.
func (p *process) startupSteps() []startup.Step {
	return []startup.Step{
		{Name: "configuration", Reached: func() bool { return p.config.Current() != nil }},
		{Name: "ready", Reached: p.ready},
		{Name: "members", Reached: func() bool { return p.node.Members() > 1 }},
		{Name: "half of the peers", Reached: func() bool { return p.node.Members() > 1 && !p.isolated() }},
	}
}

// newStartupGate returns the gate that holds requests until the configuration and the endpoints are
// known, which requests crash endpoints, and which versions get requests.
func (p *process) newStartupGate() *startup.Gate {
	return &startup.Gate{Known: func() bool { return p.synced() && p.quarantine.Loaded() && p.rollouts.isLoaded() }, WithArrival: gateway.WithArrival, Now: time.Now, StartedAt: p.startedAt}
}

// endpointsChanged places waiting requests and triggers a new capacity plan.
func (p *process) endpointsChanged() {
	if p.endpointSpeeds != nil {
		p.endpointSpeeds.EndpointsChanged()
	}
	p.rollouts.refresh()
	p.scheduler.PlaceWaiting()
	p.archive.EndpointsChanged()
	p.planner.Wake()
}

// idleShare is the share of an endpoint's maximum number of connections that may be
// idle, over all instances.
const idleShare = 0.5

// idleConns returns the number of idle connections that this process keeps to an
// endpoint of a service. Those of all processes together leave room for one
// connection for each request that the endpoint runs.
func (p *process) idleConns(s *routing.Service, e *endpoints.Endpoint) int {
	all := min(int(idleShare*float64(s.MaxConns)), s.MaxConns-slots(e))
	return max(1, all/p.node.Members())
}

// slots returns the number of requests that an endpoint runs at the same time.
func slots(e *endpoints.Endpoint) int { return e.Info().Slots }

// knownState returns the versions and ages of the state that this process works
// with, for log lines.
func (p *process) knownState() slog.Attr {
	return slog.Group("beliefs", "config", p.config.Version(), "config_age_ms", p.config.Age().Milliseconds(),
		"endpoints_age_ms", p.endpointFollower.Age().Milliseconds(), "members", p.node.Members(), "peers_heard", p.node.ReachablePeers())
}

// ready reports whether this process should receive new requests.
func (p *process) ready() bool { return p.synced() && !p.stopping.Load() }

// synced reports whether the configuration and the endpoints are known.
func (p *process) synced() bool {
	if p.config.Current() == nil {
		return false
	}
	select {
	case <-p.endpointFollower.Synced():
		return true
	default:
		return false
	}
}

// run serves requests until a signal, and then stops gracefully. listen must have
// been called.
func (p *process) run(out *logging.Async) error {
	p.log.Info("started", "id", p.cfg.ID, "data_centre", p.cfg.DataCentre)
	components := []component{
		{"log", out.Run},
		{"stop", p.stopOnSignal},
		{"reload", p.reloadOnSignal},
		{"configuration", p.config.Run},
		{"configuration lag", p.configLag.Run},
		{"endpoints", p.endpointFollower.Run},
		{"endpoint connections", p.sweepPool},
		{"start", p.startup.Run},
		{"speed log", p.logSpeeds},
		{"limits", p.tickLimits},
		{"speed factors", p.tickEndpointSpeeds},
		{"poison", p.poison.Run},
		{"quarantine", p.quarantine.Run},
		{"peers", p.runPeers},
		{"speeds", p.loadSpeeds},
		{"stream archive", p.archive.Run},
		{"registration", p.registry.Run},
		{"endpoint reachability", p.reach.Run},
	}
	components = append(components, p.serverComponents()...)
	components = append(components, p.rollouts.components()...)
	err := actors.Run(p.logErrors(append(components, p.dutyComponents()...))...)
	p.releaseDuties()
	return err
}

// logSpeeds logs the estimated endpoint speeds at intervals.
func (p *process) logSpeeds(ctx context.Context) error {
	for sleep.For(ctx, speedLogInterval) {
		for name, estimate := range p.scheduler.Speeds.Estimates() {
			p.log.Info("endpoint speeds", "service", name, "estimate", estimate)
		}
	}
	return nil
}

func (p *process) sweepPool(ctx context.Context) error {
	for sleep.For(ctx, poolSweepInterval) {
		p.pool.CloseExpired()
		p.peerPool.CloseExpired()
	}
	return nil
}
