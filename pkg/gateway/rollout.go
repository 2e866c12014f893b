package gateway

import (
	"context"
	"errors"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/rollout"
	"github.com/medlarsill/medlarsill/pkg/schedule"
)

// Rollouts chooses which versions of a service a request may use while the version changes.
type Rollouts interface {
	// Choose chooses for a request; random is a number in [0, 1).
	Choose(service, route string, random float64) rollout.Choice
	// ChooseBound chooses for a request that goes on at the version that began it.
	ChooseBound(service, route string) rollout.Choice
}

// place waits for a slot on an endpoint of a version that the request may use.
func (c *call) place(ctx context.Context) (*schedule.Placement, error) {
	c.chooseVersion()
	if c.choice.Candidate() {
		if p := c.gateway.Placer.TryPlace(c.placementRequest()); p != nil {
			return p, nil
		}
		c.giveUpCandidate()
	}
	return c.gateway.Placer.Place(ctx, c.placementRequest())
}

// chooseVersion chooses which versions the next attempt may use.
func (c *call) chooseVersion() {
	g := c.gateway
	switch {
	case g.Rollouts == nil:
	case c.build != 0:
		c.choice = g.Rollouts.ChooseBound(c.service, c.route.Name)
	default:
		c.choice = g.Rollouts.Choose(c.service, c.route.Name, g.Random())
	}
}

// giveUpCandidate returns the request's part of the small share of a new version.
func (c *call) giveUpCandidate() {
	c.choice.Release()
	c.choice = c.choice.Default()
}

// permits returns which endpoints the next attempt may use; nil stands for all.
func (c *call) permits() func() func(e *endpoints.Endpoint) bool {
	if !c.choice.Limits() {
		return nil
	}
	return c.choice.Permitted
}

// beginRun records that the request is sent. It returns false if it may not be sent to the endpoint
// any more, as its version has been stopped meanwhile.
func (a *attempt) beginRun() bool {
	if a.gateway.Rollouts == nil {
		return true
	}
	a.run = a.choice.Began(a.placement.Endpoint, a.firstSend())
	return a.run != nil
}

// endRun records how the attempt has ended.
func (a *attempt) endRun() {
	switch {
	case a.gateway.Rollouts == nil:
	case a.run == nil:
		a.choice.Release()
	default:
		a.run.Ended(a.runOutcome)
	}
}

// answering records that the endpoint's answer begins. That of a run that was handed over waits for the next
// event and not for the prompt.
func (a *attempt) answering() {
	a.placement.AnswerStarted()
	if a.run != nil && !a.ownError {
		a.run.Answering(rollout.Expectation{Usual: a.placement.ExpectedOfService, Cold: a.placement.ExpectedCold, Shared: a.sharedPart(), Untimed: a.from != nil})
	}
}

// sharedPart returns the id of the last part of the prompt that other requests may share, or "".
func (c *call) sharedPart() string {
	shared := c.sharedParts()
	if len(shared) == 0 {
		return ""
	}
	return shared[len(shared)-1]
}

// outcomeOf returns what an attempt's end says about its endpoint.
func (a *attempt) outcomeOf(ctx context.Context, last outcome) rollout.Outcome {
	left := a.yielded || errors.Is(ctx.Err(), context.Canceled)
	switch {
	case last.state == stateUnsent, last.state == stateRefused, a.movedOn:
		return rollout.Unknown
	case a.successor != nil, a.ownError:
		return rollout.Bad
	case last.state == stateUnknown && left:
		return rollout.Unknown
	case last.state == stateUnknown:
		return rollout.Bad
	}
	return rollout.Good
}
