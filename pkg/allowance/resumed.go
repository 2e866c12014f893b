package allowance

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

// resumedOvershoot is how far streams that are taken up may exceed a limit beyond Overshoot, as a
// part of it.
const resumedOvershoot = 0.8

// TakeResumed is Take for a request that takes a stream up. When instances end, those that are
// left get all their streams at the same moment. These may overdraw the account by what the
// last window has left of the limit, so that no window exceeds it. New requests wait until the
// account has filled again.
func (l *Limiter) TakeResumed(w *routing.Workspace, cost float64, late bool) (wait time.Duration, ok bool) {
	wait, ok = l.Take(w, cost, late)
	if ok {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	a := l.account(w, now)
	if a.spentSinceReport+cost/2 > a.resumeLimit {
		return wait, false
	}
	a.charge(cost, now)
	return 0, true
}

// resetResumeLimit sets what this process may spend from now until its next report if streams are
// taken up.
func (l *Limiter) resetResumeLimit(a *account, now time.Time) {
	members := max(1, l.Members())
	sharing := max(1, members-l.silentPeers(members, now))
	a.resumeLimit = l.windowRest(a, now) / l.reportsPerRound() / float64(sharing)
}

// keepResumeLimit sets the same while too few peers have reported: the unspent part of the last
// one plus an equal share of the rate.
func (l *Limiter) keepResumeLimit(a *account, now time.Time) {
	a.resumeLimit -= a.spentSinceReport
	if !a.reportedAt.IsZero() {
		a.resumeLimit += a.limit.Rate * now.Sub(a.reportedAt).Seconds() / float64(max(1, l.Members()))
	}
}

// raiseResumeLimit does the same as resetResumeLimit before the next report is due, when a peer's
// process is known to have ended.
func (l *Limiter) raiseResumeLimit(a *account, now time.Time) {
	l.resetResumeLimit(a, now)
	a.resumeLimit += a.spentSinceReport
}

// windowCapacity returns the largest use of a window that streams that are taken up may bring about.
func (l *Limiter) windowCapacity(a *account) float64 {
	allowed := a.limit.Rate*(1+l.Overshoot)*window.Seconds() + l.capacity(a)
	return allowed * (1 + resumedOvershoot*l.Overshoot)
}

// windowRest returns what the last window has left of a limit for the instances that report.
func (l *Limiter) windowRest(a *account, now time.Time) float64 {
	return max(0, l.windowCapacity(a)-a.used.total(now)-l.reservedForSilent(a, now))
}

// reservedForSilent returns what the silent members may have used in the last window: an equal
// share of what it had left when they became silent, and of the rate since then.
func (l *Limiter) reservedForSilent(a *account, now time.Time) float64 {
	members := max(1, l.Members())
	if l.silentPeers(members, now) == 0 {
		return 0
	}
	share := l.windowCapacity(a) / float64(members)
	rate := a.limit.Rate * (1 + l.Overshoot) / float64(members)
	reserved := float64(l.unknownPeers(members, now)) * share
	for _, p := range l.peers {
		if !p.reporting && !p.ended {
			reserved += min(share, p.leftover[a.limit.Name]/float64(members)+rate*now.Sub(p.lastSeen).Seconds())
		}
	}
	return reserved
}

// forgetUse counts the limit as used up, as the use before this process started is unknown, but
// for the time in which no instance is known to have admitted a request.
func (l *Limiter) forgetUse(a *account, now time.Time) {
	from := now
	if !l.idleSince.IsZero() {
		from = l.idleSince
	}
	a.used.fill(l.windowCapacity(a), from, now)
}
