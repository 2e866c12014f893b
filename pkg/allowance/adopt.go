package allowance

import (
	"math"
	"time"
)

// Account is what an instance knows of a workspace's account, for a peer that has just started.
type Account struct {
	_ struct{} `cbor:",toarray"`
	// Balance is the cost that all instances may admit now; a negative one is a debt.
	Balance float64
	// Used is the known use in the last window, by second, the newest first.
	Used []float64
}

// Accounts returns the accounts, by workspace, for a peer that has just started. It is nil if this
// instance itself doesn't know them: it has started lately, or hears few of the others.
func (l *Limiter) Accounts() map[string]Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.checkPeers(now)
	if 2*l.reporting < l.Members()-1 {
		return nil
	}
	out := make(map[string]Account, len(l.accounts))
	for name, a := range l.accounts {
		if !l.knowsUse(a, now) {
			continue
		}
		l.refresh(a, now)
		out[name] = Account{Balance: math.Round(a.balance), Used: rounded(a.used.parts(now))}
	}
	return out
}

// rounded returns whole numbers, which take less room in a message.
func rounded(list []float64) []float64 {
	for i, v := range list {
		list[i] = math.Round(v)
	}
	return list
}

// knowsUse reports whether this instance knows the use of a limit in the last window.
func (l *Limiter) knowsUse(a *account, now time.Time) bool {
	return a.adopted || now.Sub(l.startedAt) > window
}

// Adopt takes over the accounts that a peer knows, less what this process has admitted, unless it
// knows them itself. Otherwise the use before its start is unknown, and little of a limit may be
// spent. Accounts that aren't open yet are taken over when they are.
func (l *Limiter) Adopt(accounts map[string]Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if now.Sub(l.startedAt) > window {
		return
	}
	for name, known := range accounts {
		if a, ok := l.accounts[name]; ok {
			l.refresh(a, now)
			l.adopt(a, known, now)
		} else {
			l.offered[name] = known
		}
	}
}

// adopt takes over an account that a peer knows, unless this has been done.
func (l *Limiter) adopt(a *account, known Account, now time.Time) {
	if a.adopted {
		return
	}
	a.adopted = true
	a.balance = min(known.Balance, l.capacity(a)) - a.admitted
	a.used.setParts(known.Used, now)
	a.used.add(a.admitted, now)
	l.raiseResumeLimit(a, now)
}
