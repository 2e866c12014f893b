package overload

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
	// changePeriod is the time for which a change comes first in the messages.
	changePeriod = time.Second
	// maxReportAge is the largest age of a valid report.
	maxReportAge = 2 * expireAfter
)

// Report tells the peers of one endpoint.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// Born is the start of the endpoint's process in Unix milliseconds; 0 if unknown.
	Born int64
	// PerSecond is the number of refusals a second that it withstands.
	PerSecond float64
	// Lifted is true if the endpoint no longer announces that it is sensitive.
	Lifted bool
	// AgeMS is the time since the newest answer that says so, in milliseconds.
	AgeMS int64
	// Wanted is true if others use the sender's part of the endpoint, which it needs.
	Wanted bool
}

// Reports returns the reports for the next message to the peers: what has changed or is needed,
// and of the others some in turn.
func (g *Guard) Reports() []Report {
	if g.Active() == 0 {
		return nil
	}
	now := g.Now()
	var urgent, others []Report
	g.each(func(k endpoints.Key, s *state) {
		if s.inherited {
			return
		}
		r := Report{Endpoint: k.ID, Born: k.Born, PerSecond: s.share.perSecond, Lifted: !s.sensitive(), AgeMS: now.Sub(s.newestEvent()).Milliseconds(), Wanted: now.Before(s.share.wantedUntil)}
		if r.Wanted || now.Sub(s.changedAt) <= changePeriod {
			urgent = append(urgent, r)
		} else {
			others = append(others, r)
		}
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	return append(g.inTurn(urgent, maxReports), g.inTurn(others, maxReports-min(maxReports, len(urgent)))...)
}

// inTurn returns up to count reports, which follow the last one that it returned. The caller
// holds mu.
func (g *Guard) inTurn(list []Report, count int) []Report {
	slices.SortFunc(list, func(a, b Report) int { return compareKeys(a.key(), b.key()) })
	start, found := slices.BinarySearchFunc(list, g.lastReport, func(r Report, k endpoints.Key) int { return compareKeys(r.key(), k) })
	if found {
		start++
	}
	turn := slices.Concat(list[start:], list[:start])
	turn = turn[:min(count, len(turn))]
	if len(turn) > 0 {
		g.lastReport = turn[len(turn)-1].key()
	}
	return turn
}

func (r Report) key() endpoints.Key { return endpoints.Key{ID: r.Endpoint, Born: r.Born} }

func compareKeys(a, b endpoints.Key) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
}

// Receive processes the reports of a peer. What is newer than what this instance knows replaces
// it.
func (g *Guard) Receive(reports []Report) {
	for _, r := range reports {
		if err := r.validate(); err != nil {
			g.Log.Warn("ignoring report of sensitivity to overload", "endpoint", r.Endpoint, "error", err.Error())
			continue
		}
		// An endpoint that isn't registered here gets no requests from here.
		if e, ok := g.Endpoints.ByID(r.Endpoint); ok && e.Key() == r.key() {
			g.receive(e, r)
		}
	}
}

func (g *Guard) receive(e *endpoints.Endpoint, r Report) {
	age := time.Duration(r.AgeMS) * time.Millisecond
	if age > expireAfter {
		return
	}
	at := g.Now().Add(-age)
	if r.Lifted {
		g.lifted(e, at)
		return
	}
	g.announced(e, r.PerSecond, at)
	if r.Wanted {
		g.claimed(e)
	}
}

// claimed records that a peer needs its part of an endpoint.
func (g *Guard) claimed(e *endpoints.Endpoint) {
	s, ok := g.sensitive(e)
	if !ok {
		return
	}
	s.Lock()
	defer s.Unlock()
	s.share.claimedUntil = g.Now().Add(g.PeerTimeout() / 2)
}

// validate returns an error if no instance sends such a report.
func (r Report) validate() error {
	valid := r.Endpoint != "" && r.PerSecond >= 0 && !math.IsInf(r.PerSecond, 0) && r.AgeMS >= 0 && r.AgeMS <= maxReportAge.Milliseconds()
	if !valid {
		return ErrReport
	}
	return nil
}
