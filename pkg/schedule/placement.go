package schedule

import (
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

// Placement is a place at an endpoint, held until End. What is seen of the answer
// is told to it, and taken into what is known of the endpoints' speed. It isn't
// safe for concurrent use.
type Placement struct {
	Endpoint *endpoints.Endpoint
	// Expected is the expected time until the answer begins.
	Expected time.Duration

	scheduler *Scheduler
	speeds    *speed.Service
	request   Request
	prefill   speed.PrefillWork
	// beside is the number of requests that ran at the endpoint before.
	running int
	// prompt is the number of prompt tokens that are counted at the endpoint until
	// the answer begins.
	promptTokens int
	startedAt    time.Time

	once     sync.Once
	answered bool
	// events is the number of events seen, newest the time of the last one, and
	// calm tells that no prompt was read beside at that time.
	events      int
	lastEvent   time.Time
	undisturbed bool
}

// begin takes the place that was chosen.
func (s *Scheduler) start(r Request, c candidate, speeds *speed.Service, now time.Time) *Placement {
	prompt := c.prefill.Own + int(speeds.Estimate().CacheMissRate()*float64(c.prefill.Shared))
	c.endpoint.Begin(prompt, now)
	return &Placement{
		Endpoint: c.endpoint, Expected: c.start, scheduler: s, speeds: speeds, request: r,
		prefill: c.prefill, running: c.running, promptTokens: prompt, startedAt: now,
	}
}

// Answered records that the answer has begun.
func (p *Placement) AnswerStarted() {
	if p.answered {
		return
	}
	otherPrompts := p.Endpoint.TotalLoad().Prompt - p.promptTokens
	p.prefillDone()
	took := p.scheduler.Now().Sub(p.startedAt)
	if p.request.Prompt == 0 {
		p.speeds.RecordCall(p.running, took)
		return
	}
	p.speeds.RecordStart(p.prefill, took)
	if p.prefill.Ahead == 0 && otherPrompts == 0 {
		p.speeds.RecordStartAlone(p.prefill, took)
	}
}

// read takes the prompt off the endpoint's load, once.
func (p *Placement) prefillDone() {
	if !p.answered {
		p.answered = true
		p.Endpoint.PrefillDone(p.promptTokens, p.scheduler.Now())
	}
}

// GaveUp records that the caller left, or the time was over, before the answer began.
func (p *Placement) Abandoned() {
	if !p.answered && p.request.Prompt > 0 {
		p.speeds.RecordAbandoned(p.prefill, p.scheduler.Now().Sub(p.startedAt))
	}
}

// Wrote records that events of the answer have come.
func (p *Placement) EventsReceived(events int) {
	now := p.scheduler.Now()
	load := p.Endpoint.TotalLoad()
	undisturbed := load.Prompt == 0
	if tokens := events * p.request.EventTokens; p.events > 0 && tokens > 0 {
		perToken := now.Sub(p.lastEvent) / time.Duration(tokens)
		switch {
		case p.undisturbed && undisturbed:
			p.speeds.RecordDecode(load.Running, perToken)
		case !p.undisturbed && !undisturbed:
			p.speeds.RecordDisturbedDecode(perToken)
		}
	}
	p.events += events
	p.lastEvent, p.undisturbed = now, undisturbed
}

// Whole records that a stream has come to its proper end.
func (p *Placement) Completed() {
	if p.request.EventTokens > 0 {
		p.speeds.RecordOutput(p.request.Route, p.events*p.request.EventTokens)
	}
}

// End gives the place back.
func (p *Placement) End() {
	p.once.Do(func() {
		p.prefillDone()
		p.Endpoint.End()
		p.scheduler.requestEnded(p.Endpoint.Service)
	})
}
