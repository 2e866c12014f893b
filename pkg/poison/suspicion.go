package poison

import "time"

const (
	// evidenceTime is the longest time for which a request waits until ends of endpoints under it are
	// confirmed: that is decided soon after the first endpoint accepts connections.
	evidenceTime = 400 * time.Millisecond
	// trialSpacing is the time between two tries of a suspected request: in that time all instances
	// know how a try has ended.
	trialSpacing = 400 * time.Millisecond
	// trialDelay is the time after which a suspected request that wasn't answered is only tried by
	// turns: a sound one that is sent again is answered in that time unless all endpoints are down.
	trialDelay = graceTime - 500*time.Millisecond
	// trialShare is the least share of the crashes of its time that such a request has met: sound ones meet
	// several while endpoints end for other reasons, and so do other requests.
	trialShare = 0.4
	// ownerTime is the time after the last crash under such a request in which only the instance that
	// sends the probes tries it: endpoints take some seconds until they are back.
	ownerTime = graceTime + 1500*time.Millisecond
	// ownerInterval is the time between two trials of that instance, and otherInterval that of another one.
	ownerInterval = time.Second
	otherInterval = 10 * time.Second
)

// checkSuspected decides on a request of which no trait is in quarantine. The caller must hold mu.
func (g *Guard) checkSuspected(r Request, now time.Time) Verdict {
	crashes, _ := g.log.crashesUnder(r)
	if len(crashes) < requestCrashes || now.Sub(crashes[requestCrashes-1].at) < trialDelay || !g.log.largeShare(crashes) {
		return Verdict{}
	}
	id := r.id()
	at, interval := g.nextTrial[id], ownerInterval
	if !g.MayProbe(id) {
		turn := crashes[len(crashes)-1].at.Add(ownerTime + time.Duration(g.Position(id))*trialSpacing)
		at, interval = latest(at, turn), otherInterval
	}
	if now.Before(at) {
		g.metrics.refused.Inc()
		return Verdict{Refused: true, Whole: true, RetryAfter: at.Sub(now)}
	}
	g.nextTrial[id] = now.Add(interval)
	g.Log.Info("trying request that probably crashes endpoints", "kind", id.kind().String(), "trait", id.hash())
	return Verdict{Probe: true}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// MayTry reports whether a request may be sent that has waited since a time. Instances try one that is
// suspected of crashing endpoints one after the other: tries that were waiting while all endpoints were
// down would all be sent at the moment at which these are back.
func (g *Guard) MayTry(r Request, since time.Time) bool {
	if !g.active.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	confirmed, unconfirmed := g.log.crashesUnder(r)
	now := g.Now()
	switch {
	case len(confirmed)+unconfirmed < requestCrashes:
		return true
	case len(confirmed) < requestCrashes:
		return now.Sub(since) >= evidenceTime
	}
	return g.takeTurn(r.id(), since, confirmed[len(confirmed)-1].at, now)
}

// takeTurn reports whether it is this instance's turn to try a request that waits since a time, and last
// crashed an endpoint at another. The caller must hold mu.
func (g *Guard) takeTurn(id Trait, since, last, now time.Time) bool {
	turn := since.Add(time.Duration(g.Position(id)) * trialSpacing)
	if now.Before(turn) || now.Before(last.Add(trialSpacing)) || now.Before(g.nextTrial[id]) {
		return false
	}
	g.nextTrial[id] = now.Add(trialSpacing)
	g.Log.Info("trying request that probably crashes endpoints", "kind", id.kind().String(), "trait", id.hash(), "waited_ms", now.Sub(since).Milliseconds())
	return true
}

// crashesUnder returns the confirmed crashes under a request, and the number of those that aren't confirmed;
// none if both are too few to suspect it.
// Those count too of which another request is known as a cause: that may hide that this one is another.
func (l *crashLog) crashesUnder(r Request) (confirmed []*crash, unconfirmed int) {
	id := r.id()
	if l.mentions[id] < requestCrashes {
		return nil, 0
	}
	for _, c := range l.crashes {
		switch {
		case !c.has(id):
		case c.unconfirmed:
			unconfirmed++
		default:
			confirmed = append(confirmed, c)
		}
	}
	return confirmed, unconfirmed
}

// largeShare reports whether the crashes under a request are at least trialShare of those of their time.
func (l *crashLog) largeShare(under []*crash) bool {
	from, to := under[0].at.Add(-backgroundTime), under[len(under)-1].at
	all := 0
	for _, c := range l.crashes {
		if !c.unconfirmed && !c.at.Before(from) && !c.at.After(to) {
			all++
		}
	}
	return float64(len(under)) >= trialShare*float64(all)
}
