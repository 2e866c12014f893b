package allowance

// PeerEnded records that a peer's process is known to have ended. Nothing is reserved for it any
// more; it is taken to have used no more since its last report than it did before.
func (l *Limiter) PeerEnded(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, known := l.peers[id]
	if known && p.ended {
		return
	}
	now := l.Now()
	for _, a := range l.accounts {
		l.refresh(a, now)
	}
	if known {
		l.setEnded(id, p)
	}
	for _, a := range l.accounts {
		l.raiseResumeLimit(a, now)
	}
}

// setEnded ends the assumptions on a peer's use. What was charged for its silence is returned.
func (l *Limiter) setEnded(id string, p *peer) {
	wasReporting := p.reporting
	if wasReporting {
		l.stopReporting(id, p)
	}
	p.ended = true
	l.ended++
	for _, a := range l.accounts {
		r, ok := a.reports[id]
		if !ok || wasReporting {
			continue
		}
		a.settle(r, false, a.updatedAt)
		excess := max(0, r.assumed-r.rate*l.RoundTime().Seconds())
		r.assumed -= excess
		a.balance += excess
	}
}
