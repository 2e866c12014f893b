package schedule

import (
	"math"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// EndpointSpeeds tells how fast each endpoint is compared with its service.
type EndpointSpeeds interface {
	// Factor returns the time that an endpoint takes now as a multiple of the time expected of
	// its service.
	Factor(k endpoints.Key) float64
	// LastingFactor is Factor without what the last second has shown.
	LastingFactor(k endpoints.Key) float64
	// Observe records the time until an answer began, and the time expected of the service.
	Observe(k endpoints.Key, expected, took time.Duration)
	// Normalise returns the time that something would have taken at a mean endpoint of the
	// service that took a time at an endpoint.
	Normalise(k endpoints.Key, took time.Duration) time.Duration
}

// evenSpeeds is the default of Scheduler.EndpointSpeeds: the endpoints of a service are all as
// fast.
type evenSpeeds struct{}

// Factor implements EndpointSpeeds.
func (evenSpeeds) Factor(endpoints.Key) float64 { return 1 }

// LastingFactor implements EndpointSpeeds.
func (evenSpeeds) LastingFactor(endpoints.Key) float64 { return 1 }

// Observe implements EndpointSpeeds.
func (evenSpeeds) Observe(endpoints.Key, time.Duration, time.Duration) {}

// Normalise implements EndpointSpeeds.
func (evenSpeeds) Normalise(_ endpoints.Key, took time.Duration) time.Duration { return took }

// factor returns the time that an endpoint takes for a request as a multiple of the time expected of
// its service. Plain calls differ among each other as much as a slow moment does, and all instances
// would leave the endpoint that had the longer ones; so what the last second has shown counts half
// for them.
func (s *Scheduler) factor(e *endpoints.Endpoint, r Request) float64 {
	factor := s.EndpointSpeeds.Factor(e.Key())
	if r.Prompt > 0 {
		return factor
	}
	return math.Sqrt(factor * s.EndpointSpeeds.LastingFactor(e.Key()))
}

// times multiplies a time by a factor.
func times(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// expectedOfService returns the time until the answer begins that the service's estimate
// expects if no other prompt is pending on the endpoint.
func (p *Placement) expectedOfService() time.Duration {
	est := p.speeds.Estimate()
	if p.request.Prompt == 0 {
		return est.CallTime(p.running)
	}
	return est.TimeToFirstTokenAlone(p.prefill)
}

// observe records the time that the answer took.
func (p *Placement) observe(took time.Duration) {
	p.scheduler.EndpointSpeeds.Observe(p.Endpoint.Key(), p.expectedOfService(), took)
}

// observeAbandoned records the time after which the request ended before its answer began. The
// time is used only if no other prompt was known to be pending and the answer was expected earlier.
func (p *Placement) observeAbandoned(after time.Duration) {
	if p.prefill.Ahead == 0 && times(p.expectedOfService(), p.scheduler.EndpointSpeeds.Factor(p.Endpoint.Key())) < after {
		p.observe(after)
	}
}

// normalised returns the time that something would have taken at a mean endpoint of the service.
func (p *Placement) normalised(took time.Duration) time.Duration {
	return p.scheduler.EndpointSpeeds.Normalise(p.Endpoint.Key(), took)
}
