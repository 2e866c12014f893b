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

// fakeTransport carries calls between services in one process, encoded with gob as
// by net/rpc. A call over a link that delivers nothing hangs until its context ends.
type fakeTransport struct {
	mu       sync.Mutex
	services map[string]*Service
	silent   map[[2]string]bool
}

type fakeCaller struct {
	transport *fakeTransport
	from      string
}

func (c fakeCaller) CallAddr(ctx context.Context, addr, method string, args, reply any) error {
	c.transport.mu.Lock()
	s := c.transport.services[addr]
	silent := c.transport.silent[[2]string{c.from, addr}]
	c.transport.mu.Unlock()
	if silent {
		<-ctx.Done()
		return peer.ErrNoAnswer
	}
	if s == nil {
		return peer.ErrUnreachable
	}
	return serveRPC(s.RPC(), method, args, reply)
}

func serveRPC(r *RPC, method string, args, reply any) error {
	switch method {
	case methodHeartbeat:
		return callGob(r.Heartbeat, args, reply)
	case methodProbe:
		return callGob(r.Probe, args, reply)
	case methodExchange:
		return callGob(r.Exchange, args, reply)
	case methodLeaving:
		return callGob(r.Leaving, args, reply)
	case methodMissing:
		return callGob(r.Missing, args, reply)
	}
	return peer.ErrRemote
}

// callGob calls f with args and copies its reply, both through gob.
func callGob[A, R any](f func(A, *R) error, args, reply any) error {
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

// leavingRecorder records the leaving endpoints that a service reports to OnLeaving.
type leavingRecorder struct {
	mu   sync.Mutex
	left map[string]time.Duration
	at   map[string]time.Time
}

func (r *leavingRecorder) record(id string, left time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left[id], r.at[id] = left, time.Now()
}

func (r *leavingRecorder) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.left[id]
	return ok
}

func newService(f *fakeTransport, m Member, rec *leavingRecorder) *Service {
	s := NewService(Options{
		Self: m, Directory: &peer.Directory{}, Caller: fakeCaller{f, m.Addr},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: NewMetrics(prometheus.NewRegistry()),
		Now: time.Now, Rand: rand.New(rand.NewPCG(m.Boot, 1)), OnLeaving: rec.record,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services[m.Addr] = s
	return s
}

// startServices runs n services that know each other until the returned function is called.
func startServices(n int) (*fakeTransport, []*Service, []*leavingRecorder, func()) {
	f := &fakeTransport{services: map[string]*Service{}, silent: map[[2]string]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	var all []Note
	for i := range n {
		all = append(all, Note{Member: testMember(i)})
	}
	var services []*Service
	var recorders []*leavingRecorder
	var running sync.WaitGroup
	for i := range n {
		rec := &leavingRecorder{left: map[string]time.Duration{}, at: map[string]time.Time{}}
		s := newService(f, testMember(i), rec)
		s.Merge(all)
		services, recorders = append(services, s), append(recorders, rec)
		running.Go(func() { _ = s.Run(ctx) })
	}
	return f, services, recorders, func() { cancel(); running.Wait() }
}

// A leaving notice must reach every process within one second while any one link
// delivers nothing.
func TestService_LeavingNoticeReachesAllWithinOneSecond(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{3, 6, 9, 17, 24}).Draw(rt, "n")
		from := rapid.IntRange(0, n-1).Draw(rt, "from")
		a := rapid.IntRange(0, n-1).Draw(rt, "a")
		b := rapid.IntRange(0, n-1).Draw(rt, "b")
		synctest.Test(t, func(t *testing.T) {
			f, services, recorders, stop := startServices(n)
			defer stop()
			time.Sleep(3 * Interval)
			f.mu.Lock()
			f.silent[[2]string{testMember(a).Addr, testMember(b).Addr}] = true
			f.silent[[2]string{testMember(b).Addr, testMember(a).Addr}] = true
			f.mu.Unlock()
			begin := time.Now()
			services[from].AnnounceLeaving("ep-1", 20*time.Second)
			services[from].AnnounceLeaving("ep-2", UnknownGrace)
			time.Sleep(time.Second)
			for i, got := range recorders {
				got.mu.Lock()
				late := got.at["ep-1"].Sub(begin) > time.Second || got.at["ep-1"].IsZero()
				wrong := got.left["ep-1"] > 20*time.Second || got.left["ep-1"] < 19*time.Second || got.left["ep-2"] != UnknownGrace
				got.mu.Unlock()
				if i != from && (late || wrong) {
					t.Errorf("process %d of %d: notice late: %v, wrong time left: %v", i, n, late, wrong)
				}
			}
		})
	})
}

// A process that missed a notice must fetch it once the digests in heartbeats differ.
func TestService_MissedLeavingNoticeRecoveredByDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, services, recorders, stop := startServices(6)
		defer stop()
		services[2].leaving.mu.Lock()
		services[2].leaving.set.add(Leaving{ID: "ep-9", Left: time.Minute}, time.Now())
		services[2].leaving.mu.Unlock()
		time.Sleep(4 * Interval)
		for i, got := range recorders {
			if i != 2 {
				g.Expect(got.has("ep-9")).To(BeTrue())
			}
		}
	})
}

func TestService_RemovesDeadMemberFromDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, services, _, stop := startServices(6)
		defer stop()
		time.Sleep(3 * Interval)
		g.Expect(services[0].Directory.All()).To(HaveLen(5))
		f.mu.Lock()
		for i := range 6 {
			f.silent[[2]string{testMember(i).Addr, testMember(4).Addr}] = true
			f.silent[[2]string{testMember(4).Addr, testMember(i).Addr}] = true
		}
		f.mu.Unlock()
		time.Sleep(time.Duration(DetectionTicks(6)+2) * Interval)
		_, known := services[0].Directory.Get("entry-4")
		g.Expect(known).To(BeFalse())
		g.Expect(services[0].Directory.All()).To(HaveLen(4))
	})
}

// Six processes register. One restarts, registers again although the responses to updates
// are lost, and deregisters.
func TestRegistry_RestartRaisesIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := memstore.New()
		f := &fakeTransport{services: map[string]*Service{}, silent: map[[2]string]bool{}}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var services []*Service
		var registries []*Registry
		for i := range 6 {
			s := newService(f, testMember(i), &leavingRecorder{left: map[string]time.Duration{}, at: map[string]time.Time{}})
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
		restarted := testMember(3)
		restarted.Boot = 7
		s := newService(f, restarted, &leavingRecorder{})
		r := NewRegistry(store, s, func() string { return "second" })
		g.Expect(r.Register(ctx)).To(Succeed())
		g.Expect(s.Self().Incarnation).To(BeEquivalentTo(2))
		g.Expect(r.Deregister(ctx)).To(Succeed())
		list, err := List(ctx, store, s.Log)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list).To(HaveLen(5))
		cancel()
		running.Wait()
	})
}

// Guards against a member that nobody sees and of which no log tells, as its registration
// can't be decoded.
func TestList_LogsRegistrationsThatItLeavesOut(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	store := memstore.New()
	for key, value := range map[string]string{"a": `{"id":"a"}`, "odd": `nonsense`} {
		_, err := store.Create(ctx, Prefix+key, []byte(value))
		g.Expect(err).NotTo(HaveOccurred())
	}
	var out bytes.Buffer
	list, err := List(ctx, store, slog.New(slog.NewTextHandler(&out, nil)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(HaveLen(1))
	g.Expect(out.String()).To(And(ContainSubstring("ignoring invalid registration"), ContainSubstring(Prefix+"odd")))
}
