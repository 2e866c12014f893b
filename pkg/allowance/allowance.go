// Package allowance enforces the rate limit of each workspace across all
// instances. Every instance runs a token bucket with the whole limit. Its own
// admissions are charged immediately, those of its peers when their reports
// arrive; until then their expected use is reserved. A silent peer is assumed to
// use an equal share, and an instance that reaches no peer uses no more than an
// equal share, so that the limit holds under partitions. An instance may spend only
// part of the balance between two of its reports, and the less of it the more
// reports it takes until all peers know, so that instances that see the same full
// account don't all spend it.
package allowance

import (
	"math"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

const (
	// rateWeight is the largest weight of the newest value in the moving averages of the rates.
	rateWeight = 0.4
	// minRetryAfter is the shortest time after which a refused caller may retry.
	minRetryAfter = 100 * time.Millisecond
	// lateReserve is the share of the capacity that is reserved for requests that
	// can still meet their deadline.
	lateReserve = 0.3
	// initialSpan is the time for which a new account may spend its equal share of
	// the rate before the peers have reported.
	initialSpan = 300 * time.Millisecond
	// assumedDemand is the baseline demand, as a share of the limit's rate, that is
	// divided equally among all instances when their demands are compared.
	assumedDemand = 0.25
	// reportsAwaited is the largest number of peers of which half must have reported since
	// this process's last report.
	reportsAwaited = 8
	// overspend is the share by which what all instances together may spend between two
	// reports exceeds the balance, if all peers learn of it with these reports.
	overspend = 0.2
	// dropPeerAfter is how long the reports of a silent peer are kept. The
	// equal share that is reserved for it doesn't depend on them.
	dropPeerAfter = time.Minute
)

// Options configures a Limiter.
type Options struct {
	// Overshoot is the share by which all instances together may exceed a limit.
	Overshoot float64
	// Credit is the initial balance of a new account: the cost that all instances
	// together may admit beyond a limit just after a start, when earlier use is unknown.
	Credit float64
	Now    func() time.Time
	// PeerTimeout returns how long after its last report a peer is considered
	// unreachable. What it has used meanwhile isn't charged when it reports again.
	PeerTimeout func() time.Duration
	// RoundTime returns the time in which every reachable peer reports once, and
	// ReportInterval is the time between two reports of this process. A peer that is
	// silent for longer than both is assumed to use an equal share.
	RoundTime      func() time.Duration
	ReportInterval time.Duration
	// Members returns the number of instances, including this one, without those that are known
	// to have ended.
	Members func() int
}

// Limiter holds the accounts of all workspaces. It is safe for concurrent use.
type Limiter struct {
	Options
	mu       sync.Mutex
	accounts map[string]*account
	peers    map[string]*peer
	// reporting is the number of peers that aren't silent, and ended that of peers that have ended.
	// timeout is PeerTimeout when they were last checked, and nextCheck when that is due again.
	reporting int
	ended     int
	timeout   time.Duration
	nextCheck time.Time
	// receivedFrom holds the peers whose totals were received since this process
	// last sent its own.
	receivedFrom map[string]bool
	// received is the number of reports received in that time.
	received int
	// idleSince is the time since which no instance is known to have admitted a
	// request; zero if other instances may have been running.
	idleSince time.Time
	// startedAt is when this process started.
	startedAt time.Time
	// offered holds what peers know of accounts that weren't open yet.
	offered map[string]Account
}

// account is the token bucket of one workspace.
type account struct {
	limit routing.Workspace
	// balance is the cost that may be admitted now; a negative balance is a debt.
	balance   float64
	updatedAt time.Time
	// admitted is the total cost that this process has admitted, and
	// spentSinceReport the part of it since its last report to the peers;
	// spendLimit is the most that it may spend until the next report, and resumeLimit if
	// streams are taken up.
	admitted, spentSinceReport, spendLimit, resumeLimit float64
	// used is the known use of the limit in the last window.
	used windowUse
	// adopted is true once the account of a peer was taken over.
	adopted bool
	// spendRate is the moving average of this process's use per second, and
	// reportedAt when it last reported to its peers.
	spendRate  float64
	reportedAt time.Time
	// unknown is the number of unknown peers at updatedAt.
	unknown int
	// equalShare is an equal share of the rate, and filled the rate that was added to the
	// balance, both summed up until updatedAt.
	equalShare, filled float64
	// reports holds the last report of each peer.
	reports map[string]*report
	// reportingRate is the sum of the rates of the peers that aren't silent.
	reportingRate float64
	// sampledRate is the sum of the rates that were reported since this process's last report,
	// and peerDemand the use per second of all peers that is estimated from them.
	sampledRate, peerDemand float64
}

// New returns a Limiter without accounts.
func New(o Options) *Limiter {
	return &Limiter{Options: o, accounts: make(map[string]*account), peers: make(map[string]*peer), receivedFrom: make(map[string]bool), startedAt: o.Now(), offered: make(map[string]Account)}
}

// Take charges a request's cost to its workspace's account, or refuses it and
// returns the time after which the caller may retry. A request may overdraw the
// account, so that large requests are admitted as often as small ones. A late
// request, which can no longer meet its deadline, leaves a reserve for the others.
func (l *Limiter) Take(w *routing.Workspace, cost float64, late bool) (wait time.Duration, ok bool) {
	if w.Rate <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	a := l.account(w, now)
	l.refresh(a, now)
	reserve := 0.0
	if late {
		reserve = lateReserve * l.capacity(a)
	}
	if a.spentSinceReport >= a.spendLimit && l.Members() > 1 && (a.spentSinceReport > 0 || a.spendLimit <= 0) {
		return minRetryAfter, false
	}
	if a.balance <= reserve {
		retryAfter := time.Duration((reserve + cost/2 - a.balance) / (w.Rate * (1 + l.Overshoot)) * float64(time.Second))
		return max(minRetryAfter, retryAfter), false
	}
	a.charge(cost, now)
	return 0, true
}

// charge records what this process has admitted.
func (a *account) charge(cost float64, now time.Time) {
	a.balance -= cost
	a.admitted += cost
	a.spentSinceReport += cost
	a.used.add(cost, now)
}

// Open creates the accounts of a configuration's workspaces, so that they fill
// before the first request arrives.
func (l *Limiter) Open(list []routing.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range list {
		if list[i].Rate > 0 {
			l.account(&list[i], l.Now())
		}
	}
}

// Refund returns the cost of a request that did not run.
func (l *Limiter) Refund(w *routing.Workspace, cost float64) {
	if w.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	a := l.account(w, now)
	a.charge(-cost, now)
}

// account returns a workspace's account with its current limit. A new account
// starts with the credit or the idle credit, whichever is larger, since the use
// before this process started is unknown.
func (l *Limiter) account(w *routing.Workspace, now time.Time) *account {
	a, ok := l.accounts[w.Name]
	if !ok {
		a = &account{updatedAt: now, reports: make(map[string]*report)}
		l.accounts[w.Name] = a
	}
	if a.limit.Rate != w.Rate || a.limit.Burst != w.Burst {
		l.refresh(a, now)
		a.limit = *w
		a.balance = min(a.balance, l.capacity(a))
	}
	if !ok {
		a.balance = min(max(l.Credit, l.idleCredit(w.Rate, now)), l.capacity(a))
		a.spendLimit = l.initialSpendLimit(a)
		l.forgetUse(a, now)
		if known, offered := l.offered[w.Name]; offered {
			l.adopt(a, known, now)
		}
	}
	return a
}

// idleCredit returns the cost that accumulated while no instance was running. It
// is 0 once this process has run for longer than PeerTimeout: by then the peers
// have reported their admissions.
func (l *Limiter) idleCredit(rate float64, now time.Time) float64 {
	if l.idleSince.IsZero() || now.Sub(l.startedAt) > l.PeerTimeout() {
		return 0
	}
	return rate * max(0, now.Sub(l.idleSince).Seconds())
}

// initialSpendLimit returns how much of a new account this process may spend until
// its first report: an equal share of the rate over initialSpan, and an equal share
// of the balance up to the credit.
func (l *Limiter) initialSpendLimit(a *account) float64 {
	members := float64(max(1, l.Members()))
	return a.limit.Rate*initialSpan.Seconds()/members + min(a.balance/members, l.Credit)
}

// CreditIdleTime records that no instance was running from a time until this process
// started, and credits the accounts with their rate since then. The credit is
// withdrawn if a peer turns out to have been running.
func (l *Limiter) CreditIdleTime(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if len(l.peers) > 0 || !since.Before(now) {
		return
	}
	l.idleSince = since
	for _, a := range l.accounts {
		l.refresh(a, now)
		a.balance = min(max(a.balance, l.idleCredit(a.limit.Rate, now)), l.capacity(a))
		a.spendLimit = max(a.spendLimit, l.initialSpendLimit(a))
		l.forgetUse(a, now)
	}
}

// resetIdleCredit withdraws the idle credit after a peer turned out to have been
// running during that time. Its admissions are unknown, so every balance is reduced
// to at most the credit.
func (l *Limiter) resetIdleCredit(now time.Time) {
	l.idleSince = time.Time{}
	for _, a := range l.accounts {
		a.balance = min(a.balance, l.Credit)
		a.spendLimit = min(a.spendLimit, a.spentSinceReport+l.initialSpendLimit(a))
		l.forgetUse(a, now)
	}
}

// capacity returns the largest balance of an account.
func (l *Limiter) capacity(a *account) float64 {
	return max(a.limit.Burst, a.limit.Rate/4) * (1 + l.Overshoot)
}

// refresh updates an account to the current time: it adds the rate and subtracts
// the assumed use of the peers. The balance is limited to the share of the instances
// that report, since the silent ones fill their own accounts.
func (l *Limiter) refresh(a *account, now time.Time) {
	elapsed := now.Sub(a.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	l.checkPeers(now)
	a.updatedAt = now
	rate := a.limit.Rate * (1 + l.Overshoot)
	members := max(1, l.Members())
	share := rate * elapsed / float64(members)
	a.equalShare += share
	unknown := l.unknownPeers(members, now)
	silent := l.silentPeers(members, now)
	assumed := max(0, a.reportingRate) * elapsed
	a.used.add(assumed, now)
	use := assumed + float64(silent)*share
	if unknown > a.unknown && a.balance > 0 {
		// The unknown peers may each spend an equal share of the balance.
		use += a.balance * float64(unknown-a.unknown) / float64(members)
	}
	a.unknown = unknown
	limit := l.capacity(a) * float64(members-silent) / float64(members)
	overflow := max(0, a.balance+rate*elapsed-use-limit)
	a.filled += rate*elapsed - overflow
	a.balance += rate*elapsed - use - overflow
}

// Totals returns the cost that this process has admitted since its start, by
// workspace, for the report to the peers. It also sets how much this process may
// spend until its next report.
func (l *Limiter) Totals() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	connected := l.connected()
	for _, a := range l.accounts {
		l.refresh(a, now)
		l.estimateDemand(a, now)
		if connected {
			l.resetResumeLimit(a, now)
		} else {
			l.keepResumeLimit(a, now)
		}
		l.resetSpendLimit(a, now, connected)
	}
	clear(l.receivedFrom)
	l.received = 0
	out := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		if a.admitted != 0 {
			out[name] = math.Round(a.admitted)
		}
	}
	return out
}

// estimateDemand updates the averages of the use per second of this process and of its
// peers. That of all peers is estimated from those that have reported since the last
// report: what the others last reported may be from before a change of the demand.
func (l *Limiter) estimateDemand(a *account, now time.Time) {
	weight := min(rateWeight, 2/(l.reportsPerRound()+1))
	if elapsed := now.Sub(a.reportedAt).Seconds(); !a.reportedAt.IsZero() && elapsed > 0 {
		a.spendRate += weight * (a.spentSinceReport/elapsed - a.spendRate)
	}
	if l.received > 0 {
		mean := a.sampledRate / float64(l.received)
		a.peerDemand += weight * (mean*float64(l.Members()-1) - a.peerDemand)
	}
	a.sampledRate = 0
}

// reportsPerRound returns the number of reports that this process sends until all reachable
// peers have had one.
func (l *Limiter) reportsPerRound() float64 {
	return max(1, l.RoundTime().Seconds()/l.ReportInterval.Seconds())
}

// resetSpendLimit sets how much this process may spend until its next report: a part
// of the balance, and of the rate until then, in proportion to its share of the demand.
// The peers learn of it within a round, so the balance is spread over the reports of
// one. While too few peers have reported, their use is unknown, and the limit is the
// unspent part of the last one plus an equal share of the rate.
func (l *Limiter) resetSpendLimit(a *account, now time.Time, connected bool) {
	elapsed := 0.0
	if !a.reportedAt.IsZero() {
		elapsed = now.Sub(a.reportedAt).Seconds()
	}
	unspent := a.spendLimit - a.spentSinceReport
	a.reportedAt = now
	a.spentSinceReport = 0
	if !connected {
		a.spendLimit = unspent + a.limit.Rate*elapsed/float64(max(1, l.Members()))
		return
	}
	part := 1 / l.reportsPerRound()
	a.spendLimit = (1 - part) * max(min(0, unspent), -max(0, a.spendLimit))
	if a.balance > 0 {
		a.spendLimit += (part*a.balance + (1-part)*a.limit.Rate*elapsed) * min(1, (1+part*overspend)*l.demandShare(a))
	}
}

// demandShare returns this process's share of a workspace's demand. Some demand is
// assumed at every instance, so that after an idle time no instance claims the whole
// balance.
func (l *Limiter) demandShare(a *account) float64 {
	members := float64(max(1, l.Members()))
	assumed := assumedDemand * a.limit.Rate / members
	return (a.spendRate + assumed) / (a.spendRate + a.peerDemand + assumed*members)
}
