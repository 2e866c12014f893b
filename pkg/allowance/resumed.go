package allowance

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

// resumedShare is how often all instances together may spend the balance on streams that are
// taken up, beyond what they may spend between two reports, if the caller uses half of its limit
// or less. Those streams were charged when they began, so that a caller that is well below its
// limit hardly exceeds it by taking them up.
const resumedShare = 2.0

// TakeResumed is Take for a request that takes a stream up. When instances end, those that are
// left get all their streams at the same moment, before it is known which are left: each may
// spend a part of what the balance was when its peers last reported.
func (l *Limiter) TakeResumed(w *routing.Workspace, cost float64, late bool) (wait time.Duration, ok bool) {
	wait, ok = l.Take(w, cost, late)
	if ok {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w, l.Now())
	if a.resumeBudget <= 0 {
		return wait, false
	}
	a.resumeBudget -= cost
	a.balance -= min(cost, max(0, a.balance))
	a.admitted += cost
	return 0, true
}

// resetResumeBudget sets what this process may spend on streams that are taken up until its peers
// have reported again.
func (l *Limiter) resetResumeBudget(a *account) {
	unused := 1 - (a.spendRate+a.peerDemand)/a.limit.Rate
	share := resumedShare * min(1, 2*max(0, unused))
	a.resumeBudget = share / float64(max(1, l.Members())) * max(0, a.balance)
}
