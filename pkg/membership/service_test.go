package membership

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	"github.com/medlarsill/medlarsill/pkg/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fabric carries calls between services in one process, through gob as the
// real transport does. A call over a silent link hangs until its context ends.
type fabric struct {
	mu       sync.Mutex
	services map[string]*Service
	silent   map[[2]string]bool
}

type fabricCaller struct {
	f    *fabric
	from string
}

func (c fabricCaller) CallAddr(ctx context.Context, addr, method string, args, reply any) error {
	c.f.mu.Lock()
	s := c.f.services[addr]
	silent := c.f.silent[[2]string{c.from, addr}]
	c.f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return peer.ErrNoAnswer
	}
	if s == nil {
		return peer.ErrUnreachable
	}
	return serve(s.RPC(), method, args, reply)
}

func serve(r *RPC, method string, args, reply any) error {
	switch method {
	case methodHeartbeat:
		return via(r.Heartbeat, args, reply)
	case methodProbe:
		return via(r.Probe, args, reply)
	case methodExchange:
		return via(r.Exchange, args, reply)
	case methodLeaving:
		return via(r.Leaving, args, reply)
	case methodMissing:
		return via(r.Missing, args, reply)
	}
	return peer.ErrRemote
}

func via[A, R any](f func(A, *R) error, args, reply any) error {
	var a A
	var r R
	if err := copyGob(args, &a); err != nil {
		return err
	}
	if err := f(a, &r); err != nil {
		return err
	}
	return copyGob(r, reply)
}

func copyGob(from, to any) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(from); err != nil {
		return err
	}
	return gob.NewDecoder(&b).Decode(to)
}

// told records the leaving endpoints that a service reports.
type told struct {
	mu   sync.Mutex
	left map[string]time.Duration
	at   map[string]time.Time
}

func (t *told) hook(id string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left[id], t.at[id] = left, time.Now()
}

func (t *told) has(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.left[id]
	return ok
}

func newService(f *fabric, m Member, t *told) *Service {
	s := NewService(Options{
		Self: m, Directory: &peer.Directory{}, Caller: fabricCaller{f, m.Addr},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: NewMetrics(prometheus.NewRegistry()),
		Now: time.Now, Rand: rand.New(rand.NewPCG(m.Boot, 1)), OnLeaving: t.hook,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services[m.Addr] = s
	return s
}

// start runs n services that know each other until the returned function is called.
func start(n int) (*fabric, []*Service, []*told, func()) {
	f := &fabric{services: map[string]*Service{}, silent: map[[2]string]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	var all []Note
	for i := range n {
		all = append(all, Note{Member: memberOf(i)})
	}
	var services []*Service
	var tolds []*told
	var running sync.WaitGroup
	for i := range n {
		t := &told{left: map[string]time.Duration{}, at: map[string]time.Time{}}
		s := newService(f, memberOf(i), t)
		s.Learn(all)
		services, tolds = append(services, s), append(tolds, t)
		running.Go(func() { _ = s.Run(ctx) })
	}
	return f, services, tolds, func() { cancel(); running.Wait() }
}

// A notice reaches every process within a second while any one link is silent.
func TestLeavingReachesAllWithinASecond(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{3, 6, 9, 17, 24}).Draw(rt, "n")
		from := rapid.IntRange(0, n-1).Draw(rt, "from")
		a := rapid.IntRange(0, n-1).Draw(rt, "a")
		b := rapid.IntRange(0, n-1).Draw(rt, "b")
		synctest.Test(t, func(t *testing.T) {
			f, services, tolds, stop := start(n)
			defer stop()
			time.Sleep(3 * Interval)
			f.mu.Lock()
			f.silent[[2]string{memberOf(a).Addr, memberOf(b).Addr}] = true
			f.silent[[2]string{memberOf(b).Addr, memberOf(a).Addr}] = true
			f.mu.Unlock()
			begin := time.Now()
			services[from].AnnounceLeaving("ep-1", 20*time.Second)
			services[from].AnnounceLeaving("ep-2", UnknownGrace)
			time.Sleep(time.Second)
			for i, got := range tolds {
				got.mu.Lock()
				late := got.at["ep-1"].Sub(begin) > time.Second || got.at["ep-1"].IsZero()
				wrong := got.left["ep-1"] > 20*time.Second || got.left["ep-1"] < 19*time.Second || got.left["ep-2"] != UnknownGrace
				got.mu.Unlock()
				if i != from && (late || wrong) {
					t.Errorf("process %d of %d: late %v, wrong time left %v", i, n, late, wrong)
				}
			}
		})
	})
}

// A process that heard nothing of a notice finds it by the digest on the heartbeats.
func TestMissedNoticeIsFoundByDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, services, tolds, stop := start(6)
		defer stop()
		services[2].leaving.mu.Lock()
		services[2].leaving.set.add(Leaving{ID: "ep-9", Left: time.Minute}, time.Now())
		services[2].leaving.mu.Unlock()
		time.Sleep(4 * Interval)
		for i, got := range tolds {
			if i != 2 {
				g.Expect(got.has("ep-9")).To(BeTrue())
			}
		}
	})
}

func TestDirectoryFollowsDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, services, _, stop := start(6)
		defer stop()
		time.Sleep(3 * Interval)
		g.Expect(services[0].Directory.All()).To(HaveLen(5))
		f.mu.Lock()
		for i := range 6 {
			f.silent[[2]string{memberOf(i).Addr, memberOf(4).Addr}] = true
			f.silent[[2]string{memberOf(4).Addr, memberOf(i).Addr}] = true
		}
		f.mu.Unlock()
		time.Sleep(time.Duration(DetectionTicks(6)+2) * Interval)
		_, known := services[0].Directory.Get("entry-4")
		g.Expect(known).To(BeFalse())
		g.Expect(services[0].Directory.All()).To(HaveLen(4))
	})
}

func TestRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := memstore.New()
		f := &fabric{services: map[string]*Service{}, silent: map[[2]string]bool{}}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var services []*Service
		var registries []*Registry
		for i := range 6 {
			s := newService(f, memberOf(i), &told{left: map[string]time.Duration{}, at: map[string]time.Time{}})
			r := NewRegistry(store, s, func() string { return s.Self().ID + time.Now().String() })
			services, registries = append(services, s), append(registries, r)
			running.Go(func() { _ = s.Run(ctx) })
			running.Go(func() { _ = r.Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		for i := range 6 {
			g.Expect(services[i].Directory.All()).To(HaveLen(5))
			_, group, ok := registries[i].Registered()
			g.Expect(ok).To(BeTrue())
			g.Expect(2 * group).To(BeNumerically(">=", 6))
		}
		store.SetHook(func(op memstore.Op, _ string) memstore.Fault {
			if op == memstore.OpUpdate {
				return memstore.FaultLostAnswer
			}
			return memstore.FaultNone
		})
		again := memberOf(3)
		again.Boot = 7
		s := newService(f, again, &told{})
		r := NewRegistry(store, s, func() string { return "second" })
		g.Expect(r.Register(ctx)).To(Succeed())
		g.Expect(s.Self().Incarnation).To(BeEquivalentTo(2))
		g.Expect(r.Deregister(ctx)).To(Succeed())
		list, err := List(ctx, store)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list).To(HaveLen(5))
		cancel()
		running.Wait()
	})
}
