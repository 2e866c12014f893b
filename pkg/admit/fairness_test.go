package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// driver runs the schedulers of several entries on a simulated clock. Requests only occupy
// a slot for a time; endpoints are not simulated.
type driver struct {
	now      time.Time
	entries  []*entryDriver
	events   eventQueue
	seq      int
	rng      *rand.Rand
	duration func(workspace string) time.Duration
	// runTime sums the time that the requests of each workspace ran.
	runTime map[string]time.Duration
	// maxRunning is the largest number of requests that ran at the same time.
	maxRunning, running int
}

type entryDriver struct {
	s       *scheduler
	tickets []*ticket
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newDriver(entries, slots int, seed uint64) *driver {
	d := &driver{now: t0, rng: rand.New(rand.NewPCG(seed, 1)), runTime: make(map[string]time.Duration)}
	d.duration = func(string) time.Duration { return time.Duration(d.rng.ExpFloat64() * float64(time.Second)) }
	var ids []string
	for i := range entries {
		ids = append(ids, fmt.Sprint(i))
	}
	for i := range entries {
		s := newScheduler()
		s.capacity, s.capacityKnown = Capacity{"a": slots}, true
		s.peers.setLive(withoutSelf(ids, fmt.Sprint(i)))
		d.entries = append(d.entries, &entryDriver{s: s})
	}
	return d
}

func (d *driver) at(t time.Time, do func()) {
	d.seq++
	heap.Push(&d.events, event{at: t, seq: d.seq, do: do})
}

// run processes the events up to a time.
func (d *driver) run(until time.Time) {
	for len(d.events) > 0 && !d.events[0].at.After(until) {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		e.do()
	}
	d.now = until
}

// every runs a function periodically.
func (d *driver) every(interval time.Duration, do func()) {
	d.at(d.now.Add(interval), func() {
		do()
		d.every(interval, do)
	})
}

func (d *driver) submit(entry int, r *Request) (*ticket, *Refusal) {
	e := d.entries[entry]
	k, refusal := e.s.submit(d.now, r)
	if refusal == nil {
		e.tickets = append(e.tickets, k)
	}
	d.collect(e)
	return k, refusal
}

// collect schedules the ends of the requests that have started.
func (d *driver) collect(e *entryDriver) {
	kept := e.tickets[:0]
	for _, k := range e.tickets {
		switch {
		case k.refusal != nil:
		case !k.started.IsZero():
			d.begin(e, k)
		default:
			kept = append(kept, k)
		}
	}
	e.tickets = kept
}

func (d *driver) begin(e *entryDriver, k *ticket) {
	d.running++
	d.maxRunning = max(d.maxRunning, d.running)
	duration := d.duration(k.flow.key.workspace)
	d.at(d.now.Add(duration), func() {
		d.running--
		d.runTime[k.flow.key.workspace] += duration
		e.s.finish(d.now, k)
		d.collect(e)
	})
}

// exchange sends the usage of each entry to all others.
func (d *driver) exchange() {
	for i, from := range d.entries {
		flows := from.s.usage("s")
		for j, to := range d.entries {
			if i != j {
				to.s.peers.put(fmt.Sprint(i), &peerUsage{receivedAt: d.now, flows: flows})
			}
		}
	}
	for _, e := range d.entries {
		e.s.tick(d.now)
		d.collect(e)
	}
}

// source keeps a number of a workspace's requests running or waiting.
type source struct {
	name     string
	weight   int
	priority int
	backlog  int
	// entry is the entry to which all its requests are sent, or -1 for a random one each.
	entry int
}

// topUp submits requests of a source up to its backlog.
func (d *driver) topUp(s source) {
	n := 0
	for _, e := range d.entries {
		for _, f := range e.s.flows {
			if f.key.workspace == s.name {
				n += f.localCount()
			}
		}
	}
	for ; n < s.backlog; n++ {
		entry := s.entry
		if entry < 0 {
			entry = d.rng.IntN(len(d.entries))
		}
		_, _ = d.submit(entry, requestOf(s.name, s.weight, s.priority, d.now.Add(time.Minute)))
	}
}

// measureShares runs sources and returns the mean number of running requests of each
// workspace after a warm-up of ten seconds.
func measureShares(d *driver, duration time.Duration, sources []source) map[string]float64 {
	d.every(250*time.Millisecond, d.exchange)
	d.every(20*time.Millisecond, func() {
		for _, s := range sources {
			d.topUp(s)
		}
	})
	d.run(t0.Add(10 * time.Second))
	before := make(map[string]time.Duration)
	for w, ran := range d.runTime {
		before[w] = ran
	}
	d.run(t0.Add(10*time.Second + duration))
	out := make(map[string]float64)
	for w, ran := range d.runTime {
		out[w] = (ran - before[w]).Seconds() / duration.Seconds()
	}
	return out
}

// jain returns Jain's fairness index: 1 if all values are equal.
func jain(x []float64) float64 {
	total, squares := 0.0, 0.0
	for _, v := range x {
		total += v
		squares += v * v
	}
	return total * total / (float64(len(x)) * squares)
}

func sum(x map[string]float64) float64 {
	total := 0.0
	for _, v := range x {
		total += v
	}
	return total
}

// One workspace has far more requests than there are slots. Small workspaces, with demand
// above or below their share, must still get their fair share, including the one whose
// requests all go to a single entry.
func TestScheduler_SmallWorkspacesGetFairShare(t *testing.T) {
	const slots = 72
	for seed := range uint64(3) {
		d := newDriver(6, slots, seed+1)
		got := measureShares(d, time.Minute, []source{
			{name: "giant", weight: 4, priority: 5, backlog: 900, entry: -1},
			{name: "large", weight: 4, priority: 5, backlog: 100, entry: -1},
			{name: "small-1", weight: 1, priority: 5, backlog: 20, entry: -1},
			{name: "small-2", weight: 1, priority: 5, backlog: 20, entry: 2},
			{name: "modest", weight: 1, priority: 5, backlog: 3, entry: -1},
		})
		// Max-min fairness: modest gets its 3 slots; the others share 69 by weight.
		fair := map[string]float64{"giant": 27.6, "large": 27.6, "small-1": 6.9, "small-2": 6.9, "modest": 3}
		var ratios []float64
		for w, share := range fair {
			ratios = append(ratios, got[w]/share)
			t.Logf("seed %d: %s: %.2f running on average, fair share %.2f", seed+1, w, got[w], share)
			if w != "giant" && w != "large" && got[w] < 0.95*share {
				t.Errorf("seed %d: %s: %.2f running on average, under 95%% of its fair share %.2f", seed+1, w, got[w], share)
			}
		}
		if j := jain(ratios); j < 0.99 {
			t.Errorf("seed %d: Jain's index is %.4f", seed+1, j)
		}
		if limit := slots + 2*len(d.entries); d.maxRunning > limit {
			t.Errorf("seed %d: %d requests ran at the same time on %d slots", seed+1, d.maxRunning, slots)
		}
		if mean := sum(got); mean < 0.97*slots || mean > 1.03*slots {
			t.Errorf("seed %d: %.1f requests ran on average on %d slots", seed+1, mean, slots)
		}
		t.Logf("seed %d: Jain's index %.4f, at most %d running", seed+1, jain(ratios), d.maxRunning)
	}
}

// All demand is at one of six entries, which must get the capacity that the others don't use.
func TestScheduler_OneEntryUsesUnusedCapacity(t *testing.T) {
	d := newDriver(6, 72, 1)
	got := measureShares(d, 30*time.Second, []source{{name: "only", weight: 1, priority: 5, backlog: 100, entry: 0}})
	if got["only"] < 0.95*72 {
		t.Errorf("the only workspace uses %.1f of 72 slots", got["only"])
	}
}

// The usage of five of six live entries is not known; their equal shares stay reserved.
func TestScheduler_ReservesCapacityForUnreportedEntries(t *testing.T) {
	d := newDriver(6, 72, 1)
	started := 0
	for range 100 {
		if k, refusal := d.submit(0, requestOf("w", 1, 5, d.now.Add(time.Minute))); refusal == nil && !k.started.IsZero() {
			started++
		}
	}
	if started != 12 {
		t.Errorf("%d requests started, want 12: one sixth of 72 slots", started)
	}
}
