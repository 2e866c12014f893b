// Package controller runs the capacity plan under a fenced lease: it observes
// the platform, stores what the plan decides, and only then acts.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/capacity"
	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// Errors of this layer.
var (
	// ErrNotHolder means that another process holds the duty, or may hold it.
	ErrNotHolder = eris.New("controller: not the holder of the duty")
	// ErrNotStored means that a decision could not be stored, so it was not acted on.
	ErrNotStored = eris.New("controller: decision not stored")
	// ErrBlind means that the platform did not show its instances.
	ErrListUnavailable = eris.New("controller: instance list unavailable")
)

// Defaults of the loop.
const (
	// DefaultInterval is the time between two steps.
	DefaultInterval = time.Second
	// DefaultWaitOut is the longest time that an order of a former holder may
	// still be on its way: the time limit of one call.
	DefaultFormerOrderTimeout = 2 * time.Second
	// DefaultPollBudget is the number of load reports read per step.
	DefaultPollBudget = 64
	// maxLoadAge is the age from which on a load report counts as unknown.
	maxLoadAge = 10 * time.Second
	// callsAtOnce bounds the calls to endpoints and to the cloud at one time.
	maxConcurrentCalls = 16
)

// Guard tells whether this process holds the duty.
type Lease interface {
	// Held returns the fencing number of the lease, and false unless this
	// process surely holds it. The number grows with each holder.
	Held() (fence uint64, ok bool)
}

// Configuration gives the configuration in force.
type Configuration interface {
	Current() *config.Envelope
}

// Endpoints reads load reports and gives orders.
type Endpoints interface {
	Load(ctx context.Context, addr string) (engine.Load, error)
	Order(ctx context.Context, addr string, o engine.Order) error
}

// Options holds what a controller is made of. Zero intervals and budgets mean the defaults.
type Options struct {
	Store  objectstore.Store
	Cloud  cloud.Cloud
	Engine Endpoints
	Config Configuration
	Lease  Lease
	// Leaving returns the instances known to be leaving from other sources
	// than the list, with their stop times; nil means none.
	Leaving            func() map[string]time.Time
	Tuning             capacity.Tuning
	Log                *slog.Logger
	Metrics            *Metrics
	Now                func() time.Time
	Random             func() float64
	Interval           time.Duration
	FormerOrderTimeout time.Duration
	PollBudget         int
}

// Controller runs the plan. Step is not safe for concurrent use.
type Controller struct {
	Options
	// fence is that of the lease under which the state was taken over; 0 if it was not.
	fence   uint64
	version uint64
	state   capacity.State
	stored  capacity.State
	// ordersFrom is when orders to endpoints that ignore fencing numbers may begin.
	ordersFrom time.Time

	mu       sync.Mutex
	loads    map[string]loadReport
	nextPoll int
}

// report is a load report with the time at which it was read.
type loadReport struct {
	load engine.Load
	at   time.Time
}

// New returns a controller that holds nothing yet.
func New(o Options) *Controller {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.FormerOrderTimeout == 0 {
		o.FormerOrderTimeout = DefaultFormerOrderTimeout
	}
	if o.PollBudget == 0 {
		o.PollBudget = DefaultPollBudget
	}
	return &Controller{Options: o, loads: make(map[string]loadReport)}
}

// Run steps until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	t := time.NewTicker(c.Interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.Metrics.recordStep(c.Step(ctx))
		case <-ctx.Done():
			return nil
		}
	}
}

// Step observes, plans, stores and acts once.
func (c *Controller) Step(ctx context.Context) error {
	env := c.Config.Current()
	if env == nil {
		return ErrListUnavailable
	}
	if err := c.ensureState(ctx); err != nil {
		return err
	}
	snapshot, err := c.observe(ctx, env)
	if err != nil {
		return err
	}
	state, actions := capacity.Plan(snapshot, c.state, c.Tuning, c.Random)
	if err := c.commit(ctx, state); err != nil {
		return err
	}
	c.executeActions(ctx, env, actions)
	return nil
}

// hold takes the state over if the lease is new here.
func (c *Controller) ensureState(ctx context.Context) error {
	fence, ok := c.Lease.Held()
	if !ok {
		c.invalidateState()
		return ErrNotHolder
	}
	if c.fence == fence {
		return nil
	}
	c.invalidateState()
	return c.takeOver(ctx, fence)
}

// drop forgets the state; it has to be read again before the next plan.
func (c *Controller) invalidateState() { c.fence = 0 }

// takeOver reads the state and stores it again under its own fencing number,
// so that a decision of the former holder that is not stored yet never will be.
func (c *Controller) takeOver(ctx context.Context, fence uint64) error {
	state, version, err := readState(ctx, c.Store)
	if err != nil {
		return err
	}
	if state.Fence > fence {
		return ErrNotHolder
	}
	now := c.Now()
	state.Restore(now)
	c.state, c.version = state, version
	c.fence = fence
	if err := c.store(ctx, state); err != nil {
		return err
	}
	c.ordersFrom = c.Now().Add(c.FormerOrderTimeout)
	c.Log.Info("took over capacity", "fence", fence)
	return nil
}

// commit stores a plan's decisions, unless it has none.
func (c *Controller) commit(ctx context.Context, state capacity.State) error {
	if capacity.SameDecisions(&c.stored, &state) {
		c.state = state
		return nil
	}
	return c.store(ctx, state)
}

// store writes a state under the holder's fencing number. If it fails, the
// state is read again before the next plan.
func (c *Controller) store(ctx context.Context, state capacity.State) error {
	version, err := writeState(ctx, c.Store, state.ForStorage(c.Now()), c.fence, c.version)
	if err != nil {
		c.invalidateState()
		return err
	}
	c.version = version
	c.state = state
	c.stored = state.Clone()
	return nil
}

// stillHolder tells whether the lease under which the plan was made is held.
func (c *Controller) stillHolder() bool {
	fence, ok := c.Lease.Held()
	return ok && fence == c.fence
}

// outcome names the result of a step for the metrics.
func stepOutcome(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, ErrNotHolder):
		return "not_holder"
	case errors.Is(err, ErrNotStored):
		return "not_stored"
	}
	return "blind"
}
