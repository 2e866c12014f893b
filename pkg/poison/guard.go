package poison

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// TickInterval is the interval of Run's work.
	TickInterval = 50 * time.Millisecond
	// collectTime is the time in which the requests that break off with an endpoint are
	// collected before it is checked whether the endpoint has ended.
	collectTime = 25 * time.Millisecond
	// repeatDelay is the time after which a report is sent again, since datagrams may be
	// lost.
	repeatDelay = 100 * time.Millisecond
	// maxReportedCrashes is the largest number of crashes in the time of one tick that an
	// instance reports. More at once have another cause than single requests, and all
	// instances would report them at the same moment.
	maxReportedCrashes = 8
	// soundReportInterval is the least time between two reports that a part is sound.
	soundReportInterval = 300 * time.Millisecond
	// entriesPerMessage is the largest number of parts in quarantine in one message.
	entriesPerMessage = 8
	// probeRetryAfter is the time after which callers may try again while a probe is due.
	probeRetryAfter = 5 * time.Second
)

// Options configures a Guard. All fields are required.
type Options struct {
	// Ended reports whether the process at an address has ended: it accepts no connections.
	Ended func(addr string) bool
	// Broadcast sends an encoded report to all peers. It doesn't block.
	Broadcast func(data []byte)
	// MayProbe reports whether this instance is the one that sends the probes of a trait.
	MayProbe func(t Trait) bool
	Metrics  prometheus.Registerer
	Log      *slog.Logger
	Now      func() time.Time
}

// Guard keeps requests with poison traits away from the endpoints. It is safe for concurrent
// use.
type Guard struct {
	Options
	metrics *metrics
	sound   recentlySound
	// active is true while traits are in quarantine or suspected, so that nothing is locked
	// otherwise.
	active atomic.Bool
	// nextEntry counts the entries that were told to the peers.
	nextEntry atomic.Uint32

	mu         sync.Mutex
	log        crashLog
	quarantine quarantine
	// checks holds the endpoints that are to be checked.
	checks map[endpoints.Key]*check
	// lastCrash is when a crash was last reported; zero if all evidence has been evaluated.
	lastCrash time.Time
	// next is to be reported, and soundReported when traits were last reported as sound.
	next          report
	soundReported map[Trait]time.Time
}

// New returns a guard that knows of no poison traits.
func New(o Options) *Guard {
	return &Guard{
		Options: o, metrics: newMetrics(o.Metrics), log: newCrashLog(), quarantine: newQuarantine(),
		checks: make(map[endpoints.Key]*check), soundReported: make(map[Trait]time.Time),
	}
}

// Verdict says what is to be done with a request.
type Verdict struct {
	// Refused is true if the request must not be sent. RetryAfter is the time after which it
	// may be tried again.
	Refused    bool
	RetryAfter time.Duration
	// Whole is true if it is refused as a whole, false if it is for a part of its prompt.
	Whole bool
	// Probe is true if the request may be sent once, to check whether its traits are still
	// poison.
	Probe bool
}

// Check decides on a request before it is sent for the first time.
func (g *Guard) Check(r Request) Verdict {
	if !g.active.Load() {
		return Verdict{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	entries, v := g.quarantined(r, now)
	if len(entries) == 0 {
		return Verdict{}
	}
	if v.RetryAfter > 0 || !g.mayProbe(entries) {
		g.metrics.refused.Inc()
		v.RetryAfter = max(v.RetryAfter, probeRetryAfter)
		return v
	}
	for t, e := range entries {
		e.scheduleProbe(t.kind(), now)
		g.reportEntry(t, e, now)
	}
	g.metrics.probes.Inc()
	g.Log.Info("probing request that crashed endpoints", "traits", len(entries))
	return Verdict{Probe: true}
}

// Blocked decides on a request that was sent before, or on a probe that waits. Its verdict is
// never a probe.
func (g *Guard) Blocked(r Request) Verdict {
	if !g.active.Load() {
		return Verdict{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, v := g.quarantined(r, g.Now())
	if v.Refused {
		v.RetryAfter = max(v.RetryAfter, probeRetryAfter)
	}
	return v
}

// MayResend reports whether a request that broke off may be sent again for the same try of its
// caller. One that has crashed several endpoints may not: its callers' further tries are
// enough to tell whether it is poison.
func (g *Guard) MayResend(r Request) bool {
	if !g.active.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.log.suspectedRequest(r)
}

// quarantined returns the entries of the traits that are in quarantine, and the verdict until
// all of them may be probed. The caller must hold mu.
func (g *Guard) quarantined(r Request, now time.Time) (map[Trait]*entry, Verdict) {
	var found map[Trait]*entry
	var v Verdict
	for _, t := range r.traits() {
		e, ok := g.quarantine.entries[t]
		if !ok {
			continue
		}
		if found == nil {
			found = make(map[Trait]*entry)
		}
		found[t] = e
		v.Refused = true
		v.Whole = v.Whole || t.kind() != kindPart
		v.RetryAfter = max(v.RetryAfter, g.quarantine.due(e).Sub(now))
	}
	return found, v
}

// mayProbe reports whether this instance sends the probes of all traits.
func (g *Guard) mayProbe(entries map[Trait]*entry) bool {
	for t := range entries {
		if !g.MayProbe(t) {
			return false
		}
	}
	return true
}

// ProbeNotSent records that a request that was to be a probe was not sent.
func (g *Guard) ProbeNotSent(r Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	entries, _ := g.quarantined(r, now)
	for _, e := range entries {
		e.probeAt, e.scheduledAt = now.Add(unsentProbeDelay), now
	}
}

// Survived records that an endpoint has answered a request, or goes on with the answer.
func (g *Guard) Survived(r Request) {
	now := g.Now()
	traits := r.traits()
	for _, t := range traits {
		g.sound.record(t, now)
	}
	if !g.active.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range traits {
		if g.clear(t, now) && now.Sub(g.soundReported[t]) >= soundReportInterval {
			g.soundReported[t] = now
			g.next.Sound = append(g.next.Sound, t)
		}
	}
}

// clear drops what is held against a trait. It reports whether there was anything. The
// caller must hold mu.
func (g *Guard) clear(t Trait, now time.Time) bool {
	released := g.quarantine.release(t, now)
	if released {
		g.Log.Info("request no longer crashes endpoints", "kind", t.kind().String(), "trait", t.hash())
		g.updateMetrics()
	}
	if !g.log.suspected(t) {
		return released
	}
	g.log.clear(t)
	return true
}

// Receive records a peer's report.
func (g *Guard) Receive(data []byte) {
	r, err := decodeReport(data)
	if err != nil {
		g.Log.Warn("failed to decode report of crashes from peer", "error", err.Error())
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	for _, c := range r.Crashes {
		g.addCrash(c.Process, c.Requests, now)
	}
	for _, t := range r.Sound {
		g.clear(t, now)
	}
	g.merge(r.Entries, now)
}

// Entries returns all traits in quarantine, sorted.
func (g *Guard) Entries() []Entry {
	if !g.active.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.list(g.Now())
}

// NextEntries returns some of the traits in quarantine for a message to the peers, in turn.
func (g *Guard) NextEntries() []Entry {
	list := g.Entries()
	if len(list) <= entriesPerMessage {
		return list
	}
	first := int(g.nextEntry.Add(entriesPerMessage)) % len(list)
	return append(list[first:], list[:first]...)[:entriesPerMessage]
}

// Merge takes over traits in quarantine from a peer or from the store.
func (g *Guard) Merge(list []Entry) {
	if len(list) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.merge(list, g.Now())
}

// merge is Merge for a caller that holds mu.
func (g *Guard) merge(list []Entry, now time.Time) {
	for _, t := range g.quarantine.merge(list, now) {
		g.active.Store(true)
		g.log.explain(t)
		g.Log.Warn("request crashes endpoints", "kind", t.kind().String(), "trait", t.hash(), "source", "peer")
	}
	g.updateMetrics()
}

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
	var out []report
	for !g.next.empty() {
		out = append(out, g.next.take())
	}
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
