package rollout

import (
	"slices"
	"time"
)

const (
	// startPart and fullPart are the parts of the permitted share with which a new version begins,
	// and with which it goes on until the rest moves. The rest of the share is left for answers
	// that come while a bad version is being noticed.
	startPart = 0.2
	fullPart  = 0.8
	// raiseAnswers is the number of answers after which the share is raised, or after raiseAfter,
	// if there are raiseFew.
	raiseAnswers = 10
	raiseFew     = 2
	raiseAfter   = 1500 * time.Millisecond
)

const (
	// endReserve is the time before an order's deadline at which its end is written: the order may
	// have been read some time after it was acknowledged, and the write takes time.
	endReserve = 1200 * time.Millisecond
	// moveReserve is the time that a move takes beside the requests in progress at the old
	// endpoints: the directive has to reach all instances and their reports the holder (0.4 s
	// each with 64 instances).
	moveReserve = 1500 * time.Millisecond
	// minMove is the least time for which all requests go to the new version before Done is written:
	// a version that is bad on few requests, or under load, shows it then, while the old endpoints
	// still can take the requests back.
	minMove = 1200 * time.Millisecond
	// minAnswers is the number of ended answers of a new version after which all requests may move to it.
	minAnswers = 20
	// maxDoubt is the evidence, relative to that of a bad version, with which requests may move. One
	// failure is less, two shortly after one another are more.
	maxDoubt = 0.4
	// noticeTime is the time in which a bad version is noticed after the move, and all instances
	// know of it.
	noticeTime = 1500 * time.Millisecond
	// minObservePart is the least part of an order's time, up to minObserve, for which a version is
	// observed before all requests move to it, even if requests at the old endpoints take longer
	// than what is left then.
	minObservePart = 0.25
	minObserve     = 2 * time.Second
	// lateAfter is the age from which on an order isn't new.
	lateAfter = 2 * time.Second
	// missingAfter is the time without endpoints of the new version after which a move has failed.
	missingAfter = time.Second
	// minUnanswered is the number of requests to a new version of which less than a half were
	// answered that makes it bad.
	minUnanswered = 12
)

// Input is what the holder knows about one service.
type Input struct {
	// Now is the true time.
	Now time.Time
	// Order is the order in the store; nil if there is none.
	Order *Order
	// Bad is why the new version is bad; "" if it isn't.
	Bad string
	// Doubt is how near the evidence is to that at which the version is bad, from 0 to 1.
	Doubt float64
	// Versions holds the versions of the registered endpoints, and Candidates is the number of
	// usable endpoints of the ordered version.
	Versions   []string
	Candidates int
	// Sent is the number of requests to the new version of all instances, without those whose end
	// says nothing, and Answers the number of those whose answer has begun, or that have failed.
	Sent, Answers uint64
	// Ended is the number of requests to the new version that ended well or badly.
	Ended uint64
	// Requests is the number of requests to all versions since the order.
	Requests uint64
	// Drained is true if no instance has a request in progress at other versions, or can begin one
	// before the end of a write that begins now.
	Drained bool
	// Quiet is true if all instances know that the order's version gets nothing any more.
	Quiet bool
	// Drain is the time that requests at the other versions take.
	Drain time.Duration
}

// Decision is what the holder does next for a service.
type Decision struct {
	// Share is the share of requests for the new version.
	Share float64
	// Write is the status to write; nil for none.
	Write *Status
	// Changed is true if the record changed.
	Changed bool
	// Replaced is the version of an order that was replaced; "" if none was.
	Replaced string
}

// Machine decides about the orders of one service. It isn't safe for concurrent use.
type Machine struct {
	Config Config
	Record Record
	// uncertain is true while it isn't known whether a written Done took effect. Until it is, the
	// order isn't rolled back: an order never gets both states.
	uncertain bool
	// missingSince is since when the moving version has no endpoint; zero if it has some.
	missingSince time.Time
}

// Step takes one decision.
func (m *Machine) Step(in Input) Decision {
	before := m.Record.Stage
	raised := m.Record.Raised
	var d Decision
	switch {
	case in.Order == nil:
		m.withdraw()
	case in.Order.ID() != m.Record.order(), m.Record.Stage == Withdrawn:
		d.Replaced = m.begin(in)
		d.Changed = true
	}
	if in.Order != nil {
		m.adopt(*in.Order, in.Now)
		m.decide(in)
		d.Write = m.statusToWrite(*in.Order, in)
	}
	d.Share = m.share(in)
	d.Changed = d.Changed || m.Record.Stage != before || m.Record.Raised != raised
	return d
}

// withdraw ends an order that was taken back.
func (m *Machine) withdraw() {
	m.uncertain = false
	if m.Record.Service == "" || m.Record.Stage.terminal() {
		return
	}
	m.Record.Stage, m.Record.Reason = Withdrawn, "order withdrawn"
}

// begin begins an order. It returns the version of the order before that it replaces, if that was
// in progress.
func (m *Machine) begin(in Input) (replaced string) {
	last := m.Record
	o := *in.Order
	m.uncertain = false
	dropped := last.Dropped
	if last.Service != "" && last.Stage != Finished {
		dropped = append(slices.Clone(dropped), last.To)
		if !last.Stage.terminal() {
			replaced = last.To
		}
	}
	dropped = slices.DeleteFunc(slices.Compact(slices.Sorted(slices.Values(dropped))), func(v string) bool { return v == o.To })
	dropped = dropped[max(0, len(dropped)-maxVersions):]
	m.Record = Record{
		Service: o.Service, To: o.To, DurationMS: o.Duration.Milliseconds(), Created: o.Created, Version: o.Version,
		Stage: Observing, SeenMS: seenAt(o, in.Now), Dropped: dropped, Baseline: m.baseline(last, in.Versions, dropped, o.To),
	}
	if slices.Equal(m.Record.Baseline, []string{o.To}) {
		m.Record.Stage, m.Record.Reason = Finished, "version already in force"
	}
	return replaced
}

// seenAt returns from when on an order's time counts. Usually an order is seen at once. If it is much
// older, by the store's clock, the progress of the holder that saw it was lost.
func seenAt(o Order, now time.Time) int64 {
	age := now.Sub(time.UnixMilli(o.Created))
	if age > lateAfter && age < o.Duration {
		return o.Created
	}
	return now.UnixMilli()
}

// baseline returns the versions that are in force when an order comes: those registered, without
// the ordered one and those of earlier orders that were not finished. If nothing else is
// registered, the ordered one is in force.
func (m *Machine) baseline(last Record, registered, dropped []string, to string) []string {
	if last.Service != "" && !last.Stage.terminal() {
		// The versions that an earlier order found in force still are.
		return without(last.Baseline, to)
	}
	list := slices.DeleteFunc(slices.Clone(registered), func(v string) bool { return slices.Contains(dropped, v) })
	if others := without(list, to); len(others) > 0 {
		return others[:min(len(others), maxVersions)]
	}
	return list
}

// without returns a list without a version, sorted.
func without(list []string, version string) []string {
	out := slices.DeleteFunc(slices.Clone(list), func(v string) bool { return v == version })
	slices.Sort(out)
	return out
}

// adopt takes over the end of an order that its status tells of: another holder wrote it, or this
// one, and the answer was lost.
func (m *Machine) adopt(o Order, now time.Time) {
	if o.Status.To != o.To || m.Record.Stage.terminal() {
		return
	}
	switch o.Status.State {
	case Done:
		m.finish("done by its status")
	case RolledBack:
		m.revert("rolled back by its status", now)
	}
}

// decide moves the order to its next stage.
func (m *Machine) decide(in Input) {
	switch {
	case m.Record.Stage.terminal(), m.uncertain:
	case in.Bad != "":
		m.revert(in.Bad, in.Now)
	case m.Record.Stage == Observing:
		m.observe(in)
	case m.Record.Stage == Moving:
		m.checkMove(in)
	}
}

// observe decides while the new version gets a small share.
func (m *Machine) observe(in Input) {
	if m.Record.ObservedMS == 0 && in.Answers > 0 {
		m.Record.ObservedMS = in.Now.UnixMilli()
	}
	if !m.Record.Raised && in.Answers > 0 {
		since := in.Now.Sub(time.UnixMilli(m.Record.ObservedMS))
		m.Record.Raised = in.Answers >= raiseAnswers || in.Answers >= raiseFew && (since >= raiseAfter || m.isShort(in))
	}
	late := !in.Now.Before(m.deadline().Add(-endReserve))
	switch {
	case late && in.Candidates == 0:
		m.revert("no endpoints of the version", in.Now)
	case late && in.Sent >= minUnanswered && 2*in.Answers < in.Sent:
		m.revert("requests unanswered", in.Now)
	case late && in.Doubt > maxDoubt:
		m.revert("in doubt at the deadline", in.Now)
	case in.Candidates > 0 && m.mayMove(in):
		m.Record.Stage, m.Record.MovedMS = Moving, in.Now.UnixMilli()
	}
}

// mayMove reports whether all requests move to the new version now: as late as the deadline
// permits, and not before it was observed for a time.
func (m *Machine) mayMove(in Input) bool {
	if in.Now.Before(m.latestMove(in)) {
		return false
	}
	if in.Sent >= minUnanswered && 2*in.Answers < in.Sent || in.Doubt > maxDoubt || !m.isObserved(in) {
		return false
	}
	earliest := time.UnixMilli(m.Record.SeenMS).Add(m.observeTime())
	if m.Record.ObservedMS != 0 {
		earliest = time.UnixMilli(m.Record.ObservedMS).Add(m.observeTime())
	}
	return !in.Now.Before(earliest)
}

// latestMove returns when all requests have to move to be done by the deadline.
func (m *Machine) latestMove(in Input) time.Time {
	return m.deadline().Add(-endReserve - moveReserve - in.Drain)
}

// isShort reports whether there is hardly time to observe the new version, as requests at the old
// endpoints take long.
func (m *Machine) isShort(in Input) bool { return !in.Now.Before(m.latestMove(in).Add(-minObserve)) }

// isObserved reports whether enough answers of the new version are known to move all requests to it.
// Answers that have only begun suffice when there is no time to wait for their ends. So does a rest of
// the permitted requests that lasts until a bad version would be found after the move.
func (m *Machine) isObserved(in Input) bool {
	age := in.Now.Sub(time.UnixMilli(m.Record.SeenMS)).Seconds()
	if in.Ended >= minAnswers {
		return true
	}
	pressed := !in.Now.Before(m.latestMove(in).Add(endReserve))
	if in.Answers >= minAnswers && pressed || age <= 0 {
		return age > 0
	}
	left := m.Config.Share*float64(in.Requests) + m.Config.Slack - float64(in.Sent)
	return float64(in.Requests)/age*noticeTime.Seconds() <= left
}

// observeTime returns the least time for which the new version is observed.
func (m *Machine) observeTime() time.Duration {
	return min(time.Duration(minObservePart*float64(m.Record.DurationMS))*time.Millisecond, minObserve)
}

// checkMove ends a move whose new endpoints have gone.
func (m *Machine) checkMove(in Input) {
	if in.Candidates > 0 {
		m.missingSince = time.Time{}
		return
	}
	if m.missingSince.IsZero() {
		m.missingSince = in.Now
	}
	if in.Now.Sub(m.missingSince) >= missingAfter {
		m.revert("endpoints of the version have gone", in.Now)
	}
}

// deadline returns when the order has to be done.
func (m *Machine) deadline() time.Time { return time.UnixMilli(m.Record.SeenMS + m.Record.DurationMS) }

func (m *Machine) revert(reason string, now time.Time) {
	m.Record.Stage, m.Record.Reason, m.Record.RevertedMS = Reverted, reason, now.UnixMilli()
}

// quiet reports whether the new version gets nothing any more, or there is no time to wait until
// all instances say so. Directives that gave it something hold for Validity.
func (m *Machine) quiet(in Input) bool {
	silent := in.Now.Sub(time.UnixMilli(m.Record.RevertedMS)) >= Validity
	return in.Quiet || in.Sent == 0 || silent || !in.Now.Before(m.deadline().Add(-endReserve))
}

func (m *Machine) finish(reason string) {
	m.uncertain = false
	m.Record.Stage, m.Record.Reason = Finished, reason
}

// share returns the share of the requests for the new version.
func (m *Machine) share(in Input) float64 {
	switch {
	case m.Record.Stage == Moving:
		return 1
	case m.Record.Stage != Observing || in.Candidates == 0 || in.Order == nil:
		return 0
	case m.Record.Raised:
		return fullPart * m.Config.Share
	}
	return startPart * m.Config.Share
}

// statusToWrite returns the status that the order's object lacks. Done is written from Moving, and
// makes the record Finished once it is there.
func (m *Machine) statusToWrite(o Order, in Input) *Status {
	want := Status{State: Running, To: o.To}
	switch {
	case m.Record.Stage == Finished, m.Record.Stage == Moving && in.Drained && !m.uncertain && in.Now.Sub(time.UnixMilli(m.Record.MovedMS)) >= minMove:
		want.State = Done
	case m.Record.Stage == Reverted && m.quiet(in):
		want.State = RolledBack
	case m.uncertain:
		return nil // the object is read first
	}
	if o.Status == want || o.ended() {
		return nil
	}
	return &want
}

// Wrote records the result of a write of a status: nil, ErrConflict, ErrUnavailable or ErrUnknown.
// It returns true if the record changed.
func (m *Machine) Wrote(order ID, s Status, err error) bool {
	if order != m.Record.order() || s.State != Done || m.Record.Stage != Moving {
		return false
	}
	switch err {
	case nil:
		m.finish("moved")
		return true
	case ErrUnknown, ErrConflict:
		m.uncertain = true
	}
	return false
}

// Read records that the order's object was read after the last write, with the order that it holds.
func (m *Machine) Read(o Order) {
	if o.ID() == m.Record.order() {
		m.uncertain = false
	}
}

// Uncertain reports whether the order's object has to be read before the next decision.
func (m *Machine) Uncertain() bool { return m.uncertain }
