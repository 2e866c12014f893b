package main

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/gateway"
	"github.com/medlarsill/medlarsill/pkg/gossip"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/rollout"
	"github.com/medlarsill/medlarsill/pkg/scheddelay"
	"github.com/medlarsill/medlarsill/pkg/sleep"
	"github.com/medlarsill/medlarsill/pkg/watch"
	"github.com/medlarsill/medlarsill/platform"
)

// orderRetryPause is the mean pause after a failed watch of the orders. They last for many seconds, and most
// instances learn of them from their peers, so that they cost fewer calls in an outage than the configuration.
const orderRetryPause = 600 * time.Millisecond

// rollouts holds the components that change services' versions by orders. All methods do nothing on
// nil, which stands for a process whose settings don't call for them.
type rollouts struct {
	self     string
	node     *gossip.Node
	registry *rollout.Registry
	watch    watch.Loop
	holder   *rollout.Holder
	// delays measures for how long this process is held up itself, while an order is in force.
	delays *scheddelay.Meter
	store  objectstore.Store
	log    *slog.Logger
	// loaded is true once the stored progress was read, or that has failed.
	loaded atomic.Bool
}

// setUpRollouts creates the components that follow the orders, if the settings call for them.
func (p *process) setUpRollouts() {
	if p.cfg.RolloutShare == 0 {
		return
	}
	delays := &scheddelay.Meter{Now: time.Now}
	registry := rollout.New(rollout.Options{
		Config: rollout.Config{Share: p.cfg.RolloutShare, Slack: p.cfg.RolloutSlack, Rollback: time.Duration(p.cfg.RolloutRollbackMS) * time.Millisecond},
		Decode: platform.DecodeRollout, Endpoints: p.table, Delay: delays.Total, Metrics: p.metrics, Log: p.log, Now: time.Now,
	})
	delays.Needed = registry.InProgress
	p.rollouts = &rollouts{self: p.cfg.ID, node: p.node, registry: registry, delays: delays, store: p.store, log: p.log}
	p.rollouts.loaded.Store(p.cfg.FirstStart)
	p.rollouts.watch = watch.Loop{
		Store: p.store, Prefix: platform.RolloutPrefix, Name: "rollouts", Confirmed: registry.Confirmed, Members: p.node.Members, Log: p.log, Now: time.Now,
		Apply: func(c objectstore.Changes, _ bool) { registry.Apply(c) }, RetryPause: orderRetryPause,
	}
}

// setUpRolloutHolder creates what decides while this process holds the lease of the duties.
func (p *process) setUpRolloutHolder() {
	if p.rollouts == nil {
		return
	}
	p.rollouts.holder = rollout.NewHolder(rollout.HolderOptions{
		Registry: p.rollouts.registry, Lease: p.dutyLease, Store: p.store, Statuses: p.storeClient, Key: platform.RolloutKey,
		Self: p.cfg.ID, Members: p.node.LiveMemberIDs, FindEnded: p.node.FindEnded,
		Known: p.synced, Log: p.log, Now: time.Now, TrueTime: p.clock.Now,
	})
}

// choices returns what chooses versions for requests; nil for none.
func (r *rollouts) choices() gateway.Rollouts {
	if r == nil {
		return nil
	}
	return r.registry
}

// refresh takes a change of the endpoints in.
func (r *rollouts) refresh() {
	if r != nil {
		r.registry.Refresh()
	}
}

// confirmed records up to when all changes of the orders are known.
func (r *rollouts) confirmed(at time.Time) {
	if r != nil {
		r.registry.Confirmed(at)
	}
}

// components returns what has to run.
func (r *rollouts) components() []component {
	if r == nil {
		return nil
	}
	return []component{
		{"rollout orders", func(ctx context.Context) error { return r.watch.Run(ctx) }},
		{"rollouts", r.run},
		{"own delays", r.measureDelays},
	}
}

// measureDelays measures this process's own delays until the context ends.
func (r *rollouts) measureDelays(ctx context.Context) error {
	r.delays.Probe = sleep.For
	pipe, err := scheddelay.OpenPipe()
	if err != nil {
		r.log.Warn("delays of the network poller not measured", "error", err.Error())
	} else {
		defer pipe.Close()
		r.delays.Probe = pipe.Probe
	}
	return r.delays.Run(ctx)
}

// run reads the stored progress, and then decides while this process holds the lease.
func (r *rollouts) run(ctx context.Context) error {
	if !r.loaded.Load() {
		r.load(ctx)
	}
	return r.holder.Run(ctx)
}

// load reads the stored progress.
func (r *rollouts) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storedStateTimeout)
	defer cancel()
	defer r.loaded.Store(true)
	records, err := rollout.Load(ctx, r.store)
	if err != nil {
		r.log.Warn("failed to read rollout progress", "error", err.Error())
		return
	}
	r.registry.Adopt(records)
}

// isLoaded reports whether the stored progress was read, or that has failed.
func (r *rollouts) isLoaded() bool { return r == nil || r.loaded.Load() }

// fill adds what this instance knows to a message to the peers. The deciding instance gets all
// reports at once if it wouldn't get each message.
func (r *rollouts) fill(m *gossip.Message) {
	if r == nil {
		return
	}
	m.Rollouts = r.registry.Directives()
	m.RolloutReports = r.registry.Reports()
	if len(m.RolloutReports) == 0 || len(m.Rollouts) == 0 {
		return
	}
	holder := m.Rollouts[0].Holder
	reports := r.registry.OwnReports()
	if holder == r.self || r.node.RoundTime() <= gossip.Interval && len(reports) == len(m.RolloutReports) {
		return
	}
	for _, report := range reports {
		r.node.SendRolloutReport(holder, report)
	}
}

// receive takes what a peer tells in.
func (r *rollouts) receive(m gossip.Message) {
	if r == nil {
		return
	}
	r.registry.ReceiveDirectives(m.Rollouts)
	r.registry.ReceiveReports(m.ID, sourceName(m.ID, m.Boot), m.RolloutReports)
}

// receiveReport takes a report in that a peer has sent to this instance alone.
func (r *rollouts) receiveReport(id string, boot uint64, report rollout.Report) {
	if r != nil {
		r.registry.ReceiveReports(id, sourceName(id, boot), []rollout.Report{report})
	}
}
