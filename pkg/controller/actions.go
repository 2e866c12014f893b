package controller

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/medlarsill/medlarsill/pkg/capacity"
	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
)

// result is the outcome of an action.
type result struct {
	action   capacity.Action
	instance cloud.Instance
	err      error
}

// executeActions executes the actions of a stored plan concurrently and applies
// their results to the state. If the outcome of an action is unknown, the state stays
// as it is and the next plan repeats the action.
func (c *Controller) executeActions(ctx context.Context, env *config.Envelope, actions []capacity.Action) {
	results := make([]result, len(actions))
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for i, a := range actions {
		g.Go(func() error {
			results[i] = c.execute(ctx, env, a)
			return nil
		})
	}
	_ = g.Wait()
	for _, r := range results {
		c.applyResult(r)
	}
}

// execute executes one action unless the lease has been lost since the plan.
func (c *Controller) execute(ctx context.Context, env *config.Envelope, a capacity.Action) result {
	r := result{action: a}
	if !c.stillHolder() {
		r.err = ErrNotHolder
		return r
	}
	switch a.Kind {
	case capacity.ActionStart:
		r.instance, r.err = c.Cloud.Start(ctx, a.Start)
	case capacity.ActionStop:
		r.err = c.Cloud.Stop(ctx, a.Instance)
	case capacity.ActionOrder:
		r.err = c.order(ctx, env, a)
	}
	return r
}

// order sends an order to an endpoint. Endpoints that don't check fencing tokens
// get no orders until those of a former holder have arrived or failed. Later plans
// repeat orders that had no effect.
func (c *Controller) order(ctx context.Context, env *config.Envelope, a capacity.Action) error {
	svc, ok := env.Document.ServiceByName(a.Service)
	if !ok {
		return eris.Wrap(ErrUnknownService, a.Service)
	}
	if !svc.ChecksFencing && c.Now().Before(c.ordersFrom) {
		return ErrNotHolder
	}
	a.Order.Fence = c.fence
	return c.Engine.Order(ctx, a.Addr, a.Order)
}

// applyResult applies the result of an action to the state.
func (c *Controller) applyResult(r result) {
	c.Metrics.recordAction(r.action.Kind, r.err)
	if errors.Is(r.err, ErrNotHolder) {
		return
	}
	log := c.Log.With("service", r.action.Service)
	switch {
	case r.action.Kind == capacity.ActionStart && errors.Is(r.err, cloud.ErrRefused):
		c.state = capacity.RecordRefusal(c.state, r.action.Start, c.Now(), c.Tuning, c.Random())
		log.Info("instance start refused", "data_centre", r.action.Start.DataCentre, "reclaimable", r.action.Start.Reclaimable)
	case r.action.Kind == capacity.ActionStart && r.err == nil:
		c.state = capacity.RecordStart(c.state, r.action.Start, r.instance, c.Now())
		log.Info("instance started", "instance", r.instance.ID, "data_centre", r.instance.DataCentre, "reclaimable", r.instance.Reclaimable)
	case r.action.Kind == capacity.ActionStop && r.err == nil:
		log.Info("instance stopped", "instance", r.action.Instance)
	case errors.Is(r.err, engine.ErrFenced):
		c.invalidateState()
	}
}
