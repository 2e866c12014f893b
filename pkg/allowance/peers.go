package allowance

import "time"

// peer is another instance that has reported its totals.
type peer struct {
	boot     uint64
	lastSeen time.Time
	// reachable is true if its last report was recent at the last check.
	reachable bool
}

// report holds a peer's last reported use of one workspace.
type report struct {
	// total is the peer's last reported total, received at the time at.
	total float64
	at    time.Time
	// rate is the moving average of its use per second.
	rate float64
	// assumed is the use that has been subtracted from the balance for the time from at
	// until since. For the time after that it is rate while the peer is reachable.
	assumed float64
	since   time.Time
}

// settle adds the use that has been assumed until now to assumed.
func (r *report) settle(now time.Time) {
	r.assumed += r.rate * now.Sub(r.since).Seconds()
	r.since = now
}

// unreachablePeers returns the number of unreachable peers. Peers that have not
// reported since this process started count only once PeerTimeout has passed.
func (l *Limiter) unreachablePeers(members int, now time.Time) int {
	if now.Sub(l.startedAt) <= l.timeout {
		return min(len(l.peers)-l.reachable, members-1)
	}
	return max(0, members-1-l.reachable)
}

// checkPeers finds the peers that have become unreachable, and drops those that have been
// so for longer than dropPeerAfter. It looks at them only when the next of these times has
// passed, since it is called for each report of each peer.
func (l *Limiter) checkPeers(now time.Time) {
	timeout := l.PeerTimeout()
	if timeout == l.timeout && !now.After(l.nextCheck) {
		return
	}
	l.timeout, l.nextCheck = timeout, now.Add(dropPeerAfter)
	for id, p := range l.peers {
		if p.lastSeen.IsZero() {
			continue // its first report is being recorded
		}
		silent := now.Sub(p.lastSeen)
		if silent > dropPeerAfter && silent > timeout {
			l.removePeer(id, p)
			continue
		}
		l.setReachable(id, p, silent <= timeout)
		if p.reachable {
			l.checkBy(p.lastSeen.Add(timeout))
		} else {
			l.checkBy(p.lastSeen.Add(dropPeerAfter))
		}
	}
}

// checkBy makes checkPeers look at the peers once a time has passed.
func (l *Limiter) checkBy(at time.Time) {
	if at.Before(l.nextCheck) {
		l.nextCheck = at
	}
}

// setReachable records whether a peer is reachable. The use of a reachable peer is assumed
// in the accounts from their last update on.
func (l *Limiter) setReachable(id string, p *peer, reachable bool) {
	if p.reachable == reachable {
		return
	}
	p.reachable = reachable
	if reachable {
		l.reachable++
	} else {
		l.reachable--
	}
	for _, a := range l.accounts {
		r, ok := a.reports[id]
		if !ok {
			continue
		}
		if reachable {
			r.since = a.updatedAt
			a.reachableRate += r.rate
		} else {
			r.settle(a.updatedAt)
			a.reachableRate -= r.rate
		}
	}
}

// removePeer forgets a peer and its reports. Its equal share stays reserved while it is a
// member.
func (l *Limiter) removePeer(id string, p *peer) {
	l.setReachable(id, p, false)
	for _, a := range l.accounts {
		if r, ok := a.reports[id]; ok {
			a.peerRate -= r.rate
			delete(a.reports, id)
		}
	}
	delete(l.peers, id)
}

// connected reports whether enough peers have sent their totals since this process
// last sent its own: half of those that report in one round.
func (l *Limiter) connected() bool {
	others := min(l.Members()-1, reportsPerRound)
	return 2*len(l.receivedFrom) >= others
}

// ReceiveTotals records the totals that a peer has admitted since its start, which
// boot identifies.
func (l *Limiter) ReceiveTotals(id string, boot uint64, totals map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.receivedFrom[id] = true
	l.checkPeers(now)
	p, known := l.peers[id]
	initial := initialTotal{}
	if !known || p.boot != boot {
		initial = l.recordPeerStart(id, boot, p, now)
		p = l.peers[id]
	}
	for name, total := range totals {
		if a, ok := l.accounts[name]; ok {
			l.refresh(a, now)
			if initial.isFirst {
				a.recordInitialTotal(id, total, l.charge(a, initial, total), now)
			} else {
				a.recordTotal(id, total, now, p.reachable)
			}
		}
	}
	p.lastSeen = now
	l.setReachable(id, p, true)
	l.checkBy(now.Add(l.timeout))
}

// initialTotal describes how the first total after a peer's start is charged.
type initialTotal struct {
	// isFirst is true for the first total. ignore is true if nothing is known of the
	// time before it. capped is true if the charge is limited to the cost that the
	// peer may have admitted beyond the share that was reserved for it.
	isFirst, ignore, capped bool
}

// recordPeerStart records a new peer, or a restart of a known one, which before is.
func (l *Limiter) recordPeerStart(id string, boot uint64, before *peer, now time.Time) initialTotal {
	known := before != nil
	if known {
		l.removePeer(id, before)
	}
	l.peers[id] = &peer{boot: boot}
	at := time.Unix(0, int64(boot))
	idle := !l.idleSince.IsZero()
	if idle && at.Before(l.idleSince) {
		l.resetIdleCredit()
		idle = false
	}
	return initialTotal{isFirst: true, ignore: !known && !idle, capped: now.Sub(at) > l.PeerTimeout()}
}

// charge returns the part of a peer's first total that is charged to an account.
func (l *Limiter) charge(a *account, initial initialTotal, total float64) float64 {
	switch {
	case initial.ignore:
		return 0
	case initial.capped:
		return min(total, l.Credit+a.limit.Rate*initialSpan.Seconds()/float64(max(1, l.Members())))
	}
	return total
}

// recordInitialTotal records the first total after a peer's start and subtracts the
// charge from the balance.
func (a *account) recordInitialTotal(id string, total, charge float64, now time.Time) {
	a.balance -= charge
	a.reports[id] = &report{total: total, at: now, since: now}
}

// recordTotal records a later total of a peer and corrects the balance by the
// difference between the assumed and the actual use. After a time in which the peer
// was unreachable nothing is corrected, since an equal share was reserved for it.
func (a *account) recordTotal(id string, total float64, now time.Time, reachable bool) {
	r, ok := a.reports[id]
	if !ok {
		// The peer's earlier reports had no use of this workspace.
		r = &report{at: now, since: now}
		a.reports[id] = r
	}
	used := total - r.total
	if reachable {
		r.settle(now)
		a.balance += r.assumed - used
	}
	if elapsed := now.Sub(r.at).Seconds(); elapsed > 0 {
		a.setRate(r, max(0, r.rate+rateWeight*(used/elapsed-r.rate)), reachable)
	}
	r.total, r.at, r.assumed, r.since = total, now, 0, now
}

// setRate sets the rate of a peer's report and updates the sums of the rates.
func (a *account) setRate(r *report, rate float64, reachable bool) {
	a.peerRate += rate - r.rate
	if reachable {
		a.reachableRate += rate - r.rate
	}
	r.rate = rate
}
