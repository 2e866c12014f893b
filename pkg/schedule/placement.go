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
	learnt    *speed.Service
	demand    Request
	reading   speed.Reading
	// beside is the number of requests that ran at the endpoint before.
	beside int
	// prompt is the number of prompt tokens that are counted at the endpoint until
	// the answer begins.
	prompt int
	begun  time.Time

	once     sync.Once
	answered bool
	// events is the number of events seen, newest the time of the last one, and
	// calm tells that no prompt was read beside at that time.
	events int
	newest time.Time
	calm   bool
}

// begin takes the place that was chosen.
func (s *Scheduler) begin(d Request, c candidate, learnt *speed.Service, now time.Time) *Placement {
	prompt := c.reading.Own + int(learnt.Estimate().Missing()*float64(c.reading.Shared))
	c.endpoint.Begin(prompt, now)
	return &Placement{
		Endpoint: c.endpoint, Expected: c.start, scheduler: s, learnt: learnt, demand: d,
		reading: c.reading, beside: c.beside, prompt: prompt, begun: now,
	}
}

// Answered records that the answer has begun.
func (p *Placement) AnswerStarted() {
	if p.answered {
		return
	}
	others := p.Endpoint.TotalLoad().Prompt - p.prompt
	p.read()
	took := p.scheduler.Now().Sub(p.begun)
	if p.demand.Prompt == 0 {
		p.learnt.Called(p.beside, took)
		return
	}
	p.learnt.Began(p.reading, took)
	if p.reading.Ahead == 0 && others == 0 {
		p.learnt.BeganAlone(p.reading, took)
	}
}

// read takes the prompt off the endpoint's load, once.
func (p *Placement) read() {
	if !p.answered {
		p.answered = true
		p.Endpoint.Answered(p.prompt, p.scheduler.Now())
	}
}

// GaveUp records that the caller left, or the time was over, before the answer began.
func (p *Placement) Abandoned() {
	if !p.answered && p.demand.Prompt > 0 {
		p.learnt.GivenUp(p.reading, p.scheduler.Now().Sub(p.begun))
	}
}

// Wrote records that events of the answer have come.
func (p *Placement) EventsReceived(events int) {
	now := p.scheduler.Now()
	load := p.Endpoint.TotalLoad()
	calm := load.Prompt == 0
	if tokens := events * p.demand.EventTokens; p.events > 0 && tokens > 0 {
		perToken := now.Sub(p.newest) / time.Duration(tokens)
		switch {
		case p.calm && calm:
			p.learnt.Wrote(load.Running, perToken)
		case !p.calm && !calm:
			p.learnt.Disturbed(perToken)
		}
	}
	p.events += events
	p.newest, p.calm = now, calm
}

// Whole records that a stream has come to its proper end.
func (p *Placement) Completed() {
	if p.demand.EventTokens > 0 {
		p.learnt.Finished(p.demand.Route, p.events*p.demand.EventTokens)
	}
}

// End gives the place back.
func (p *Placement) End() {
	p.once.Do(func() {
		p.read()
		p.Endpoint.End()
		p.scheduler.ended(p.Endpoint.Service)
	})
}
