// Package allowance keeps the requests of each workspace within its limit over
// all instances together. Every instance runs the whole limit's token bucket:
// what it admits itself counts at once, what its peers admit when they tell, and
// what they are likely to admit until then is set aside. A peer that falls
// silent is assumed to use an equal share, and so is this instance while it
// hears nobody, so that the limit holds under partitions. What was saved up is
// spent in parts, so that instances that see the same full account at the same
// time don't all spend it.
package allowance

import (
	"math"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

const (
	// rateWeight is the weight of the newest report in a peer's rate.
	rateWeight = 0.4
	// minWait is the least time after which a refused caller may come back.
	minWait = 100 * time.Millisecond
	// lateShare is the part of a full account that is kept for requests that can
	// still be on time.
	lateShare = 0.3
	// firstSpan is the time for which a new account may spend its equal part of
	// the rate before its peers are heard.
	firstSpan = 300 * time.Millisecond
	// assumedDemand is the share of a limit's rate that is assumed to be asked for,
	// evenly at all instances, when their demands are compared.
	assumedDemand = 0.25
	// heardPerTurn is the number of peers that are heard in one turn at most.
	heardPerTurn = 8
	// spread is the part of the saved up limit that all instances together may
	// spend before they have told each other.
	spread = 1.2
	// forgetAfter is how long the account of a silent peer is kept apart from the
	// equal share that is set aside for it.
	forgetAfter = time.Minute
)

// Options sets up a book.
type Options struct {
	// Over is the share by which all instances together exceed a limit.
	Overshoot float64
	// Credit is what a new account holds: what all instances together may admit
	// beyond a limit when they have just started and know of no use.
	Credit float64
	Now    func() time.Time
	// Silence is how long a peer may be silent before it is assumed to use an equal share.
	PeerTimeout func() time.Duration
	// Members is the number of instances, this one included.
	Members func() int
}

// Book holds the accounts of all workspaces. It is safe for concurrent use.
type Limiter struct {
	Options
	mu       sync.Mutex
	accounts map[string]*account
	peers    map[string]*peer
	// heard holds the peers that told their totals since this process told its own.
	heard map[string]bool
	// idleSince is since when no instance has admitted anything, as far as is
	// known; zero if others may have been at work all the while.
	idleSince time.Time
	// began is when this process started.
	began time.Time
}

// account is the bucket of one workspace.
type account struct {
	limit routing.Workspace
	// level is what may be admitted now; below 0 it is owed.
	level float64
	at    time.Time
	// own is the total that this process has admitted, and spent the part of it
	// since it last told its peers; spendable is what it may spend until it tells.
	own, spent, spendable float64
	// rate is the moving use of this process per second, and told when it last told its peers.
	rate float64
	told time.Time
	// silent is the number of peers that are silent.
	silent int
	// reports holds what each peer has told.
	reports map[string]*report
}

// New returns an empty book.
func New(o Options) *Limiter {
	return &Limiter{Options: o, accounts: make(map[string]*account), peers: make(map[string]*peer), heard: make(map[string]bool), began: o.Now()}
}

// Take counts a request of a cost against its workspace's limit, or tells when
// to come back. A request may overdraw the account, so that large ones are
// served as often as small ones. Requests that are late already are admitted
// only from what others leave.
func (b *Limiter) Take(w *routing.Workspace, cost float64, late bool) (wait time.Duration, ok bool) {
	if w.Rate <= 0 {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	a := b.account(w, now)
	b.settle(a, now)
	floor := 0.0
	if late {
		floor = lateShare * b.capacity(a)
	}
	if a.spent >= a.spendable && b.Members() > 1 && (a.spent > 0 || a.spendable <= 0) {
		return minWait, false
	}
	if a.level <= floor {
		back := time.Duration((floor + cost/2 - a.level) / (w.Rate * (1 + b.Overshoot)) * float64(time.Second))
		return max(minWait, back), false
	}
	a.level -= cost
	a.own += cost
	a.spent += cost
	return 0, true
}

// Open opens the accounts of a configuration's workspaces, so that they have
// filled by the time that the first request comes.
func (b *Limiter) Open(list []routing.Workspace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range list {
		if list[i].Rate > 0 {
			b.account(&list[i], b.Now())
		}
	}
}

// Refund takes back the cost of a request that did not run.
func (b *Limiter) Refund(w *routing.Workspace, cost float64) {
	if w.Rate <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(w, b.Now())
	a.level += cost
	a.own -= cost
	a.spent -= cost
}

// account returns a workspace's account under its present limit. A new account
// holds no more than the credit: what was admitted before this process started
// isn't known.
func (b *Limiter) account(w *routing.Workspace, now time.Time) *account {
	a, ok := b.accounts[w.Name]
	if !ok {
		a = &account{at: now, reports: make(map[string]*report)}
		b.accounts[w.Name] = a
	}
	if a.limit.Rate != w.Rate || a.limit.Burst != w.Burst {
		b.settle(a, now)
		a.limit = *w
		a.level = min(a.level, b.capacity(a))
	}
	if !ok {
		a.level = min(max(b.Credit, b.saved(w.Rate, now)), b.capacity(a))
		a.spendable = b.firstSpendable(a)
	}
	return a
}

// saved is what a limit has saved up while no instance was at work; nothing any
// more once peers would have told otherwise.
func (b *Limiter) saved(rate float64, now time.Time) float64 {
	if b.idleSince.IsZero() || now.Sub(b.began) > b.PeerTimeout() {
		return 0
	}
	return rate * max(0, now.Sub(b.idleSince).Seconds())
}

// firstSpendable is what this process may spend of a new account until it tells
// its peers: its equal part, and no more of what seems saved up than the credit.
func (b *Limiter) firstSpendable(a *account) float64 {
	members := float64(max(1, b.Members()))
	return a.limit.Rate*firstSpan.Seconds()/members + min(a.level/members, b.Credit)
}

// Rested tells that no instance was at work from a time until this process
// started: the accounts have saved up since. A peer that turns out to have
// been at work ends this.
func (b *Limiter) CreditIdleTime(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	if len(b.peers) > 0 || !since.Before(now) {
		return
	}
	b.idleSince = since
	for _, a := range b.accounts {
		b.settle(a, now)
		a.level = min(max(a.level, b.saved(a.limit.Rate, now)), b.capacity(a))
		a.spendable = max(a.spendable, b.firstSpendable(a))
	}
}

// atWork takes the news that a peer was at work while nobody seemed to be: what
// it admitted isn't known, so that no more than the credit is left.
func (b *Limiter) atWork() {
	b.idleSince = time.Time{}
	for _, a := range b.accounts {
		a.level = min(a.level, b.Credit)
		a.spendable = min(a.spendable, a.spent+b.firstSpendable(a))
	}
}

func (b *Limiter) capacity(a *account) float64 {
	return max(a.limit.Burst, a.limit.Rate/4) * (1 + b.Overshoot)
}

// settle brings an account to the present: it gains its rate and loses what
// peers are assumed to use. What is saved up is kept for the instances that can
// be heard only, as the others save up their own.
func (b *Limiter) settle(a *account, now time.Time) {
	passed := now.Sub(a.at).Seconds()
	if passed <= 0 {
		return
	}
	a.at = now
	rate := a.limit.Rate * (1 + b.Overshoot)
	members := max(1, b.Members())
	silent := b.silent(members, now)
	use := b.reported(a, passed, now) + float64(silent)*rate/float64(members)*passed
	if silent > a.silent && a.level > 0 {
		// What is saved up belongs in equal parts to those that can't be heard.
		use += a.level * float64(silent-a.silent) / float64(members)
	}
	a.silent = silent
	within := b.capacity(a) * float64(members-silent) / float64(members)
	a.level = min(a.level+rate*passed-use, within)
}

// Totals returns what this process has admitted since its start, by workspace,
// to be told to the peers. What was saved up may be spent on from there.
func (b *Limiter) Totals() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	connected := b.connected()
	clear(b.heard)
	for _, a := range b.accounts {
		b.settle(a, now)
		b.renew(a, now, connected)
	}
	out := make(map[string]float64, len(b.accounts))
	for name, a := range b.accounts {
		if a.own != 0 {
			out[name] = math.Round(a.own)
		}
	}
	return out
}

// renew sets what this process may spend until it tells its peers again: its
// equal part of what is saved up, or more where it has had most of the demand.
// While too few peers are heard, nothing is known of their use: then only an
// equal part of the rate is added to what is left.
func (b *Limiter) renew(a *account, now time.Time, connected bool) {
	passed := 0.0
	if !a.told.IsZero() {
		passed = now.Sub(a.told).Seconds()
	}
	share := b.demandShare(a)
	if passed > 0 {
		a.rate += rateWeight * (a.spent/passed - a.rate)
	}
	left := a.spendable - a.spent
	a.told = now
	a.spent = 0
	if !connected {
		a.spendable = left + a.limit.Rate*passed/float64(max(1, b.Members()))
		return
	}
	a.spendable = max(0, a.level) * min(1, spread*share)
}

// demandShare is the part of a workspace's demand that comes to this process. Its
// own newest use doesn't count yet, as the peers' hasn't been told, and a little
// use is assumed everywhere: after a pause nobody takes itself for the only one.
func (b *Limiter) demandShare(a *account) float64 {
	members := float64(max(1, b.Members()))
	assumed := assumedDemand * a.limit.Rate / members
	all := a.rate
	for _, r := range a.reports {
		all += r.rate
	}
	return (a.rate + assumed) / (all + assumed*members)
}
