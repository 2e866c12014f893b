package schedule

import (
	"errors"
	"time"

	"github.com/medlarsill/medlarsill/pkg/fairshare"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

const (
	// overWaitShare is the share of the permitted wait for other prompts that requests of workspaces
	// over their fair share may use.
	overWaitShare = 0.5
	// overSlotShare is the share of an endpoint's slots below which it takes prompts of such workspaces.
	// For calls there is none: their loads are known too late to tell when the last slot is taken.
	overSlotShare = 0.9
)

// fairPart tells how a request is treated for the sake of fair shares. The zero value is a request
// that is treated as without them.
type fairPart struct {
	fairshare.Standing
	// work is the demand of the request; 0 without fair shares.
	work float64
}

// fairRequest returns what fair shares need to know of a request.
func (r Request) fairRequest() fairshare.Request {
	return fairshare.Request{
		Class: fairshare.Class{Service: r.Service, Calls: r.Prompt == 0}, Priority: r.Priority, Workspace: r.Workspace, Work: r.fair.work,
	}
}

// recordDemand records a new request for the fair shares of its service.
func (s *Scheduler) recordDemand(r Request, work time.Duration) fairPart {
	if s.FairShares == nil {
		return fairPart{}
	}
	r.fair = fairPart{work: r.fairWork(work)}
	if r.fair.work > 0 {
		r.fair.Standing = s.FairShares.Arrived(r.fairRequest())
	}
	return r.fair
}

// fairWork returns the demand of a request with the given engine time.
func (r Request) fairWork(work time.Duration) float64 {
	if r.Prompt == 0 {
		return 1
	}
	return work.Seconds()
}

// repeatedPart returns how a request is treated that was placed before: as without fair shares, since
// it may have run. If it is refused, the service lacks capacity.
func (s *Scheduler) repeatedPart(r Request) fairPart {
	if s.FairShares == nil {
		return fairPart{}
	}
	return fairPart{work: r.fairWork(r.engineTime(s.slotsPerEndpoint(r.Service), s.Speeds.Service(r.Service)))}
}

// fairPartOf records a new request and returns how a request is treated.
func (s *Scheduler) fairPartOf(r Request) fairPart {
	if r.Retry {
		return s.repeatedPart(r)
	}
	return s.recordWork(r)
}

// recordWait records that a request waits for a slot.
func (s *Scheduler) recordWait(r Request) {
	if r.fair.work > 0 {
		s.FairShares.Waited(r.fairRequest(), r.fair.Behind)
	}
}

// recordShortage records why a request was refused. Requests that the endpoints' announced limits
// don't permit don't count: refusing others doesn't help them.
func (s *Scheduler) recordShortage(r Request, err error) {
	if r.fair.work <= 0 || !errors.Is(err, ErrBusy) {
		return
	}
	var busy *BusyError
	errors.As(err, &busy)
	switch {
	case busy != nil && busy.OverShare:
		s.FairShares.Refused(r.fairRequest())
	case busy == nil || !busy.Limited:
		s.FairShares.Lacked(r.fairRequest())
	}
}

// Refused records that the endpoint had no capacity for the request, which isn't tried again.
func (p *Placement) Refused() { p.recordLack() }

func (p *Placement) recordLack() {
	if p.request.fair.work > 0 {
		p.scheduler.FairShares.Lacked(p.request.fairRequest())
	}
}

// recordLate records an answer that begins, or is given up, after the latency objective although it
// would have begun in time without other requests: it has waited at the endpoint. otherPrompts is
// the number of prompt tokens of other requests that are pending there.
func (p *Placement) recordLate(otherPrompts int) {
	beside := p.running > 0
	if p.request.Prompt > 0 {
		beside = p.prefill.Ahead > 0 || otherPrompts > 0
	}
	if p.request.fair.work <= 0 || !beside {
		return
	}
	due := p.request.Arrived.Add(p.request.Target)
	if p.startedAt.Add(p.alone).Before(due) && p.scheduler.Now().After(due) {
		p.recordLack()
	}
}

// leavesRoom reports whether a request leaves room for others that arrive after it. Requests of
// workspaces within their fair share need not. The part above the share needs an idle endpoint: with
// many instances the known loads are too old to tell how long a request would wait at another one.
func (s *Scheduler) leavesRoom(r Request, c candidate, est *speed.Estimate, now time.Time) bool {
	switch {
	case !r.fair.Over:
		return true
	case r.fair.Excess:
		return c.running == 0
	case r.Prompt == 0:
		return true
	}
	if n := s.Slots(c.endpoint); n > 0 && float64(c.running) >= overSlotShare*float64(n) {
		return false
	}
	return r.waitsBriefly(c, est, now)
}

// waitsBriefly reports whether the wait for other prompts is at most a share of the permitted one.
func (r Request) waitsBriefly(c candidate, est *speed.Estimate, now time.Time) bool {
	if c.prefill.Ahead == 0 {
		return true
	}
	wait := c.queueWait(est)
	permitted := r.Target - now.Sub(r.Arrived) - est.WithMargin(c.timeToStart-wait)
	if permitted <= 0 {
		permitted = time.Duration(lateWaitShare * float64(r.Target))
	}
	return est.WithMargin(wait) <= time.Duration(overWaitShare*float64(permitted))
}
