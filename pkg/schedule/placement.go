package schedule

import (
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/kvcache"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

// Placement is a slot of an endpoint, held until End. Its methods record the progress of
// the answer, from which the speed of the endpoints is estimated. It isn't safe for
// concurrent use.
type Placement struct {
	Endpoint *endpoints.Endpoint
	// Expected is the expected time until the answer begins.
	Expected time.Duration
	// ExpectedOfService is that time at an endpoint that is as fast as the service's others, and
	// ExpectedCold the same if nothing of the prompt is cached.
	ExpectedOfService, ExpectedCold time.Duration

	scheduler *Scheduler
	speeds    *speed.Service
	request   Request
	prefill   speed.PrefillWork
	// plan is how the shared prefix gets to the endpoint.
	plan kvcache.Plan
	// running is the number of requests that ran on the endpoint before this one.
	running int
	// promptTokens is the number of prompt tokens counted as pending on the endpoint
	// until the answer begins.
	promptTokens int
	startedAt    time.Time
	// alone is the expected time until the answer begins without other requests.
	alone time.Duration

	once     sync.Once
	answered bool
	// isError is true if the answer is an error.
	isError bool
	// events is the number of events received, lastEvent the time of the newest one, and
	// undisturbed reports whether no prompt was pending on the endpoint at that time.
	events      int
	lastEvent   time.Time
	undisturbed bool
	// earlierEvents is the number of events that the run has made at another endpoint.
	earlierEvents int
}

// start takes a slot of the chosen endpoint, and a request of its limit. It returns nil if
// the limit was used up meanwhile.
func (s *Scheduler) start(r Request, c candidate, speeds *speed.Service, now time.Time) *Placement {
	if !s.Limits.Take(c.endpoint.Key()) {
		return nil
	}
	est := speeds.Estimate()
	prompt := c.prefill.Own + int(est.CacheMissRate()*float64(c.prefill.Shared))
	s.Shares.Placed(c.endpoint)
	s.recordPlan(&c, est, now)
	c.endpoint.Begin(prompt, now)
	usual := times(c.timeToStart, 1/c.factor)
	cold := usual
	if c.prefill.Shared > 0 {
		cold = est.TimeToFirstToken(speed.PrefillWork{Own: c.prefill.Own + c.prefill.Shared, Ahead: c.prefill.Ahead})
	}
	return &Placement{
		Endpoint: c.endpoint, Expected: c.timeToStart, ExpectedOfService: usual, ExpectedCold: cold, scheduler: s, speeds: speeds, request: r,
		prefill: c.prefill, plan: c.plan, running: c.running, promptTokens: prompt, startedAt: now,
		alone: c.alone(est),
	}
}

// AnswerIsError records that the answer which begins is an error, whose time doesn't show how fast
// the endpoint is: one that fails at once would be preferred.
func (p *Placement) AnswerIsError() { p.isError = true }

// AnswerStarted records that the answer has begun.
func (p *Placement) AnswerStarted() {
	if p.answered {
		return
	}
	if p.request.Moved {
		p.answered = true // the time doesn't tell how fast the endpoint reads
		return
	}
	otherPrompts := p.Endpoint.TotalLoad().Prompt - p.promptTokens
	p.recordLate(otherPrompts)
	p.prefillDone()
	took := p.scheduler.Now().Sub(p.startedAt)
	took, valid := p.fetchEnded(took, true)
	if !valid {
		return
	}
	alone := p.prefill.Ahead == 0 && otherPrompts == 0
	if alone && !p.isError {
		p.observe(took)
	}
	took = p.normalised(took)
	if p.request.Prompt == 0 {
		p.speeds.RecordCall(p.running, took)
		return
	}
	p.speeds.RecordStart(p.prefill, took)
	if alone {
		p.speeds.RecordStartAlone(p.prefill, took)
	}
}

// prefillDone removes the prompt from the endpoint's load. Further calls do nothing.
func (p *Placement) prefillDone() {
	if !p.answered {
		p.answered = true
		if p.request.Moved {
			return
		}
		p.Endpoint.PrefillDone(p.promptTokens, p.scheduler.Now())
	}
}

// Abandoned records that the request ended before the answer began, because the caller
// disconnected or a timeout expired. With a fetch that doesn't tell the speed of endpoints.
func (p *Placement) Abandoned() {
	if !p.answered {
		p.recordLate(p.Endpoint.TotalLoad().Prompt - p.promptTokens)
	}
	if p.answered || p.request.Prompt == 0 || p.request.Moved || p.FetchFrom() != nil {
		return
	}
	after := p.scheduler.Now().Sub(p.startedAt)
	p.observeAbandoned(after)
	p.speeds.RecordAbandoned(p.prefill, p.normalised(after))
}

// EventsReceived records that a number of events of the answer were received.
func (p *Placement) EventsReceived(events int) {
	now := p.scheduler.Now()
	load := p.Endpoint.TotalLoad()
	undisturbed := load.Prompt == 0
	if tokens := events * p.request.EventTokens; p.events > 0 && tokens > 0 {
		perToken := now.Sub(p.lastEvent) / time.Duration(tokens)
		switch {
		case p.undisturbed && undisturbed:
			p.speeds.RecordDecode(load.Running, p.normalised(perToken))
		case !p.undisturbed && !undisturbed:
			p.speeds.RecordDisturbedDecode(perToken)
		}
	}
	p.events += events
	p.lastEvent, p.undisturbed = now, undisturbed
}

// Completed records that a stream has ended normally.
func (p *Placement) Completed() {
	if p.request.EventTokens > 0 {
		p.speeds.RecordOutput(p.request.Route, (p.earlierEvents+p.events)*p.request.EventTokens)
	}
}

// End releases the slot. Further calls do nothing.
func (p *Placement) End() {
	p.once.Do(func() {
		if !p.answered {
			p.fetchEnded(p.scheduler.Now().Sub(p.startedAt), false)
		}
		p.prefillDone()
		p.Endpoint.End()
		p.scheduler.requestEnded(p.Endpoint.Service)
	})
}
