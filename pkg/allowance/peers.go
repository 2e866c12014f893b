package allowance

import "time"

// peer is another instance that has told its totals.
type peer struct {
	boot  uint64
	heard time.Time
}

// report is the use of one workspace at one peer.
type report struct {
	// total is what the peer told last, at the time at.
	total float64
	at    time.Time
	// rate is its moving use per second.
	rate float64
	// assumed is what has been taken off the level for the time after at.
	assumed float64
}

// silent is the number of peers that can't be heard. Those that have not been
// heard since this process started count only after the time in which they would.
func (b *Limiter) silent(members int, now time.Time) int {
	silence := b.PeerTimeout()
	heard, lost := 0, 0
	for _, p := range b.peers {
		if now.Sub(p.heard) <= silence {
			heard++
		} else {
			lost++
		}
	}
	if now.Sub(b.began) <= silence {
		return min(lost, members-1)
	}
	return max(0, members-1-heard)
}

// reported is what the peers that can be heard are assumed to use of an account in a time.
func (b *Limiter) reported(a *account, passed float64, now time.Time) float64 {
	silence := b.PeerTimeout()
	use := 0.0
	for id, p := range b.peers {
		r, ok := a.reports[id]
		if !ok || now.Sub(p.heard) > silence {
			continue
		}
		r.assumed += r.rate * passed
		use += r.rate * passed
	}
	return use
}

// connected tells whether enough peers told their totals since this process
// told its own: half of those that can be heard in one turn.
func (b *Limiter) connected() bool {
	others := min(b.Members()-1, heardPerTurn)
	return 2*len(b.heard) >= others
}

// Heard takes the totals of one start of a peer.
func (b *Limiter) ReceiveTotals(id string, boot uint64, totals map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	b.heard[id] = true
	p, known := b.peers[id]
	silent := known && now.Sub(p.heard) > b.PeerTimeout()
	first := firstTotal{}
	if !known || p.boot != boot {
		first = b.started(id, boot, known, now)
		p, silent = b.peers[id], false
	}
	for name, total := range totals {
		if a, ok := b.accounts[name]; ok {
			b.settle(a, now)
			if first.is {
				a.begin(id, total, b.charge(a, first, total), now)
			} else {
				a.hear(id, total, now, silent)
			}
		}
	}
	p.heard = now
	b.forget(now)
}

// firstTotal tells what is made of the first total of a peer's start.
type firstTotal struct {
	// is is true for the first total, and ignored if nothing is known of the time
	// before it. atMost bounds what counts to what the peer may have admitted
	// beyond the part that was set aside for it.
	is, ignored, atMost bool
}

// started notes a start of a peer that hasn't been heard yet.
func (b *Limiter) started(id string, boot uint64, known bool, now time.Time) firstTotal {
	b.peers[id] = &peer{boot: boot}
	b.dropReports(id)
	at := time.Unix(0, int64(boot))
	idle := !b.idleSince.IsZero()
	if idle && at.Before(b.idleSince) {
		b.atWork()
		idle = false
	}
	return firstTotal{is: true, ignored: !known && !idle, atMost: now.Sub(at) > b.PeerTimeout()}
}

// charge is what of a peer's first total comes off an account.
func (b *Limiter) charge(a *account, f firstTotal, total float64) float64 {
	switch {
	case f.ignored:
		return 0
	case f.atMost:
		return min(total, b.Credit+a.limit.Rate*firstSpan.Seconds()/float64(max(1, b.Members())))
	}
	return total
}

// begin takes the first total of a peer's start, of which a part is charged.
func (a *account) begin(id string, total, charge float64, now time.Time) {
	a.level -= charge
	a.reports[id] = &report{total: total, at: now}
}

// hear takes a peer's further total. What it used beyond the assumption comes off
// the level; what it used less goes back.
func (a *account) hear(id string, total float64, now time.Time, silent bool) {
	r, ok := a.reports[id]
	if !ok {
		// The peer told its totals before, and none of this workspace.
		r = &report{at: now}
		a.reports[id] = r
	}
	used := total - r.total
	passed := now.Sub(r.at).Seconds()
	if !silent {
		a.level += r.assumed - used
	}
	if passed > 0 {
		r.rate = max(0, r.rate+rateWeight*(used/passed-r.rate))
	}
	r.total, r.at, r.assumed = total, now, 0
}

// forget drops peers that have been silent for long; the equal share stays set
// aside for them while they are members.
func (b *Limiter) forget(now time.Time) {
	for id, p := range b.peers {
		if now.Sub(p.heard) <= forgetAfter {
			continue
		}
		delete(b.peers, id)
		b.dropReports(id)
	}
}

// dropReports forgets what an earlier start of a peer told: the totals of the
// next one begin anew.
func (b *Limiter) dropReports(id string) {
	for _, a := range b.accounts {
		delete(a.reports, id)
	}
}
