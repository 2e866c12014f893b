package allowance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

// Property: the sums that are kept over the peers' reports are those over the reports, after
// any reports, silences, restarts and changes of the time until a silent peer is unreachable.
func TestLimiter_KeepsSumsOverPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		c := &clock{now: time.Unix(1000, 0)}
		timeout := time.Second
		l := New(Options{Overshoot: 0.1, Now: c.Now, PeerTimeout: func() time.Duration { return timeout }, RoundTime: func() time.Duration { return timeout / 4 }, ReportInterval: reportInterval, Members: func() int { return 8 }})
		workspaces := []routing.Workspace{workspace(1000, 1000), workspace(5000, 5000)}
		workspaces[1].Name = "w2"
		l.Open(workspaces)
		boots := make(map[string]uint64)
		totals := make(map[string]map[string]float64)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint(rapid.IntRange(1, 5).Draw(t, "peer"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				boots[id], totals[id] = uint64(c.now.UnixNano()), nil
			case 1:
				timeout = time.Duration(rapid.IntRange(1, 4).Draw(t, "timeout")) * time.Second
			case 2:
				c.now = c.now.Add(40 * time.Second)
			case 3:
				l.Totals()
			default:
				if boots[id] == 0 {
					boots[id] = uint64(c.now.UnixNano())
				}
				if totals[id] == nil {
					totals[id] = make(map[string]float64)
				}
				totals[id][workspaces[rapid.IntRange(0, 1).Draw(t, "workspace")].Name] += float64(rapid.IntRange(0, 800).Draw(t, "cost"))
				l.ReceiveTotals(id, boots[id], totals[id])
			}
			checkSums(g, l)
		}
	})
}

// checkSums compares the kept sums with those over all peers and reports.
func checkSums(g *WithT, l *Limiter) {
	g.THelper()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.checkPeers(now)
	reporting := 0
	for _, p := range l.peers {
		g.Expect(p.reporting).To(Equal(now.Sub(p.lastSeen) <= l.silentAfter()))
		g.Expect(now.Sub(p.lastSeen)).To(BeNumerically("<=", dropPeerAfter))
		if p.reporting {
			reporting++
		}
	}
	g.Expect(l.reporting).To(Equal(reporting))
	for _, a := range l.accounts {
		rate := 0.0
		for id, r := range a.reports {
			if l.peers[id].reporting {
				rate += r.rate
			}
		}
		g.Expect(a.reportingRate).To(BeNumerically("~", rate, 1e-6))
	}
}
