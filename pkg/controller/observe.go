package controller

import (
	"context"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/medlarsill/medlarsill/pkg/capacity"
	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
)

// observe reads the instance list and as many load reports as the budget allows.
func (c *Controller) observe(ctx context.Context, env *config.Envelope) (capacity.Snapshot, error) {
	list, err := c.Cloud.List(ctx)
	if err != nil {
		return capacity.Snapshot{}, eris.Wrap(ErrListUnavailable, err.Error())
	}
	c.poll(ctx, env, list)
	now := c.Now()
	out := capacity.Snapshot{Now: now, Envelope: env}
	leaving := c.leaving()
	for _, in := range list {
		if leaving[in.ID] && in.State != cloud.StateGone {
			in.State = cloud.StateLeaving
		}
		observed := capacity.Observed{Instance: in}
		if r, ok := c.loads[in.ID]; ok && now.Sub(r.at) <= maxLoadAge {
			load := r.load
			observed.Load = &load
		}
		out.Instances = append(out.Instances, observed)
	}
	c.pruneReports(list)
	return out, nil
}

// leaving returns the instances with a reclaim notice, without those that are being
// drained by a plan.
func (c *Controller) leaving() map[string]bool {
	out := make(map[string]bool)
	if c.Leaving == nil {
		return out
	}
	for id := range c.Leaving() {
		out[id] = true
	}
	for _, d := range c.state.Drains {
		delete(out, d.Instance)
	}
	return out
}

// poll reads load reports of model endpoints. If the budget doesn't allow all of
// them, it continues where the last step stopped.
func (c *Controller) poll(ctx context.Context, env *config.Envelope, list []cloud.Instance) {
	targets := slices.DeleteFunc(slices.Clone(list), func(in cloud.Instance) bool {
		svc, ok := env.Document.ServiceByName(in.Service)
		return !ok || svc.Kind != config.KindModel || in.State != cloud.StateReady && in.State != cloud.StateLeaving
	})
	slices.SortFunc(targets, func(a, b cloud.Instance) int { return strings.Compare(a.ID, b.ID) })
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	n := min(c.PollBudget, len(targets))
	for i := range n {
		in := targets[(c.nextPoll+i)%len(targets)]
		g.Go(func() error {
			if load, err := c.Engine.Load(ctx, in.Addr); err == nil {
				c.recordLoad(in.ID, load)
			}
			return nil
		})
	}
	_ = g.Wait()
	c.nextPoll += n
	c.Metrics.recordPolls(n)
}

// recordLoad stores a load report with the current time.
func (c *Controller) recordLoad(id string, load engine.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[id] = loadReport{load: load, at: c.Now()}
}

// pruneReports removes the reports of instances that are no longer listed.
func (c *Controller) pruneReports(list []cloud.Instance) {
	for id := range c.loads {
		if !slices.ContainsFunc(list, func(in cloud.Instance) bool { return in.ID == id }) {
			delete(c.loads, id)
		}
	}
}
