package poison

import "time"

const (
	// suspicionTime is the time after the last crash under a request in which it is suspected.
	suspicionTime = time.Minute
	// ownerTime is the time after that crash in which only the instance that sends the probes tries
	// the request: endpoints take some seconds until they are back. The others follow, one after
	// the other, trialSpacing apart: in that time all know how a trial has ended.
	ownerTime    = graceTime + 1500*time.Millisecond
	trialSpacing = 400 * time.Millisecond
	// trialInterval is the time between two trials of one instance, and otherTrialInterval that of
	// an instance that doesn't send the probes.
	trialInterval      = time.Second
	otherTrialInterval = 10 * time.Second
)

// suspicion returns the time of the last crash under a request that is suspected: it has crashed
// several endpoints lately, and none has answered it since. It is zero if there is no suspicion.
func (l *crashLog) suspicion(r Request, now time.Time) time.Time {
	id := r.id()
	if !l.suspected(id) {
		return time.Time{}
	}
	count := 0
	var last time.Time
	for _, c := range l.crashes {
		if c.unconfirmed || !c.has(id) {
			continue
		}
		last = c.at
		if c.cause == 0 {
			count++
		}
	}
	if count < requestCrashes || now.Sub(last) > suspicionTime {
		return time.Time{}
	}
	return last
}

// checkSuspected decides on a request of which no trait is in quarantine. While it is suspected, the
// instances try it one after the other, so that tries that waited for endpoints, or came back at the
// same moment, don't end as many of them. The caller must hold mu.
func (g *Guard) checkSuspected(r Request, now time.Time) Verdict {
	last := g.log.suspicion(r, now)
	if last.IsZero() {
		return Verdict{}
	}
	id := r.id()
	at, interval := g.nextTrial[id], trialInterval
	if !g.MayProbe(id) {
		turn := last.Add(ownerTime + time.Duration(g.Position(id))*trialSpacing)
		at, interval = latest(at, turn), otherTrialInterval
	}
	if now.Before(at) {
		g.metrics.refused.Inc()
		return Verdict{Refused: true, Whole: true, Suspected: true, RetryAfter: at.Sub(now)}
	}
	g.nextTrial[id] = now.Add(interval)
	g.Log.Info("trying request that probably crashes endpoints", "kind", id.kind().String(), "trait", id.hash(), "since_crash_ms", now.Sub(last).Milliseconds())
	return Verdict{Probe: true}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// blockedSuspected decides on a further send of such a request, or on one that has waited.
func (g *Guard) blockedSuspected(r Request, now time.Time) Verdict {
	last := g.log.suspicion(r, now)
	if last.IsZero() {
		return Verdict{}
	}
	return Verdict{Refused: true, Whole: true, Suspected: true, RetryAfter: max(trialInterval, last.Add(ownerTime).Sub(now))}
}

// crashesUnder returns the crashes under a request of which no cause is known: those that are
// confirmed, and those that aren't.
func (l *crashLog) crashesUnder(r Request) (confirmed, unconfirmed []*crash) {
	id := r.id()
	if !l.suspected(id) {
		return nil, nil
	}
	for _, c := range l.crashes {
		switch {
		case c.cause != 0 || !c.has(id):
		case c.unconfirmed:
			unconfirmed = append(unconfirmed, c)
		default:
			confirmed = append(confirmed, c)
		}
	}
	return confirmed, unconfirmed
}

// Unsettled reports whether a request is suspected if ends of endpoints are confirmed that aren't
// yet. That is decided soon after the first endpoint accepts connections.
func (g *Guard) Unsettled(r Request) bool {
	if !g.active.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	confirmed, unconfirmed := g.log.crashesUnder(r)
	return len(unconfirmed) > 0 && len(confirmed) < requestCrashes && len(confirmed)+len(unconfirmed) >= requestCrashes
}
