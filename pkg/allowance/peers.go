package allowance

import "time"

// peer is another instance that has reported its totals.
type peer struct {
	boot     uint64
	lastSeen time.Time
	// reporting is true if its last report was recent at the last check. Otherwise it is silent.
	reporting bool
	// ended is true if its process is known to have ended.
	ended bool
	// leftover holds, by workspace, what the last window had left of a limit when it became silent.
	leftover map[string]float64
}

// report holds a peer's last reported use of one workspace.
type report struct {
	// total is the peer's last reported total, received at the time at.
	total float64
	at    time.Time
	// rate is the moving average of its use per second.
	rate float64
	// balance and filled are those of the account after the report.
	balance, filled float64
	// assumed is the use that has been subtracted from the balance for the time from at
	// until since. For the time after that it is rate while the peer reports, and an equal
	// share while it is silent.
	assumed float64
	// counted is the part of assumed that the use of the window contains.
	counted float64
	since   time.Time
	// equalShare is the account's equalShare at since.
	equalShare float64
}

// settle adds the use that has been assumed until now, the time of the account's last
// update, to that of a peer's report.
func (a *account) settle(r *report, reporting bool, now time.Time) {
	if reporting {
		use := r.rate * now.Sub(r.since).Seconds()
		r.assumed += use
		r.counted += use
	} else {
		r.assumed += a.equalShare - r.equalShare
	}
	r.since, r.equalShare = now, a.equalShare
}

// unknownPeers returns the number of members that have not reported since this process
// started. They count only once PeerTimeout has passed.
func (l *Limiter) unknownPeers(members int, now time.Time) int {
	if now.Sub(l.startedAt) <= l.timeout {
		return 0
	}
	return max(0, members-1-(len(l.peers)-l.ended))
}

// silentPeers returns the number of members that don't report, and may use an equal share.
func (l *Limiter) silentPeers(members int, now time.Time) int {
	return min(l.unknownPeers(members, now)+len(l.peers)-l.ended-l.reporting, members-1)
}

// silentAfter returns the time after its last report from which on a peer is silent.
func (l *Limiter) silentAfter() time.Duration {
	return min(l.RoundTime()+l.ReportInterval, l.timeout)
}

// checkPeers finds the peers that have become silent, and drops those that have been
// so for longer than dropPeerAfter. It looks at them only when the next of these times has
// passed, since it is called for each report of each peer.
func (l *Limiter) checkPeers(now time.Time) {
	timeout := l.PeerTimeout()
	if timeout == l.timeout && !now.After(l.nextCheck) {
		return
	}
	l.timeout, l.nextCheck = timeout, now.Add(dropPeerAfter)
	silentAfter := l.silentAfter()
	for id, p := range l.peers {
		if p.lastSeen.IsZero() {
			continue // its first report is being recorded
		}
		silent := now.Sub(p.lastSeen)
		if silent > dropPeerAfter && silent > timeout {
			l.dropPeer(id, p)
			continue
		}
		if p.ended {
			l.checkBy(p.lastSeen.Add(dropPeerAfter))
			continue
		}
		if silent > silentAfter {
			l.setSilent(id, p)
			l.checkBy(p.lastSeen.Add(dropPeerAfter))
		} else {
			l.setReporting(id, p)
			l.checkBy(p.lastSeen.Add(silentAfter))
		}
	}
}

// checkBy makes checkPeers look at the peers once a time has passed.
func (l *Limiter) checkBy(at time.Time) {
	if at.Before(l.nextCheck) {
		l.nextCheck = at
	}
}

// setReporting records that a peer reports. Its use is assumed in the accounts from their
// last update on.
func (l *Limiter) setReporting(id string, p *peer) {
	if p.reporting {
		return
	}
	if p.ended {
		p.ended = false
		l.ended--
	}
	p.reporting = true
	l.reporting++
	for _, a := range l.accounts {
		if r, ok := a.reports[id]; ok {
			a.settle(r, false, a.updatedAt)
			a.reportingRate += r.rate
		}
	}
}

// setSilent records that a peer is silent. It may have used an equal share of the balance, and of
// what was added to it since its last report. This is subtracted from the accounts until it
// reports again.
func (l *Limiter) setSilent(id string, p *peer) {
	if !p.reporting {
		return
	}
	l.stopReporting(id, p)
	members := float64(max(1, l.Members()))
	p.leftover = make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		p.leftover[name] = max(0, l.windowCapacity(a)-a.used.total(l.Now()))
		r, ok := a.reports[id]
		if !ok {
			r = &report{at: p.lastSeen, balance: a.balance, filled: a.filled, since: a.updatedAt, equalShare: a.equalShare}
			a.reports[id] = r
		}
		share := (min(r.balance, l.capacity(a)) + a.filled - r.filled) / members
		charge := max(0, share-r.assumed)
		r.assumed += charge
		a.balance -= charge
	}
}

// stopReporting ends the assumption that a peer goes on as it last reported.
func (l *Limiter) stopReporting(id string, p *peer) {
	p.reporting = false
	l.reporting--
	for _, a := range l.accounts {
		if r, ok := a.reports[id]; ok {
			a.settle(r, true, a.updatedAt)
			a.reportingRate -= r.rate
		}
	}
}

// removePeer forgets a peer and its reports. Its equal share stays reserved while it is a
// member.
func (l *Limiter) removePeer(id string, p *peer) {
	if p.reporting {
		l.stopReporting(id, p)
	}
	if p.ended {
		l.ended--
	}
	for _, a := range l.accounts {
		delete(a.reports, id)
	}
	delete(l.peers, id)
}

// dropPeer removes a peer that has been silent for long.
func (l *Limiter) dropPeer(id string, p *peer) {
	l.removePeer(id, p)
	if !p.ended {
		l.recordUnknown()
	}
}

// recordUnknown records that one more peer is unknown, of which an equal share of the balance
// has been subtracted already.
func (l *Limiter) recordUnknown() {
	for _, a := range l.accounts {
		a.unknown++
	}
}

// connected reports whether enough peers have sent their totals since this process
// last sent its own: half of those that report in that time.
func (l *Limiter) connected() bool {
	others := min(l.Members()-1, reportsAwaited)
	return 2*len(l.receivedFrom) >= others
}

// ReceiveTotals records the totals that a peer has admitted since its start, which
// boot identifies.
func (l *Limiter) ReceiveTotals(id string, boot uint64, totals map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.receivedFrom[id] = true
	l.received++
	l.checkPeers(now)
	p, known := l.peers[id]
	initial := initialTotal{}
	if !known || p.boot != boot {
		initial = l.recordPeerStart(id, boot, p, now)
		p = l.peers[id]
	}
	for name, a := range l.accounts {
		total, used := totals[name]
		_, reported := a.reports[id]
		if !used && !reported {
			continue
		}
		l.refresh(a, now)
		if initial.isFirst {
			a.recordInitialTotal(id, total, l.charge(a, initial, total), now)
		} else {
			a.recordTotal(id, total, now, p, p.ended || now.Sub(p.lastSeen) <= l.timeout)
		}
	}
	p.lastSeen = now
	l.setReporting(id, p)
	l.checkBy(now.Add(l.silentAfter()))
	if initial.restarted {
		for _, a := range l.accounts {
			l.raiseResumeLimit(a, now)
		}
	}
}

// initialTotal describes how the first total after a peer's start is charged.
type initialTotal struct {
	// isFirst is true for the first total. ignore is true if nothing is known of the
	// time before it. capped is true if the charge is limited to the cost that the
	// peer may have admitted beyond the share that was reserved for it.
	isFirst, ignore, capped bool
	// restarted is true if an earlier process of the peer has ended.
	restarted bool
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
		l.resetIdleCredit(now)
		idle = false
	}
	return initialTotal{isFirst: true, ignore: !known && !idle, capped: now.Sub(at) > l.PeerTimeout(), restarted: known}
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
	a.used.add(charge, now)
	a.reports[id] = &report{total: total, at: now, balance: a.balance, filled: a.filled, since: now, equalShare: a.equalShare}
}

// recordTotal records a later total of a peer and corrects the balance by the
// difference between the assumed and the actual use. After a time in which the peer
// was unreachable nothing is corrected, since an equal share was reserved for it.
func (a *account) recordTotal(id string, total float64, now time.Time, p *peer, reachable bool) {
	r, ok := a.reports[id]
	if !ok {
		// The peer's earlier reports had no use of this workspace.
		r = &report{at: now, since: now, equalShare: a.equalShare}
		a.reports[id] = r
	}
	used := total - r.total
	if p.ended {
		r.since, r.equalShare = now, a.equalShare
	} else {
		a.settle(r, p.reporting, now)
	}
	if reachable {
		a.balance += r.assumed - used
	}
	elapsed := now.Sub(r.at)
	a.used.add(usedInWindow(used, elapsed)-r.counted, now)
	if elapsed > 0 {
		a.sampledRate += max(0, used/elapsed.Seconds())
		rate := max(0, r.rate+rateWeight*(used/elapsed.Seconds()-r.rate))
		if p.reporting {
			a.reportingRate += rate - r.rate
		}
		r.rate = rate
	}
	*r = report{total: total, at: now, rate: r.rate, balance: a.balance, filled: a.filled, since: now, equalShare: a.equalShare}
}

// usedInWindow returns the part of a use over some time that falls into the last window.
func usedInWindow(used float64, elapsed time.Duration) float64 {
	if elapsed <= window {
		return used
	}
	return used * window.Seconds() / elapsed.Seconds()
}
