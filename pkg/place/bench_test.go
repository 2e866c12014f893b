package place

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/loadview"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// fleetOf returns a snapshot of n endpoints of service "s", spread over the
// data centres in turn; every third endpoint is on demand.
func fleetOf(n int, dataCentres ...string) *fleet.Snapshot {
	t := fleet.NewTable(time.Now, nil)
	var list []cloud.Instance
	for i := range n {
		list = append(list, cloud.Instance{
			ID: fmt.Sprintf("e%04d", i), Addr: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), Service: "s",
			DataCentre: dataCentres[i%len(dataCentres)], Class: "gpu", Reclaimable: i%3 != 0, State: cloud.StateReady,
		})
	}
	t.ApplyList(list)
	return t.Snapshot()
}

// newPolicy returns a policy with the given clock and a seeded random source.
func newPolicy(view *loadview.View, now func() time.Time, seed uint64, entries int) *Policy {
	return &Policy{
		View: view, Document: func() *config.Document { return nil }, EntryCount: func() int { return entries },
		Self: fmt.Sprintf("entry-%d", seed), Now: now, Rand: rand.New(rand.NewPCG(rendezvous.HashWeight(seed, 1), rendezvous.HashWeight(seed, 2))).Uint64, Speeds: DefaultSpeeds,
	}
}

// dataCentreNames returns n names of data centres.
func dataCentreNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("dc%02d", i))
	}
	return out
}

// request returns a request with a chat of the given number of messages.
func request(conversation, messages int, allowed ...string) Request {
	r := Request{Service: "s", Workspace: "w", Allowed: allowed, PromptTokens: 200 * messages, MaxTokens: 200}
	for i := range messages {
		key := uint64(conversation)<<8 | uint64(i)
		if i == 0 {
			key = 1
		}
		r.Prefixes = append(r.Prefixes, rendezvous.HashWeight(key, 7))
	}
	return r
}

// benchPolicy returns a policy, a snapshot of 4,500 endpoints, and the name of a data
// centre with 300 of them.
func benchPolicy() (*Policy, *fleet.Snapshot, string) {
	dcs := dataCentreNames(15)
	s := fleetOf(4500, dcs...)
	view := loadview.New(time.Now)
	p := newPolicy(view, time.Now, 1, 880)
	p.Rand = rand.Uint64
	for _, e := range s.Endpoints {
		view.Report(e.ID, engine.Load{Running: int(rand.Uint64() % 8), BatchLimit: 8})
	}
	return p, s, dcs[3]
}

// BenchmarkPlace measures one Place and Done, with and without prefixes.
func BenchmarkPlace(b *testing.B) {
	for _, messages := range []int{0, 6} {
		b.Run(fmt.Sprintf("messages=%d", messages), func(b *testing.B) {
			p, s, dc := benchPolicy()
			requests := make([]Request, 1024)
			for i := range requests {
				requests[i] = request(i+1, messages, dc)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r := requests[i%len(requests)]
				d, err := p.Place(s, r)
				if err != nil {
					b.Fatal(err)
				}
				p.Done(d, r)
				i++
			}
		})
	}
}

// BenchmarkPlaceParallel runs Place on all threads of -cpu. It reports the processor
// time of a decision, which shows contention between threads even on a busy machine.
func BenchmarkPlaceParallel(b *testing.B) {
	p, s, dc := benchPolicy()
	b.ReportAllocs()
	b.ResetTimer()
	start := processorTime(b)
	defer func() { b.ReportMetric(float64(processorTime(b)-start)/float64(b.N), "cpu-ns/op") }()
	b.RunParallel(func(pb *testing.PB) {
		base := int(rand.Uint64() % 100000)
		requests := make([]Request, 256)
		for i := range requests {
			requests[i] = request(base+i, 6, dc)
		}
		for i := 0; pb.Next(); i++ {
			r := requests[i%len(requests)]
			if d, err := p.Place(s, r); err == nil {
				p.Done(d, r)
			}
		}
	})
}

// processorTime returns the processor time used by the process, in nanoseconds.
func processorTime(b *testing.B) int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}

// BenchmarkMemberSet measures the hard filter over all endpoints, which runs once
// per change of the snapshot or the configuration.
func BenchmarkMemberSet(b *testing.B) {
	p, s, dc := benchPolicy()
	r := request(1, 6, dc)
	b.ReportAllocs()
	for b.Loop() {
		newMemberSet(p.View, s, nil, &r)
	}
}

// BenchmarkMemory reports the bytes that a view and one member set hold per endpoint.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{45, 450, 4500} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := fleetOf(n, "a")
			r := request(1, 6, "a")
			for b.Loop() {
				before := heapBytes()
				view := loadview.New(time.Now)
				view.Sync(s)
				for _, e := range s.Endpoints {
					view.Report(e.ID, engine.Load{BatchLimit: 8})
				}
				set := newMemberSet(view, s, nil, &r)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/endpoint")
				runtime.KeepAlive(view)
				runtime.KeepAlive(set)
			}
		})
	}
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
