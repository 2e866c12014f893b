package poison

import (
	"context"
	"log/slog"
	"maps"
	"slices"
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
	// MayProbe reports whether this instance is the one that sends the probes of a part.
	MayProbe func(p Part) bool
	Metrics  prometheus.Registerer
	Log      *slog.Logger
	Now      func() time.Time
}

// Guard keeps requests with poison parts away from the endpoints. It is safe for concurrent
// use.
type Guard struct {
	Options
	metrics *metrics
	sound   recentlySound
	// active is true while parts are in quarantine or suspected, so that nothing is locked
	// otherwise.
	active atomic.Bool
	// nextEntry counts the entries that were told to the peers.
	nextEntry atomic.Uint32

	mu         sync.Mutex
	log        crashLog
	quarantine quarantine
	// checks holds the endpoints that are to be checked.
	checks map[endpoints.Key]*check
	// next is to be reported, and soundReported when parts were last reported as sound.
	next          report
	soundReported map[Part]time.Time
}

// New returns a guard that knows of no poison parts.
func New(o Options) *Guard {
	return &Guard{Options: o, metrics: newMetrics(o.Metrics), quarantine: newQuarantine(), checks: make(map[endpoints.Key]*check), soundReported: make(map[Part]time.Time)}
}

// check holds the parts of the requests whose connections to an endpoint ended at the same
// moment: those that broke off, and those whose answers seem complete.
type check struct {
	broken, complete []Part
}

// Verdict says what is to be done with a request.
type Verdict struct {
	// Refused is true if the request must not be sent. RetryAfter is the time after which it
	// may be tried again.
	Refused    bool
	RetryAfter time.Duration
	// Probe is true if the request may be sent once, to check whether its parts are still
	// poison.
	Probe bool
}

// Check decides on a request with the given shared parts before it is sent for the first
// time.
func (g *Guard) Check(parts []Part) Verdict {
	if !g.active.Load() {
		return Verdict{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	entries, wait := g.quarantined(parts, now)
	if len(entries) == 0 {
		return Verdict{}
	}
	if wait > 0 || !g.mayProbe(entries) {
		g.metrics.refused.Inc()
		return Verdict{Refused: true, RetryAfter: max(wait, probeRetryAfter)}
	}
	for p, e := range entries {
		e.scheduleProbe(now)
		g.reportEntry(p, e, now)
	}
	g.metrics.probes.Inc()
	g.Log.Info("probing prompt parts that crashed endpoints", "parts", len(entries))
	return Verdict{Probe: true}
}

// Blocked reports whether a request with the given parts must not be sent any more, and the
// time after which it may be tried again.
func (g *Guard) Blocked(parts []Part) (retryAfter time.Duration, blocked bool) {
	if !g.active.Load() {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	entries, wait := g.quarantined(parts, g.Now())
	return max(wait, probeRetryAfter), len(entries) > 0
}

// quarantined returns the entries of the parts that are in quarantine, and the time until
// all of them may be probed. The caller must hold mu.
func (g *Guard) quarantined(parts []Part, now time.Time) (map[Part]*entry, time.Duration) {
	var found map[Part]*entry
	wait := time.Duration(0)
	for _, p := range parts {
		e, ok := g.quarantine.entries[p]
		if !ok {
			continue
		}
		if found == nil {
			found = make(map[Part]*entry)
		}
		found[p] = e
		wait = max(wait, e.probeAt.Sub(now))
	}
	return found, wait
}

// mayProbe reports whether this instance sends the probes of all parts.
func (g *Guard) mayProbe(entries map[Part]*entry) bool {
	for p := range entries {
		if !g.MayProbe(p) {
			return false
		}
	}
	return true
}

// ProbeNotSent records that a request that was to be a probe was not sent.
func (g *Guard) ProbeNotSent(parts []Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	entries, _ := g.quarantined(parts, now)
	for _, e := range entries {
		e.probeAt = now.Add(unsentProbeDelay)
	}
}

// Survived records that an endpoint has answered a request with the given parts, or goes on
// with the answer.
func (g *Guard) Survived(parts []Part) {
	now := g.Now()
	for _, p := range parts {
		g.sound.record(p, now)
	}
	if !g.active.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range parts {
		if g.clear(p, now) && now.Sub(g.soundReported[p]) >= soundReportInterval {
			g.soundReported[p] = now
			g.next.Sound = append(g.next.Sound, p)
		}
	}
}

// clear drops what is held against a part. It reports whether there was anything. The
// caller must hold mu.
func (g *Guard) clear(p Part, now time.Time) bool {
	released := g.quarantine.release(p, now)
	if released {
		g.Log.Info("prompt part no longer crashes endpoints", "part", uint64(p))
		g.updateMetrics()
	}
	if !g.log.suspected(p) {
		return released
	}
	g.log.clear(p)
	return true
}

// BrokeOff records that the connection of a request with the given parts broke before its
// answer was under way for a while. If the endpoint has ended, that is evidence against
// the parts.
func (g *Guard) BrokeOff(e *endpoints.Endpoint, parts []Part) {
	g.checkLater(e, func(c *check) { c.broken = append(c.broken, parts...) })
}

// Closed records that the answer to such a request ended with its connection. It may be
// complete; if the endpoint has ended, that is evidence against the parts as well.
func (g *Guard) Closed(e *endpoints.Endpoint, parts []Part) {
	g.checkLater(e, func(c *check) { c.complete = append(c.complete, parts...) })
}

// checkLater adds parts to the next check of an endpoint. What ends at an endpoint that is
// leaving is no evidence.
func (g *Guard) checkLater(e *endpoints.Endpoint, add func(c *check)) {
	if e.Info().Leaving {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	k := e.Key()
	c, ok := g.checks[k]
	if !ok {
		c = &check{}
		g.checks[k] = c
		time.AfterFunc(collectTime, func() { g.checkEnded(k, e) })
	}
	add(c)
}

// checkEnded records a crash if the process of an endpoint has ended.
func (g *Guard) checkEnded(k endpoints.Key, e *endpoints.Endpoint) {
	ended := g.Ended(e.Addr)
	g.mu.Lock()
	c := g.checks[k]
	delete(g.checks, k)
	g.mu.Unlock()
	if ended {
		g.recordCrash(k, append(c.broken, c.complete...))
	} else {
		g.Survived(c.complete)
	}
}

// recordCrash records a crash that this instance has seen.
func (g *Guard) recordCrash(k endpoints.Key, parts []Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	g.metrics.crashes.Inc()
	slices.Sort(parts)
	parts = slices.Compact(parts)
	parts = slices.DeleteFunc(parts, func(p Part) bool { return g.sound.has(p, now) })
	g.Log.Info("endpoint ended with requests", "endpoint", k.ID, "suspected_parts", len(parts))
	g.addCrash(processOf(k), parts, now)
	g.next.Crashes = append(g.next.Crashes, crashReport{Process: processOf(k), Parts: parts})
}

// addCrash records a crash. The caller must hold mu.
func (g *Guard) addCrash(p process, parts []Part, now time.Time) {
	c := g.log.add(p, parts, now)
	for part := range c.parts {
		if _, ok := g.quarantine.entries[part]; ok {
			c.explained = true
		}
	}
	g.active.Store(true)
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
		g.addCrash(c.Process, c.Parts, now)
	}
	for _, p := range r.Sound {
		g.clear(p, now)
	}
	g.merge(r.Entries, now)
}

// Entries returns all parts in quarantine, sorted.
func (g *Guard) Entries() []Entry {
	if !g.active.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.list(g.Now())
}

// NextEntries returns some of the parts in quarantine for a message to the peers, in turn.
func (g *Guard) NextEntries() []Entry {
	list := g.Entries()
	if len(list) <= entriesPerMessage {
		return list
	}
	first := int(g.nextEntry.Add(entriesPerMessage)) % len(list)
	return append(list[first:], list[:first]...)[:entriesPerMessage]
}

// Merge takes over parts in quarantine from a peer or from the store.
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
	for _, p := range g.quarantine.merge(list, now) {
		g.active.Store(true)
		g.log.explain(p)
		g.Log.Warn("prompt part crashes endpoints", "part", uint64(p), "source", "peer")
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
	for _, p := range g.log.poison(now) {
		g.convict(p, now)
	}
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
	maps.DeleteFunc(g.soundReported, func(_ Part, at time.Time) bool { return now.Sub(at) >= soundReportInterval })
	if len(g.log.crashes)+len(g.quarantine.entries)+len(g.quarantine.released) == 0 {
		g.active.Store(false)
	}
	return out
}

// convict puts a part into quarantine. The caller must hold mu.
func (g *Guard) convict(p Part, now time.Time) {
	g.log.explain(p)
	if !g.quarantine.add(p, now) {
		return
	}
	g.Log.Warn("prompt part crashes endpoints", "part", uint64(p), "source", "own evidence")
	g.reportEntry(p, g.quarantine.entries[p], now)
}

// reportEntry adds an entry to the next report. The caller must hold mu.
func (g *Guard) reportEntry(p Part, e *entry, now time.Time) {
	g.next.Entries = append(g.next.Entries, e.toEntry(p, now))
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
