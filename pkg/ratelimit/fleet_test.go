package ratelimit

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// The platform's bound on requests to an endpoint with a rate limit: from grace after the
// first announcement on, in each window, of instances that got an announcement at least
// notice before.
const (
	grace  = 4 * time.Second
	notice = 500 * time.Millisecond
	window = 4 * time.Second
)

// Parameters of the simulated fleet.
const (
	step = 20 * time.Millisecond
	// reads is the time between two reads of the registrations, and removal the time until
	// a silent instance's registration is removed. An instance that has not read its own
	// for removalMargin uses no limit.
	reads         = 8 * time.Second
	removal       = 30 * time.Second
	removalMargin = 20 * time.Second
	// settles is the time after which a new instance uses limits.
	settles = 10 * time.Second
	// fanout is the number of peers that get one message.
	fanout = 24
)

var limited = endpoints.Key{ID: "i-1", Born: 1}

// instance is a simulated instance whose callers always have a request for the endpoint.
type instance struct {
	id     string
	limits *Limits
	now    time.Time
	// known holds the members that the instance knows, nextRead is its next read.
	known       []string
	nextRead    time.Time
	settledFrom time.Time
	nextTarget  int
	cut, frozen bool
	gone        bool
	silentSince time.Time
	// readAt is the time of the newest read of the registrations.
	readAt time.Time
	// told is when the instance first got an announcement, by the bound's count.
	told time.Time
	// queue holds messages that arrive while the instance is frozen.
	queue [][]Report
}

// simulation is a fleet before one endpoint with a limit.
type simulation struct {
	now        time.Time
	random     *rand.Rand
	instances  []*instance
	registered map[string]bool
	killed     []*instance
	perSecond  float64
	// unlimited is true while the endpoint announces no limit, and idle while there are no
	// callers.
	unlimited, idle bool
	// arrivals holds the times at which requests arrived that the bound counts.
	arrivals []time.Time
	all      int
	// answers holds the answers on their way.
	answers []answerInFlight
}

type answerInFlight struct {
	to           *instance
	limits       *Limits
	sent, arrive time.Time
}

func newSimulation(count int, perSecond float64, seed uint64) *simulation {
	s := &simulation{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), registered: make(map[string]bool), perSecond: perSecond}
	for n := range count {
		s.registered[fmt.Sprintf("gw-%d", n)] = true
	}
	for n := range count {
		s.start(fmt.Sprintf("gw-%d", n), true)
	}
	return s
}

// start starts an instance; known means that its id was registered before.
func (s *simulation) start(id string, known bool) *instance {
	i := &instance{id: id, now: s.now, settledFrom: s.now, nextTarget: s.random.IntN(1000)}
	if !known {
		i.settledFrom = s.now.Add(settles)
	}
	s.registered[id] = true
	i.limits = New(Options{Members: func() Membership { return s.membership(i) }, Metrics: NewMetrics(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler), Now: func() time.Time { return i.now }})
	s.read(i)
	i.nextRead = s.now.Add(time.Duration(s.random.Int64N(int64(reads))))
	s.instances = append(s.instances, i)
	return i
}

func (s *simulation) membership(i *instance) Membership {
	ids := slices.Clone(i.known)
	for _, o := range s.instances {
		if !s.registered[o.id] && !o.cut && !o.frozen && !i.cut && !slices.Contains(ids, o.id) {
			ids = append(ids, o.id) // it sends messages
		}
	}
	return Membership{Self: i.id, IDs: ids, Settled: !i.now.Before(i.settledFrom) && i.now.Sub(i.readAt) <= removalMargin}
}

// read makes an instance read the registrations.
func (s *simulation) read(i *instance) {
	i.known = i.known[:0:0]
	for id := range s.registered {
		i.known = append(i.known, id)
	}
	slices.Sort(i.known)
	if !s.registered[i.id] {
		i.known = append(i.known, i.id)
		s.registered[i.id] = true
		i.nextRead = s.now.Add(time.Second)
		return
	}
	i.readAt = s.now
	i.nextRead = s.now.Add(reads)
}

// removeSilent removes the registrations of instances that are silent for long, if some
// instance is left that does so.
func (s *simulation) removeSilent() {
	if !slices.ContainsFunc(s.instances, func(i *instance) bool { return !i.cut && !i.frozen }) {
		return
	}
	s.killed = slices.DeleteFunc(s.killed, func(i *instance) bool {
		silent := s.now.Sub(i.silentSince) >= removal
		if silent && !slices.ContainsFunc(s.instances, func(o *instance) bool { return o.id == i.id }) {
			delete(s.registered, i.id)
		}
		return silent
	})
	for _, i := range s.instances {
		switch {
		case !i.cut && !i.frozen:
			i.silentSince = s.now
		case s.now.Sub(i.silentSince) >= removal:
			delete(s.registered, i.id)
		}
	}
}

// kill ends an instance without notice.
func (s *simulation) kill(i *instance) {
	i.gone, i.silentSince = true, s.now
	s.killed = append(s.killed, i)
	s.instances = slices.DeleteFunc(s.instances, func(o *instance) bool { return o == i })
}

// restart kills an instance and starts it again under its id.
func (s *simulation) restart(i *instance) {
	s.kill(i)
	s.start(i.id, true)
}

// run advances the time.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		s.deliverAnswers()
		s.removeSilent()
		round := s.now.UnixMilli()%TickInterval.Milliseconds() == 0
		for n, i := range s.instances {
			if i.frozen {
				continue
			}
			i.now = s.now
			if round {
				s.exchange(n)
			}
			s.send(i)
		}
	}
}

// exchange makes an instance update its shares, send a message and process those that
// have arrived.
func (s *simulation) exchange(n int) {
	i := s.instances[n]
	if !s.now.Before(i.nextRead) && !i.cut {
		s.read(i)
	}
	i.limits.Tick()
	reports := i.limits.Reports()
	for _, reports := range i.queue {
		i.limits.Receive(reports)
	}
	i.queue = nil
	if i.cut || len(reports) == 0 {
		return
	}
	for range min(fanout, len(s.instances)-1) {
		i.nextTarget = (i.nextTarget + 1) % len(s.instances)
		if peer := s.instances[i.nextTarget]; peer != i && !peer.cut && s.random.IntN(20) > 0 { // some datagrams are lost
			peer.queue = append(peer.queue, reports)
		}
	}
}

// send sends a request of an instance if its share of the limit permits it. One that knows
// no limit sends four a second.
func (s *simulation) send(i *instance) {
	if s.idle {
		return
	}
	if _, known := i.limits.find(limited); !known && s.random.IntN(int(250*time.Millisecond/step)) > 0 {
		return
	}
	if !i.limits.Available(limited) || !i.limits.Take(limited) {
		return
	}
	s.all++
	if !i.told.IsZero() && s.now.Sub(i.told) >= notice {
		s.arrivals = append(s.arrivals, s.now)
	}
	wait := time.Duration(20+s.random.IntN(300)) * time.Millisecond
	s.answers = append(s.answers, answerInFlight{to: i, limits: i.limits, sent: s.now, arrive: s.now.Add(wait)})
}

// deliverAnswers delivers the answers that have arrived; each announces the limit.
func (s *simulation) deliverAnswers() {
	s.answers = slices.DeleteFunc(s.answers, func(a answerInFlight) bool {
		if a.to.gone {
			return true
		}
		if a.arrive.After(s.now) || a.to.frozen {
			return false
		}
		a.to.now = s.now
		a.limits.Observe(limited, a.sent, Announcement{Limited: !s.unlimited, PerSecond: s.perSecond})
		if a.to.told.IsZero() {
			a.to.told = s.now
		}
		return true
	})
}

// mostInWindow returns the largest number of counted arrivals in a window after a time.
func (s *simulation) mostInWindow(after time.Time) int {
	var in []time.Time
	most := 0
	for _, at := range s.arrivals {
		if at.Before(after) {
			continue
		}
		in = append(in, at)
		for at.Sub(in[0]) >= window {
			in = in[1:]
		}
		most = max(most, len(in))
	}
	return most
}

// allowed returns the platform's bound on mostInWindow.
func (s *simulation) allowed() int { return int(1.5*s.perSecond*window.Seconds() + 5) }

func seeds() []uint64 {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	return []uint64{seed, seed + 1, seed + 2}
}

// Guards against instances that together exceed a rate limit of 2 requests a second, which
// is less than one request for each of them, and against a limit that nobody uses.
func TestLimits_HoldForAnyNumberOfInstances(t *testing.T) {
	for _, count := range []int{1, 6, 83, 880} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			g := NewWithT(t)
			s := newSimulation(count, 2, 1)
			s.run(4 * time.Second)
			after := s.now
			before := s.all
			s.run(20 * time.Second)
			g.Expect(s.mostInWindow(after)).To(BeNumerically("<=", s.allowed()))
			g.Expect(s.all-before).To(BeNumerically(">=", 32), "the limit is used: 40 requests in 20 s are right")
		})
	}
}

// Guards against limits that are exceeded around faults of instances: random ones are cut
// off, frozen, restarted, killed for good and added, some of them at the same time. No
// instance is excused, not even those under a fault.
func TestLimits_HoldThroughFaults(t *testing.T) {
	for _, count := range []int{6, 83} {
		for _, seed := range seeds() {
			t.Run(fmt.Sprintf("%d instances, seed %d", count, seed), func(t *testing.T) {
				s := newSimulation(count, 0.5+float64(seed%4), seed)
				s.run(4 * time.Second)
				after := s.now
				added := 0
				for range 40 {
					s.fault(&added)
					s.run(time.Duration(s.random.IntN(3000)) * time.Millisecond)
				}
				NewWithT(t).Expect(s.mostInWindow(after)).To(BeNumerically("<=", s.allowed()))
			})
		}
	}
}

// fault starts or ends a random fault of a random instance.
func (s *simulation) fault(added *int) {
	i := s.instances[s.random.IntN(len(s.instances))]
	switch s.random.IntN(6) {
	case 0:
		i.cut = !i.cut
	case 1:
		i.frozen = !i.frozen
	case 2:
		s.restart(i)
	case 3:
		*added++
		s.start(fmt.Sprintf("new-%d", *added), false)
	case 4:
		if len(s.instances) > 3 {
			s.kill(i)
		}
	case 5:
		for _, o := range s.instances {
			o.cut, o.frozen = false, false
		}
	}
}

// Guards against a flood of requests to an endpoint that announces its limit again shortly
// after it ceased to, and against a limit that stays after its end.
func TestLimits_HoldWhenAnnouncedAgain(t *testing.T) {
	for _, count := range []int{6, 83} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			g := NewWithT(t)
			s := newSimulation(count, 2, 1)
			s.run(8 * time.Second)
			for _, pause := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
				s.unlimited = true
				s.run(pause)
				s.unlimited = false
				after := s.now
				s.run(6 * time.Second)
				g.Expect(s.mostInWindow(after)).To(BeNumerically("<=", s.allowed()), "after %v", pause)
			}
			s.unlimited = true
			s.run(16 * time.Second)
			for _, i := range s.instances {
				g.Expect(i.limits.Active()).To(BeZero())
			}
		})
	}
}

// Guards against a burst from instances that all wake from a long freeze at once.
func TestLimits_HoldAfterFreezeOfAllInstances(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(83, 2, 1)
	s.run(10 * time.Second)
	for _, pause := range []time.Duration{3 * time.Second, 40 * time.Second} {
		for _, i := range s.instances {
			i.frozen = true
		}
		s.run(pause)
		for _, i := range s.instances {
			i.frozen = false
		}
		after := s.now
		s.run(15 * time.Second)
		g.Expect(s.mostInWindow(after)).To(BeNumerically("<=", s.allowed()))
	}
}

// Guards against instances that start all at once, learn of the limit and keep no share.
func TestLimits_AreUsedAfterRestartOfAllInstances(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(6, 2, 1)
	s.run(10 * time.Second)
	for _, i := range slices.Clone(s.instances) {
		s.restart(i)
	}
	s.run(5 * time.Second)
	after, before := s.now, s.all
	s.run(10 * time.Second)
	g.Expect(s.mostInWindow(after)).To(BeNumerically("<=", s.allowed()))
	g.Expect(s.all - before).To(BeNumerically(">=", 16))
}

// Guards against instances that start at the same time and use a limit while the others,
// who don't know them yet, use all of it.
func TestLimits_HoldWhileManyInstancesJoin(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(6, 2, 1)
	s.run(8 * time.Second)
	after := s.now
	for n := range 77 {
		s.start(fmt.Sprint("new-", n), false)
	}
	s.run(20 * time.Second)
	g.Expect(s.mostInWindow(after)).To(BeNumerically("<=", s.allowed()))
}

// Guards against instances that are frozen while their rate grows after a limit was lifted,
// and wake to find that it has long grown beyond bounds, while it is announced again.
func TestLimits_HoldAfterFreezeWhileLifted(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(83, 2, 1)
	s.run(8 * time.Second)
	s.unlimited = true
	s.run(time.Second)
	for _, i := range s.instances[:40] {
		i.frozen = true
	}
	s.unlimited = false
	s.run(20 * time.Second)
	after := s.now
	for _, i := range s.instances {
		i.frozen = false
		i.queue = nil // the messages of a long freeze don't fit into a socket's buffer
	}
	s.run(6 * time.Second)
	g.Expect(s.mostInWindow(after)).To(BeNumerically("<=", s.allowed()))
}

// Guards against callers that come back after a pause, when all instances have saved up
// requests. In the longer pause some are cut off, removed and replaced meanwhile.
func TestLimits_HoldWhenDemandResumes(t *testing.T) {
	for _, perSecond := range []float64{2, 10, 40} {
		for _, pause := range []time.Duration{12 * time.Second, 38 * time.Second} {
			t.Run(fmt.Sprintf("%v a second after %v", perSecond, pause), func(t *testing.T) {
				g := NewWithT(t)
				s := newSimulation(100, perSecond, 1)
				s.run(8 * time.Second)
				s.idle = true
				s.setCut(5, true)
				s.run(pause)
				s.setCut(5, false)
				s.idle = false
				after := s.now
				s.run(8 * time.Second)
				g.Expect(s.mostInWindow(after)).To(BeNumerically("<=", s.allowed()))
			})
		}
	}
}

// setCut cuts off the first instances, or connects them again.
func (s *simulation) setCut(count int, cut bool) {
	for _, i := range s.instances[:count] {
		i.cut = cut
	}
}
