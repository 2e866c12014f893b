package membership

import (
	"encoding/gob"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/rpc"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/peer"
)

// groupSizes are the measured group sizes: the current one and the design target.
var groupSizes = []int{6, 880}

// TestMachine_MemberFailureDetectionTime logs and bounds the time until all members
// mark a failed one as gone.
func TestMachine_MemberFailureDetectionTime(t *testing.T) {
	for _, n := range []int{6, 96} {
		suspect, gone := simulateMemberFailure(n)
		t.Logf("%d members: all suspect after %d ticks, gone after %d (bound %d), a tick is %v", n, suspect, gone, DetectionTicks(n), Interval)
		if gone == 0 || gone > DetectionTicks(n) {
			t.Errorf("%d members: gone after %d ticks, bound %d", n, gone, DetectionTicks(n))
		}
	}
}

// BenchmarkMemberFailure measures the detection time of a failed member at the design
// target of 880 members. Run it with -benchtime=1x.
func BenchmarkMemberFailure(b *testing.B) {
	for range b.N {
		suspect, gone := simulateMemberFailure(880)
		b.ReportMetric(float64(suspect), "suspect-ticks")
		b.ReportMetric(float64(gone), "gone-ticks")
	}
}

// simulateMemberFailure returns the ticks until all members suspect a failed one, and
// until all have marked it gone.
func simulateMemberFailure(n int) (suspect, gone int) {
	sim := newSimNetwork(n, 1)
	victim := sim.ids[n/2]
	sim.dead[victim] = true
	for tick := 1; gone == 0 && tick <= 2*DetectionTicks(n); tick++ {
		sim.tick()
		if suspect == 0 && sim.countStatus(victim, Suspect) == n-1 {
			suspect = tick
		}
		if sim.countStatus(victim, Gone) == n-1 {
			gone = tick
		}
	}
	return suspect, gone
}

// TestMachine_DataCentreFailureDetectionTime logs and bounds the time until all
// members have detected the failure of one of four data centres.
func TestMachine_DataCentreFailureDetectionTime(t *testing.T) {
	for _, n := range []int{8, 96} {
		ticks, maxQueued := simulateDataCentreFailure(n)
		t.Logf("%d members, a quarter failed at once: detected by all after %d ticks, at most %d notes queued", n, ticks, maxQueued)
		if ticks > maxSimulatedTicks {
			t.Errorf("%d members: failure not detected by all after %d ticks", n, maxSimulatedTicks)
		}
	}
}

// BenchmarkDataCentreFailure measures the detection time of a failed data centre at the
// design target of 880 members. Run it with -benchtime=1x.
func BenchmarkDataCentreFailure(b *testing.B) {
	for range b.N {
		ticks, maxQueued := simulateDataCentreFailure(880)
		b.ReportMetric(float64(ticks), "ticks")
		b.ReportMetric(float64(maxQueued), "queued-notes")
	}
}

// maxSimulatedTicks bounds a simulated data centre failure.
const maxSimulatedTicks = 400

// simulateDataCentreFailure stops every fourth member. It returns the ticks until all
// others have detected that, and the longest note queue of one member.
func simulateDataCentreFailure(n int) (ticks, mostQueued int) {
	sim := newSimNetwork(n, 1)
	for i := 0; i < n; i += 4 {
		sim.dead[fmt.Sprintf("entry-%d", i)] = true
	}
	for ticks = 1; ticks <= maxSimulatedTicks; ticks++ {
		sim.tick()
		mostQueued = max(mostQueued, len(sim.machines["entry-1"].queue.notes))
		if sim.allSee(n - n/4) {
			break
		}
	}
	return ticks, mostQueued
}

// allSee reports whether every live member sees exactly n present members.
func (sim *simNetwork) allSee(n int) bool {
	for _, id := range sim.ids {
		if !sim.dead[id] && len(sim.machines[id].Present()) != n {
			return false
		}
	}
	return true
}

// countingConn counts the bytes on a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// newServiceKnowing returns a service that knows n members.
func newServiceKnowing(n int, caller Caller) *Service {
	s := NewService(Options{
		Self: testMember(0), Directory: &peer.Directory{}, Caller: caller, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics: NewMetrics(prometheus.NewRegistry()), Now: time.Now, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	var all []Note
	for i := range n {
		all = append(all, Note{Member: testMember(i)})
	}
	s.Merge(all)
	s.machine.queue = noteQueue{}
	return s
}

// BenchmarkHeartbeat measures a heartbeat and its reply over net/rpc on a loopback
// connection: the time, and the bytes in both directions without TCP/IP headers.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range groupSizes {
		for _, notes := range []int{0, maxNotes} {
			b.Run(fmt.Sprintf("members=%d/notes=%d", n, notes), func(b *testing.B) { benchmarkHeartbeat(b, n, notes) })
		}
	}
}

func benchmarkHeartbeat(b *testing.B, n, notes int) {
	server, s := rpc.NewServer(), newServiceKnowing(n, nil)
	if err := server.RegisterName(ServiceName, s.RPC()); err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		if c, err := l.Accept(); err == nil {
			server.ServeConn(c)
		}
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	var bytes atomic.Int64
	client := rpc.NewClient(countingConn{raw, &bytes})
	defer client.Close()
	h := Heartbeat{From: "entry-1", Incarnation: 1, Boot: 1 << 60, Revision: 4200, Members: 1 << 60, Leaving: 1 << 60}
	for i := range notes {
		h.Notes = append(h.Notes, Note{Member: Member{ID: fmt.Sprint("klang-entry-", i), DataCentre: "shah-alam", Addr: "10.20.30.40:7101", Incarnation: 1, Boot: 1 << 60}})
	}
	callHeartbeat(b, client, h)
	bytes.Store(0)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		callHeartbeat(b, client, h)
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

func callHeartbeat(b *testing.B, client *rpc.Client, h Heartbeat) {
	var answer Heartbeat
	if err := client.Call(methodHeartbeat, h, &answer); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkTick measures Machine.Tick.
func BenchmarkTick(b *testing.B) {
	for _, n := range groupSizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			m := newServiceKnowing(n, nil).machine
			for range b.N {
				_ = m.Tick()
			}
		})
	}
}

// BenchmarkMemory reports the bytes of memory per known member.
func BenchmarkMemory(b *testing.B) {
	const n = 880
	var before, after runtime.MemStats
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := newServiceKnowing(n, nil)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(s)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/member")
}

// BenchmarkTable reports the encoded size of a member table.
func BenchmarkTable(b *testing.B) {
	for _, n := range groupSizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			t := newServiceKnowing(n, nil).table()
			var size atomic.Int64
			for range b.N {
				size.Store(0)
				_ = gob.NewEncoder(countingWriter{&size}).Encode(t)
			}
			b.ReportMetric(float64(size.Load()), "wire-B")
		})
	}
}

type countingWriter struct{ n *atomic.Int64 }

func (w countingWriter) Write(b []byte) (int, error) {
	w.n.Add(int64(len(b)))
	return len(b), nil
}
