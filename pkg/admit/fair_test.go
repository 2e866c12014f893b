package admit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/fleet"
)

var testService = &config.Service{Name: "s", BatchLimit: 8}

// newFair returns an admitter with the given capacity in data centre "a".
func newFair(slots int, budget int64) *FairAdmitter {
	f := NewFairAdmitter("self", time.Now, budget)
	f.SetCapacity("s", Capacity{"a": slots})
	return f
}

func fairRequest(name string, limit int, deadline time.Duration) Request {
	return Request{
		Workspace: &config.Workspace{Name: name, Weight: 1, DataCentres: []string{"a"}, MaxInFlight: limit},
		Service:   testService, Deadline: time.Now().Add(deadline), Bytes: 10,
	}
}

// Concurrent callers are admitted, refused or time out on a fake clock. No limit may be
// exceeded, and no state may remain at the end.
func TestFair_ConcurrentCallersStayWithinLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const slots = 8
		f := newFair(slots, 0)
		var mu sync.Mutex
		running, maxRunning, started, refused, cancelled := 0, 0, 0, 0, 0
		var wg sync.WaitGroup
		for i := range 400 {
			wg.Go(func() {
				time.Sleep(time.Duration(i%40) * 50 * time.Millisecond)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%7)*300*time.Millisecond)
				defer cancel()
				release, err := f.Admit(ctx, fairRequest(fmt.Sprint("w", i%5), 50, 3*time.Second))
				mu.Lock()
				var refusal *Refusal
				switch {
				case err == nil:
					started++
					running++
					maxRunning = max(maxRunning, running)
				case errors.As(err, &refusal):
					refused++
				default:
					cancelled++
				}
				mu.Unlock()
				if err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
				mu.Lock()
				running--
				mu.Unlock()
				release()
				release()
			})
		}
		wg.Wait()
		g.Expect(started + refused + cancelled).To(Equal(400))
		g.Expect(maxRunning).To(Equal(slots))
		g.Expect(started).To(BeNumerically(">", 100))
		f.Tick()
		s := f.service("s").scheduler
		g.Expect(s.running).To(BeEmpty())
		g.Expect(s.waiting).To(BeZero())
		g.Expect(s.flows).To(BeEmpty())
		g.Expect(f.accounts.bytes.Load()).To(BeZero())
	})
}

func TestFair_RefusesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFair(1, 0)
		release, err := f.Admit(t.Context(), fairRequest("w", 10, time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
		defer release()
		start := time.Now()
		_, err = f.Admit(t.Context(), fairRequest("w", 10, 200*time.Millisecond))
		g.Expect(err).To(MatchError(ErrOverLimit))
		g.Expect(time.Since(start)).To(BeZero())
	})
}

// Property: reserve accepts exactly the requests that keep plain counters within the limits.
func TestAccounts_StayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget, limit = 1000, 5
		a := newAccounts(budget)
		type reservation struct {
			name  string
			bytes int
		}
		var all []reservation
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				added := reservation{rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"), rapid.IntRange(0, 400).Draw(t, "bytes")}
				count, own, total := 0, 0, 0
				for _, o := range all {
					total += o.bytes
					if o.name == added.name {
						count++
						own += o.bytes
					}
				}
				r := Request{Workspace: &config.Workspace{Name: added.name, MaxInFlight: limit}, Bytes: added.bytes}
				want := count < limit && own+added.bytes <= budget/2 && total+added.bytes <= budget
				if _, ok := a.reserve(&r); ok != want {
					t.Fatalf("reserve = %v, want %v with %+v reserved", ok, want, all)
				}
				if want {
					all = append(all, added)
				}
			},
			"release": func(t *rapid.T) {
				if len(all) == 0 {
					return
				}
				i := rapid.IntRange(0, len(all)-1).Draw(t, "i")
				a.release(all[i].name, all[i].bytes)
				all = append(all[:i], all[i+1:]...)
			},
		})
	})
}

func TestFair_WorkspaceLimitCountsOtherEntries(t *testing.T) {
	g := NewWithT(t)
	f := newFair(100, 0)
	f.SetPeers([]string{"self", "other"})
	f.Merge(Usage{Entry: "unlisted", Flows: []FlowUsage{{Service: "s", Workspace: "w", Weight: 1, Count: Count{Running: 9}}}})
	f.Merge(Usage{Entry: "other", Flows: []FlowUsage{{Service: "s", Workspace: "w", Weight: 1, Limit: 10, Count: Count{Running: 3, Waiting: 1}}}})
	for range 6 {
		_, err := f.Admit(t.Context(), fairRequest("w", 10, time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := f.Admit(t.Context(), fairRequest("w", 10, time.Minute))
	g.Expect(err).To(MatchError(ErrOverLimit))
	g.Expect(f.Usage().Flows).To(ConsistOf(FlowUsage{Service: "s", Workspace: "w", Weight: 1, Limit: 10, Count: Count{Running: 6}}))
	f.SetPeers([]string{"self"})
	_, err = f.Admit(t.Context(), fairRequest("w", 10, time.Minute))
	g.Expect(err).NotTo(HaveOccurred(), "requests of an entry that is no longer live don't count")
}

func TestCapacityOf_ExcludesLeavingAndClosed(t *testing.T) {
	g := NewWithT(t)
	table := fleet.NewTable(time.Now, nil)
	table.ApplyList([]cloud.Instance{
		{ID: "1", Service: "s", DataCentre: "a", State: cloud.StateReady},
		{ID: "2", Service: "s", DataCentre: "a", State: cloud.StateLeaving},
		{ID: "3", Service: "s", DataCentre: "b", State: cloud.StateReady},
		{ID: "4", Service: "s", DataCentre: "c", State: cloud.StateReady},
		{ID: "5", Service: "other", DataCentre: "a", State: cloud.StateReady},
	})
	env := &config.Envelope{Preset: "p", Document: config.Document{Presets: []config.Preset{{Name: "p", ClosedDataCentres: []string{"c"}}}}}
	c := CapacityOf(table.Snapshot(), env, testService)
	g.Expect(c).To(Equal(Capacity{"a": 8, "b": 8}))
	g.Expect(c.In([]string{"b", "c"})).To(Equal(8))
}

// benchAdmit admits and releases requests of a number of workspaces and services.
func benchAdmit(b *testing.B, services, flows int) {
	f := NewFairAdmitter("self", time.Now, 0)
	serviceConfigs := make([]config.Service, services)
	for i := range serviceConfigs {
		serviceConfigs[i] = config.Service{Name: fmt.Sprint("s", i)}
		f.SetCapacity(serviceConfigs[i].Name, Capacity{"a": 10000})
	}
	workspaces := make([]config.Workspace, flows)
	for i := range workspaces {
		workspaces[i] = config.Workspace{Name: fmt.Sprint("w", i), Weight: 1, DataCentres: []string{"a"}, MaxInFlight: 10000}
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			release, err := f.Admit(b.Context(), Request{
				Workspace: &workspaces[i%len(workspaces)], Service: &serviceConfigs[i/7%len(serviceConfigs)], Deadline: time.Now().Add(time.Minute), Bytes: 10,
			})
			if err != nil {
				b.Fatal(err)
			}
			release()
		}
	})
}

// BenchmarkAdmit measures one admission with its release; -cpu sets the number of threads.
func BenchmarkAdmit(b *testing.B) {
	for _, services := range []int{1, 2, 16} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) { benchAdmit(b, services, 5) })
	}
}

// Guards against callers that leave the queue and are counted as refused.
func TestFair_CountsCallersThatLeaveTheQueueApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFair(1, 0)
		f.Metrics = NewMetrics(prometheus.NewRegistry())
		release, err := f.Admit(context.Background(), fairRequest("w", 5, time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = f.Admit(ctx, fairRequest("w", 5, time.Minute))
		g.Expect(err).To(MatchError(ErrOverLimit), "a caller that is still there learns that the request did not run")
		g.Expect(testutil.ToFloat64(f.Metrics.requests.WithLabelValues("s", "caller_gone"))).To(BeEquivalentTo(1))
		g.Expect(testutil.ToFloat64(f.Metrics.requests.WithLabelValues("s", "refused"))).To(BeZero())
		release()
	})
}
