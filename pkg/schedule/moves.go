package schedule

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/kvcache"
)

// Outlook is what is expected of the rest of an answer.
type Outlook struct {
	// Usual is the number of tokens of an answer on the route.
	Usual int
	// TokenTime is the time for a token at the placement's endpoint, and ReadTime that in which
	// another endpoint reads one.
	TokenTime, ReadTime time.Duration
}

// Outlook returns what is expected of the rest of the answer. It may be called while other methods are.
func (p *Placement) Outlook() Outlook {
	est := p.speeds.Estimate()
	factor := p.scheduler.EndpointSpeeds.Factor(p.Endpoint.Key())
	return Outlook{
		Usual: int(p.request.expectedOutput(p.speeds)), ReadTime: est.PerPromptToken(),
		TokenTime: times(est.StepTime(p.Endpoint.TotalLoad().Running), factor),
	}
}

// Events returns the number of events that the run has made as far as is known.
func (p *Placement) Events() int { return p.earlierEvents + p.events }

// ContinuesAfter records that the run has made a number of events at another endpoint.
func (p *Placement) ContinuesAfter(events int) { p.earlierEvents = events }

// PlaceAt places a request on an endpoint on which it has run before, whatever its load. It returns nil
// if the endpoint's limits permit none.
func (s *Scheduler) PlaceAt(e *endpoints.Endpoint, r Request) *Placement {
	if !s.Limits.Available(e.Key()) {
		return nil
	}
	speeds := s.Speeds.Service(r.Service)
	now := s.Now()
	c := evaluate(e, r, false, &kvcache.Holders{}, s.factor(e, r), speeds.Estimate(), now)
	return s.start(r, c, speeds, now)
}
