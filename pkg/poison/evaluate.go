package poison

import (
	"context"
	"maps"
	"time"

	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Run evaluates the evidence and sends reports until the context ends.
func (g *Guard) Run(ctx context.Context) error {
	for sleep.For(ctx, TickInterval) {
		g.Tick()
	}
	return nil
}

// Tick evaluates the evidence and sends what is to be reported.
func (g *Guard) Tick() {
	for _, r := range g.tick() {
		g.send(r)
	}
}

// tick returns the reports to be sent.
func (g *Guard) tick() []report {
	if !g.active.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	g.log.expire(now)
	g.evaluate(now)
	g.quarantine.expire(now)
	g.updateMetrics()
	if count := len(g.next.Crashes); count > maxReportedCrashes {
		g.Log.Info("many endpoints ended at once; not reported", "endpoints", count)
		g.next.Crashes = nil
	}
	if len(g.next.Unconfirmed) > maxReportedCrashes {
		g.next.Unconfirmed = nil
	}
	var out []report
	for !g.next.empty() {
		out = append(out, g.next.take())
	}
	maps.DeleteFunc(g.nextTrial, func(_ Trait, at time.Time) bool { return !now.Before(at) })
	maps.DeleteFunc(g.soundReported, func(_ Trait, at time.Time) bool { return now.Sub(at) >= soundReportInterval })
	if len(g.log.crashes)+len(g.quarantine.entries)+len(g.quarantine.released) == 0 {
		g.active.Store(false)
	}
	return out
}

// evaluate puts traits against which there is enough evidence into quarantine. The caller must
// hold mu.
func (g *Guard) evaluate(now time.Time) {
	if g.lastCrash.IsZero() {
		return
	}
	for _, find := range []func(now time.Time) []Trait{g.log.poisonParts, g.log.poisonRequests} {
		for _, t := range find(now) {
			g.convict(t, now)
		}
	}
	g.countSentBefore(now)
	if now.Sub(g.lastCrash) >= settleTime {
		g.lastCrash = time.Time{}
	}
}

// countSentBefore counts crashes under requests that were on their way when these were put into
// quarantine as probes, as those before are. The caller must hold mu.
func (g *Guard) countSentBefore(now time.Time) {
	for t, e := range g.quarantine.entries {
		if now.Sub(e.since) >= checkDelay {
			continue
		}
		late := g.log.lateCrashes(t)
		for e.probes < late {
			e.scheduleProbe(t.kind(), now)
			g.reportEntry(t, e, now)
		}
	}
}

// convict puts a trait into quarantine. The caller must hold mu.
func (g *Guard) convict(t Trait, now time.Time) {
	late := g.log.lateCrashes(t)
	g.log.explain(t)
	if !g.quarantine.add(t, late, now) {
		return
	}
	g.Log.Warn("request crashes endpoints", "kind", t.kind().String(), "trait", t.hash(), "source", "own evidence")
	g.reportEntry(t, g.quarantine.entries[t], now)
}

// reportEntry adds an entry to the next report. The caller must hold mu.
func (g *Guard) reportEntry(t Trait, e *entry, now time.Time) {
	g.next.Entries = append(g.next.Entries, e.toEntry(t, now))
}

func (g *Guard) updateMetrics() { g.metrics.quarantined.Set(float64(len(g.quarantine.entries))) }

// send sends a report twice, since datagrams may be lost.
func (g *Guard) send(r report) {
	data, err := r.encode()
	if err != nil {
		g.Log.Error("failed to encode report of crashes", "error", err.Error())
		return
	}
	g.Broadcast(data)
	time.AfterFunc(repeatDelay, func() { g.Broadcast(data) })
}
