// Package controller runs the capacity plan under a lease with fencing tokens: it
// observes the platform, stores the plan's decisions, and only then executes them.
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

// Errors returned by Step.
var (
	// ErrNotHolder means that this process is not certain to hold the duty.
	ErrNotHolder = eris.New("controller: not the holder of the duty")
	// ErrUnknownService means that an action names a service that the configuration lacks.
	ErrUnknownService = eris.New("controller: unknown service")
	// ErrNotStored means that the state could not be read or written, so no action
	// was taken.
	ErrNotStored = eris.New("controller: decision not stored")
	// ErrListUnavailable means that the instance list or the configuration is unavailable.
	ErrListUnavailable = eris.New("controller: instance list unavailable")
)

// Intervals and limits of the controller.
const (
	// DefaultInterval is the time between two steps.
	DefaultInterval = time.Second
	// DefaultFormerOrderTimeout is how long after a takeover an order of the former
	// holder may still arrive. It is the timeout of one call.
	DefaultFormerOrderTimeout = 2 * time.Second
	// DefaultPollBudget is the maximum number of load reports read per step.
	DefaultPollBudget = 64
	// maxLoadAge is the age after which a load report is ignored.
	maxLoadAge = 10 * time.Second
	// maxConcurrentCalls bounds the concurrent calls to endpoints and to the cloud.
	maxConcurrentCalls = 16
)

// Lease reports whether this process holds the duty.
type Lease interface {
	// Held returns the fencing token of the lease, and false unless this process
	// certainly holds it. The token grows with each holder.
	Held() (fence uint64, ok bool)
}

// Configuration returns the current configuration, or nil if there is none yet.
type Configuration interface {
	Current() *config.Envelope
}

// Endpoints reads load reports of endpoints and sends orders to them.
type Endpoints interface {
	Load(ctx context.Context, addr string) (engine.Load, error)
	Order(ctx context.Context, addr string, o engine.Order) error
}

// Options holds the dependencies and limits of a controller. Zero values of Interval,
// FormerOrderTimeout and PollBudget mean the defaults.
type Options struct {
	Store  objectstore.Store
	Cloud  cloud.Cloud
	Engine Endpoints
	Config Configuration
	Lease  Lease
	// Leaving returns the instances known to be leaving from sources other than
	// the instance list, with their stop times. It may be nil.
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

// Controller plans capacity and executes the plans. Step is not safe for concurrent use.
type Controller struct {
	Options
	// fence is the fencing token under which the state was loaded; 0 if it is not loaded.
	fence uint64
	// version is the version of the stored object.
	version uint64
	state   capacity.State
	// stored is the state last written.
	stored capacity.State
	// ordersFrom is when orders to endpoints that don't check fencing tokens may start.
	ordersFrom time.Time

	// mu protects loads while load reports are read concurrently.
	mu sync.Mutex
	// loads holds the last load report by instance.
	loads map[string]loadReport
	// nextPoll is the position in the sorted endpoints where the next step continues.
	nextPoll int
}

// loadReport is a load report with the time at which it was read.
type loadReport struct {
	load engine.Load
	at   time.Time
}

// New returns a controller that has not loaded any state.
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

// Run calls Step once per interval until the context is cancelled.
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

// Step observes the platform, makes and stores one plan, and executes its actions.
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

// ensureState loads the state if this process has just acquired the lease.
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

// invalidateState makes the next step load the state again.
func (c *Controller) invalidateState() { c.fence = 0 }

// takeOver loads the state and stores it again under the new fencing token. The new
// version prevents the former holder from storing another decision.
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
	c.Log.Info("capacity duty taken over", "fence", fence)
	return nil
}

// commit stores the state of a plan if its decisions differ from the stored ones.
func (c *Controller) commit(ctx context.Context, state capacity.State) error {
	if capacity.SameDecisions(&c.stored, &state) {
		c.state = state
		return nil
	}
	return c.store(ctx, state)
}

// store writes a state under the current fencing token. If the write fails, the next
// step loads the state again.
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

// stillHolder reports whether the lease under which the plan was made is still held.
func (c *Controller) stillHolder() bool {
	fence, ok := c.Lease.Held()
	return ok && fence == c.fence
}

// stepOutcome returns the outcome label of a step's result.
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
