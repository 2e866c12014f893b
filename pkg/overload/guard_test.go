package overload

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/ratelimit"
)

// instance is a Guard with its own clock and endpoints.
type instance struct {
	*Guard
	now   time.Time
	table *endpoints.Table
	ids   []string
}

// newInstance returns one of six instances, with three endpoints of two services.
func newInstance() *instance {
	i := &instance{now: start, table: endpoints.NewTable(func() {}), ids: []string{"gw-0", "gw-1", "gw-2", "gw-3", "gw-4", "gw-5"}}
	for n, service := range []string{"s1", "s1", "s2"} {
		i.table.Put(endpoints.Info{ID: fmt.Sprintf("i-%d", n), Service: service, Addr: fmt.Sprintf("10.0.0.%d:80", n), Slots: 6, Born: 1})
	}
	i.Guard = New(Options{
		Members:   func() ratelimit.Membership { return ratelimit.Membership{Self: "gw-0", IDs: i.ids, Settled: true} },
		Endpoints: i.table, PeerTimeout: func() time.Duration { return 800 * time.Millisecond },
		Metrics: prometheus.NewRegistry(), Log: slog.New(slog.DiscardHandler), Now: func() time.Time { return i.now }, Random: func() float64 { return 0.5 },
	})
	return i
}

func (i *instance) endpoint(g *WithT, id string) *endpoints.Endpoint {
	e, ok := i.table.ByID(id)
	g.Expect(ok).To(BeTrue())
	return e
}

// fill places requests on an endpoint until it has no more room, and returns their number.
func (i *instance) fill(e *endpoints.Endpoint) int {
	const most = 6
	placed := 0
	for ; placed < most && i.HasRoom(e); placed++ {
		i.Placed(e)
		e.Begin(0, i.now)
	}
	for range placed {
		e.End()
	}
	return placed
}

const unbounded = 6

func sensitive(perSecond float64) Announcement {
	return Announcement{Sensitive: true, PerSecond: perSecond}
}

// Guards against endpoints of a service of which nothing is known yet, such as one that has
// just started, and which get all while the others of their service are sensitive.
func TestGuard_HoldsForAllEndpointsOfService(t *testing.T) {
	g := NewWithT(t)
	i := newInstance()
	g.Expect(i.fill(i.endpoint(g, "i-0"))).To(Equal(unbounded))
	i.Observe(i.endpoint(g, "i-0"), i.now, sensitive(5))
	g.Expect(i.fill(i.endpoint(g, "i-0"))).To(BeNumerically("<", unbounded))
	g.Expect(i.fill(i.endpoint(g, "i-1"))).To(BeNumerically("<", unbounded))
	g.Expect(i.fill(i.endpoint(g, "i-2"))).To(Equal(unbounded), "another service")

	i.table.Put(endpoints.Info{ID: "i-9", Service: "s1", Addr: "10.0.0.9:80", Slots: 6, Born: 2})
	g.Expect(i.fill(i.endpoint(g, "i-9"))).To(BeNumerically("<", unbounded))
}

// Guards against endpoints that count as sensitive for good, and against an older answer that
// arrives late and lifts it.
func TestGuard_EndsWithAnnouncements(t *testing.T) {
	g := NewWithT(t)
	i := newInstance()
	e, other := i.endpoint(g, "i-0"), i.endpoint(g, "i-1")
	sent := i.now
	i.now = i.now.Add(time.Second)
	i.Observe(e, sent, sensitive(5))
	i.fill(other)
	i.Observe(e, sent, Announcement{})
	g.Expect(i.fill(e)).To(BeNumerically("<", unbounded), "the answer is to a request from before")
	i.now = i.now.Add(time.Second)
	i.Observe(e, i.now, Announcement{})
	g.Expect(i.fill(e)).To(Equal(unbounded))
	i.Tick()
	g.Expect(i.fill(other)).To(Equal(unbounded), "nothing is known of it, and its service is no longer sensitive")
	i.Observe(e, i.now, sensitive(5))
	g.Expect(i.fill(e)).To(BeNumerically("<", unbounded), "announced again")

	i.now = i.now.Add(expireAfter + time.Second)
	i.Tick()
	g.Expect(i.Active()).To(BeZero())
	g.Expect(i.fill(e)).To(Equal(unbounded))
}

// Guards against an invalid number that ends what an endpoint announced before, or begins it.
func TestGuard_IgnoresInvalidAnnouncement(t *testing.T) {
	g := NewWithT(t)
	i := newInstance()
	e := i.endpoint(g, "i-0")
	invalid := Announcement{Err: errors.New("invalid")}
	i.Observe(e, i.now, invalid)
	g.Expect(i.Active()).To(BeZero())
	i.Observe(e, i.now, sensitive(5))
	i.now = i.now.Add(time.Second)
	i.Observe(e, i.now, invalid)
	g.Expect(i.fill(e)).To(BeNumerically("<", unbounded))
}

// Guards against an instance that has had no answer of an endpoint and isn't told by its peers,
// and against a report of an announcement that arrives after that of its end.
func TestGuard_TellsPeers(t *testing.T) {
	g := NewWithT(t)
	from, to := newInstance(), newInstance()
	e, known := to.endpoint(g, "i-0"), from.endpoint(g, "i-0")
	from.Observe(known, from.now, sensitive(5))
	announced := from.Reports()
	to.Receive(announced)
	g.Expect(to.fill(e)).To(BeNumerically("<", unbounded))

	from.now = from.now.Add(time.Second)
	to.now = from.now
	from.Observe(known, from.now, Announcement{})
	to.Receive(from.Reports())
	g.Expect(to.fill(e)).To(Equal(unbounded))
	announced[0].AgeMS = 500
	to.Receive(announced)
	g.Expect(to.fill(e)).To(Equal(unbounded))
}

// Guards against a peer's need of its part that isn't told.
func TestGuard_ClaimsItsPart(t *testing.T) {
	g := NewWithT(t)
	owner, borrower := newInstance(), newInstance()
	owner.Observe(owner.endpoint(g, "i-0"), owner.now, sensitive(5))
	borrower.Observe(borrower.endpoint(g, "i-0"), borrower.now, sensitive(5))
	e := borrower.endpoint(g, "i-0")
	for range 4 {
		e.Begin(0, start)
	}
	borrower.Tick()
	e.End()
	g.Expect(borrower.HasRoom(e)).To(BeTrue(), "the peers know of four")

	full := owner.endpoint(g, "i-0")
	full.SetPeerLoad(endpoints.Load{Running: 6}, start)
	g.Expect(owner.HasRoom(full)).To(BeFalse())
	borrower.Receive(owner.Reports())
	g.Expect(borrower.HasRoom(e)).To(BeFalse())
}

// Guards against reports that no instance sends.
func TestGuard_IgnoresInvalidReports(t *testing.T) {
	g := NewWithT(t)
	i := newInstance()
	i.Receive([]Report{
		{Endpoint: "", PerSecond: 5}, {Endpoint: "i-0", Born: 1, PerSecond: -1}, {Endpoint: "i-0", Born: 1, PerSecond: math.NaN()},
		{Endpoint: "i-0", Born: 1, PerSecond: math.Inf(1)}, {Endpoint: "i-0", Born: 1, PerSecond: 5, AgeMS: -1},
		{Endpoint: "i-0", Born: 1, PerSecond: 5, AgeMS: math.MaxInt64}, {Endpoint: "i-0", Born: 2, PerSecond: 5}, {Endpoint: "unknown", PerSecond: 5},
	})
	g.Expect(i.Active()).To(BeZero())
}

// Guards against messages that don't fit into a datagram, and against endpoints that are
// never reported.
func TestGuard_ReportsAllInTurn(t *testing.T) {
	g := NewWithT(t)
	i := newInstance()
	const count = 100
	for n := range count {
		id := fmt.Sprintf("e-%d", n)
		i.table.Put(endpoints.Info{ID: id, Service: "s3", Addr: fmt.Sprintf("10.0.1.%d:80", n), Slots: 6, Born: 1})
		i.Observe(i.endpoint(g, id), i.now, sensitive(5))
	}
	for _, wait := range []time.Duration{0, 2 * changePeriod} {
		i.now = i.now.Add(wait)
		seen := map[string]bool{}
		for range count/maxReports + 1 {
			reports := i.Reports()
			g.Expect(len(reports)).To(BeNumerically("<=", maxReports))
			for _, r := range reports {
				seen[r.Endpoint] = true
			}
		}
		g.Expect(seen).To(HaveLen(count))
	}
}

// BenchmarkHasRoom measures one look at an endpoint, with and without a sensitive one.
func BenchmarkHasRoom(b *testing.B) {
	for _, known := range []bool{false, true} {
		b.Run(fmt.Sprint("sensitive ", known), func(b *testing.B) {
			i := newInstance()
			e, _ := i.table.ByID("i-0")
			if known {
				i.Observe(e, i.now, sensitive(5))
			}
			for range b.N {
				i.HasRoom(e)
			}
		})
	}
}
