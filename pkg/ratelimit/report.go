package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

const (
	// maxReports is the largest number of reports in one message, so that the message fits
	// into a datagram.
	maxReports = 16
	// changePeriod is the time for which a change is part of each message. A lift is for as
	// long as the rate grows again.
	changePeriod = time.Second
	// refreshRounds is the number of messages of which one has refreshReports further
	// limits, in turn, so that new instances hear of them.
	refreshRounds  = 5
	refreshReports = 4
	// maxReportAge is the largest age of a valid report.
	maxReportAge = idleExpireAfter
)

// Report tells the peers of one limit.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// Born is the start of the endpoint's process in Unix milliseconds; 0 if unknown.
	Born int64
	// PerSecond is the limit in requests a second.
	PerSecond float64
	// Lifted is true if the endpoint no longer announces the limit.
	Lifted bool
	// AgeMS is the time since the newest announcement, or since the lift, in milliseconds.
	AgeMS int64
}

// reporter chooses the limits of each message.
type reporter struct {
	round int
	// last is the last limit that was chosen in turn.
	last endpoints.Key
	// news is true if the newest message tells of changes.
	news bool
}

// Reports returns the reports for the next message to the peers.
func (l *Limits) Reports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reporter.news = false
	if l.Active() == 0 {
		return nil
	}
	now := l.Now()
	l.reporter.round++
	refresh := l.reporter.round%refreshRounds == 0
	var changed, others []endpoints.Key
	l.all(func(k endpoints.Key, g *guardedLimit) {
		g.Lock()
		defer g.Unlock()
		switch {
		case now.Sub(g.changedAt) <= changePeriod || !g.inForce():
			changed = append(changed, k)
		case refresh:
			others = append(others, k)
		}
	})
	l.reporter.news = len(changed) > 0
	var reports []Report
	for _, k := range l.reporter.choose(changed, others) {
		if g, ok := l.find(k); ok {
			reports = append(reports, g.report(k, now))
		}
	}
	return reports
}

// HasNews reports whether the newest message to the peers tells of limits that have changed.
func (l *Limits) HasNews() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reporter.news
}

// choose returns the changed limits and then the others in turn, up to maxReports.
func (r *reporter) choose(changed, others []endpoints.Key) []endpoints.Key {
	slices.SortFunc(changed, compareKeys)
	if len(changed) >= maxReports {
		// Successive messages take turns.
		start := r.round * maxReports % len(changed)
		return slices.Concat(changed[start:], changed[:start])[:maxReports]
	}
	slices.SortFunc(others, compareKeys)
	start, _ := slices.BinarySearchFunc(others, r.last, compareKeys)
	if start < len(others) && others[start] == r.last {
		start++
	}
	turn := slices.Concat(others[start:], others[:start])
	turn = turn[:min(len(turn), refreshReports, maxReports-len(changed))]
	if len(turn) > 0 {
		r.last = turn[len(turn)-1]
	}
	return append(changed, turn...)
}

func compareKeys(a, b endpoints.Key) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
}

func (g *guardedLimit) report(k endpoints.Key, now time.Time) Report {
	g.Lock()
	defer g.Unlock()
	return Report{Endpoint: k.ID, Born: k.Born, PerSecond: g.perSecond, Lifted: !g.inForce(), AgeMS: now.Sub(g.newestEvent()).Milliseconds()}
}

// Receive processes the reports of a peer. What is newer than what this instance knows
// replaces it.
func (l *Limits) Receive(reports []Report) {
	for _, r := range reports {
		if err := r.validate(); err != nil {
			l.Log.Warn("ignoring rate limit report", "endpoint", r.Endpoint, "error", err.Error())
			continue
		}
		l.receive(r)
	}
}

func (l *Limits) receive(r Report) {
	k := endpoints.Key{ID: r.Endpoint, Born: r.Born}
	age := time.Duration(r.AgeMS) * time.Millisecond
	at := l.Now().Add(-age)
	g, known := l.find(k)
	switch {
	case r.Lifted && known:
		l.lifted(g, k, at)
	case !r.Lifted && age < lifetime(r.PerSecond):
		l.announced(k, r.PerSecond, at)
	}
}

// validate returns an error if no instance sends such a report.
func (r Report) validate() error {
	valid := r.Endpoint != "" && r.PerSecond >= 0 && !math.IsInf(r.PerSecond, 0) && r.AgeMS >= 0 && r.AgeMS <= maxReportAge.Milliseconds()
	if !valid {
		return ErrReport
	}
	return nil
}
