package allowance

import "time"

// peer is another instance that has reported its totals.
type peer struct {
	boot     uint64
	lastSeen time.Time
}

// report holds a peer's last reported use of one workspace.
type report struct {
	// total is the peer's last reported total, received at the time at.
	total float64
	at    time.Time
	// rate is the moving average of its use per second.
	rate float64
	// assumed is the use that has been subtracted from the balance for the time after at.
	assumed float64
}

// unreachablePeers returns the number of unreachable peers. Peers that have not
// reported since this process started count only once PeerTimeout has passed.
func (l *Limiter) unreachablePeers(members int, now time.Time) int {
	timeout := l.PeerTimeout()
	reachable, unreachable := 0, 0
	for _, p := range l.peers {
		if now.Sub(p.lastSeen) <= timeout {
			reachable++
		} else {
			unreachable++
		}
	}
	if now.Sub(l.startedAt) <= timeout {
		return min(unreachable, members-1)
	}
	return max(0, members-1-reachable)
}

// assumedUse returns the assumed use of an account by all reachable peers over the
// given number of seconds.
func (l *Limiter) assumedUse(a *account, elapsed float64, now time.Time) float64 {
	timeout := l.PeerTimeout()
	use := 0.0
	for id, p := range l.peers {
		r, ok := a.reports[id]
		if !ok || now.Sub(p.lastSeen) > timeout {
			continue
		}
		r.assumed += r.rate * elapsed
		use += r.rate * elapsed
	}
	return use
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
	p, known := l.peers[id]
	wasUnreachable := known && now.Sub(p.lastSeen) > l.PeerTimeout()
	initial := initialTotal{}
	if !known || p.boot != boot {
		initial = l.recordPeerStart(id, boot, known, now)
		p, wasUnreachable = l.peers[id], false
	}
	for name, total := range totals {
		if a, ok := l.accounts[name]; ok {
			l.refresh(a, now)
			if initial.isFirst {
				a.recordInitialTotal(id, total, l.charge(a, initial, total), now)
			} else {
				a.recordTotal(id, total, now, wasUnreachable)
			}
		}
	}
	p.lastSeen = now
	l.dropUnreachable(now)
}

// initialTotal describes how the first total after a peer's start is charged.
type initialTotal struct {
	// isFirst is true for the first total. ignore is true if nothing is known of the
	// time before it. capped is true if the charge is limited to the cost that the
	// peer may have admitted beyond the share that was reserved for it.
	isFirst, ignore, capped bool
}

// recordPeerStart records a new peer or a restart of a known one.
func (l *Limiter) recordPeerStart(id string, boot uint64, known bool, now time.Time) initialTotal {
	l.peers[id] = &peer{boot: boot}
	l.dropReports(id)
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
	a.reports[id] = &report{total: total, at: now}
}

// recordTotal records a later total of a peer and corrects the balance by the
// difference between the assumed and the actual use. After a time in which the peer
// was unreachable nothing is corrected, since an equal share was reserved for it.
func (a *account) recordTotal(id string, total float64, now time.Time, wasUnreachable bool) {
	r, ok := a.reports[id]
	if !ok {
		// The peer's earlier reports had no use of this workspace.
		r = &report{at: now}
		a.reports[id] = r
	}
	used := total - r.total
	elapsed := now.Sub(r.at).Seconds()
	if !wasUnreachable {
		a.balance += r.assumed - used
	}
	if elapsed > 0 {
		r.rate = max(0, r.rate+rateWeight*(used/elapsed-r.rate))
	}
	r.total, r.at, r.assumed = total, now, 0
}

// dropUnreachable removes peers that have been unreachable for longer than
// dropPeerAfter. Their equal share stays reserved while they are members.
func (l *Limiter) dropUnreachable(now time.Time) {
	for id, p := range l.peers {
		if now.Sub(p.lastSeen) <= dropPeerAfter {
			continue
		}
		delete(l.peers, id)
		l.dropReports(id)
	}
}

// dropReports removes a peer's reports, since its totals begin again at 0 after a
// restart.
func (l *Limiter) dropReports(id string) {
	for _, a := range l.accounts {
		delete(a.reports, id)
	}
}
