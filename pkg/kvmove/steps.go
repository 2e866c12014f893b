package kvmove

// maxTries is the number of destinations that are tried for a stream.
const maxTries = 2

// Result is the source's answer to an order.
type Result int

// The results.
const (
	// Unanswered means that there was no answer that can be understood.
	Unanswered Result = iota
	// Granted means that the cache is at the destination.
	Granted
	// NotFound means that the run has ended or isn't known.
	NotFound
	// Conflict means that another order for the run is in progress.
	Conflict
	// Refused means that the cache isn't at the destination.
	Refused
)

// Reply is the source's answer to an order.
type Reply struct {
	Result Result
	// Handle names the cache for the request that goes on with it; "" if there is none.
	Handle string
	// Created is the number of events that the run has made.
	Created int
}

// Action is what to do next with a stream.
type Action int

// The actions.
const (
	// Relay means to relay what the source sends, and to order nothing more.
	Relay Action = iota
	// OrderCopy means to have the source copy the cache while the run continues.
	OrderCopy
	// OrderLast means to have the source stop the run and complete the copy.
	OrderLast
	// ChooseOther means that the run continues, and to begin again with another destination.
	ChooseOther
	// Drain means that the run has stopped, and to relay what still arrives until the stream closes.
	Drain
	// Wait means to wait for the reply to the last order.
	Wait
	// Attach means to send the request to the destination with the handle.
	Attach
	// AttachSource means to send it to the source with the handle.
	AttachSource
	// Resume means to proceed as after any broken stream.
	Resume
	// Done means that the stream goes on or has ended.
	Done
)

// Attachment is the result of the request that is sent with a handle.
type Attachment int

// The results of requests with a handle.
const (
	// Started means that the events continue the stream.
	Started Attachment = iota
	// NotRun means that the request certainly has not run.
	NotRun
	// Lost means that it may have run.
	Lost
)

// phase is how far a move has come.
type phase int

const (
	phaseIdle phase = iota
	// phaseCopying and phaseStopping mean that an order without and with the stop is in progress.
	phaseCopying
	phaseCopied
	phaseStopping
	// phaseStopped means that the run has stopped and there is a handle.
	phaseStopped
	// phaseAttaching means that the request with the handle was or is to be sent.
	phaseAttaching
	phaseOver
)

// Steps is the state of the move of one stream. The zero value is that of a stream for which nothing
// was ordered. It isn't safe for concurrent use.
type Steps struct {
	phase phase
	tries int
	// closed is true once the source's stream has closed without its end.
	closed bool
	handle string
	// atSource is true if the handle is for the source itself.
	atSource bool
	// used is true once the handle may have been used.
	used bool
	// copies holds the handles of copies that were made while the run continued.
	copies  []string
	outcome Outcome
}

// Begin begins the move to a destination, with a copy or with the stop of the run. It returns Relay if
// no move may begin.
func (s *Steps) Begin(copy bool) Action {
	if s.phase != phaseIdle || s.tries >= maxTries || s.closed {
		return s.giveUp(s.outcome)
	}
	s.tries++
	s.outcome = KeptAtSource
	if copy {
		s.phase = phaseCopying
		return OrderCopy
	}
	s.phase = phaseStopping
	return OrderLast
}

// Stop begins the last order after a copy. It returns false if the move has ended meanwhile.
func (s *Steps) Stop() bool {
	if s.phase == phaseCopied {
		s.phase = phaseStopping
	}
	return s.phase == phaseStopping
}

// Forgo ends a move before the order to stop the run is sent.
func (s *Steps) Forgo() {
	if s.phase <= phaseStopping {
		s.giveUp(s.outcome)
	}
}

// giveUp ends the move with an outcome.
func (s *Steps) giveUp(o Outcome) Action {
	s.phase, s.outcome = phaseOver, o
	if s.closed {
		return Resume
	}
	return Relay
}

// Replied records the reply to the order in progress.
func (s *Steps) Replied(r Reply) Action {
	switch s.phase {
	case phaseCopying:
		return s.copyReplied(r)
	case phaseStopping:
		return s.lastReplied(r)
	}
	// The move has ended meanwhile; what the reply names is freed.
	s.keep(r.Handle)
	return Relay
}

// keep records the handle of a copy.
func (s *Steps) keep(handle string) {
	if handle != "" {
		s.copies = append(s.copies, handle)
	}
}

func (s *Steps) copyReplied(r Reply) Action {
	s.keep(r.Handle)
	switch r.Result {
	case Granted:
		s.phase = phaseCopied
		return OrderLast
	case NotFound:
		return s.giveUp(EndedAtSource)
	}
	return s.chooseOther()
}

func (s *Steps) lastReplied(r Reply) Action {
	switch {
	case r.Handle != "" && (r.Result == Granted || r.Result == Refused):
		s.phase, s.handle, s.atSource = phaseStopped, r.Handle, r.Result == Refused
		if s.closed {
			return s.attach()
		}
		return Drain
	case r.Result == NotFound:
		return s.giveUp(EndedAtSource)
	case r.Result == Conflict, r.Result == Refused:
		if s.closed {
			return s.giveUp(BrokenOff)
		}
		return s.chooseOther()
	}
	return s.giveUp(NoReply)
}

// chooseOther begins again, unless there were enough tries.
func (s *Steps) chooseOther() Action {
	if s.tries >= maxTries {
		return s.giveUp(KeptAtSource)
	}
	s.phase = phaseIdle
	return ChooseOther
}

// attach returns where the request is sent with the handle.
func (s *Steps) attach() Action {
	s.phase = phaseAttaching
	if s.atSource {
		return AttachSource
	}
	return Attach
}

// Closed records that the source's stream has closed without its end.
func (s *Steps) Closed() Action {
	s.closed = true
	switch s.phase {
	case phaseStopping:
		return Wait
	case phaseStopped:
		return s.attach()
	case phaseOver:
		return Resume // the move has ended before, and how stays
	}
	if s.tries > 0 {
		return s.giveUp(BrokenOff)
	}
	return s.giveUp(None)
}

// Waited returns what to do after the reply to the last order has come or counts as missing.
func (s *Steps) Waited() Action {
	switch s.phase {
	case phaseAttaching:
		if s.atSource {
			return AttachSource
		}
		return Attach
	case phaseOver:
		return Resume
	}
	return s.giveUp(NoReply)
}

// Completed records that the stream has ended, or that nobody waits for it.
func (s *Steps) Completed(o Outcome) {
	if s.phase == phaseOver {
		return
	}
	if s.tries == 0 {
		o = None
	}
	s.phase, s.outcome = phaseOver, o
}

// SourceClosed reports whether the source's stream has closed without its end.
func (s *Steps) SourceClosed() bool { return s.closed }

// AtSource reports whether the handle is for the source itself.
func (s *Steps) AtSource() bool { return s.atSource }

// Stopping reports whether the run was ordered to stop, and may have done so.
func (s *Steps) Stopping() bool {
	return s.phase >= phaseStopping && s.phase < phaseOver || s.outcome == NoReply
}

// Stopped reports whether the run has stopped and goes on with the handle once the stream has closed.
func (s *Steps) Stopped() bool { return s.phase == phaseStopped || s.phase == phaseAttaching }

// Attached records the result of the request that was sent with the handle.
func (s *Steps) Attached(a Attachment) Action {
	if s.phase != phaseAttaching {
		return Resume
	}
	switch {
	case a == Started && s.atSource:
		s.used, s.phase, s.outcome = true, phaseOver, Returned
		return Done
	case a == Started:
		s.used, s.phase, s.outcome = true, phaseOver, Moved
		return Done
	case a == NotRun && !s.atSource:
		s.atSource = true
		return AttachSource
	}
	s.used = a == Lost
	return s.giveUp(BrokenOff)
}

// Handle returns the handle for the request that goes on with the run.
func (s *Steps) Handle() string { return s.handle }

// Outcome returns how the move has ended so far.
func (s *Steps) Outcome() Outcome { return s.outcome }

// Over reports whether no order is in progress and none follows.
func (s *Steps) Over() bool { return s.phase == phaseOver }

// Unused returns the handles of copies that no request uses, which the source may free. It returns none
// if a request uses one: engines may keep the parts of a run together.
func (s *Steps) Unused() []string {
	if s.used || s.phase != phaseOver {
		return nil
	}
	unused := s.copies
	if s.handle != "" {
		unused = append(unused, s.handle)
	}
	s.copies, s.handle = nil, ""
	return unused
}
