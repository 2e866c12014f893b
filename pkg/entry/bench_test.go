package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/dispatch"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/engine/httpengine"
	"github.com/medlarsill/medlarsill/pkg/entry"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/flight"
	"github.com/medlarsill/medlarsill/pkg/handover"
	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/place"
)

// benchTokens is the number of tokens in a benchmark's response.
const benchTokens = 16

// benchEngine generates a fixed number of tokens and waits for the interval
// after each. A negative interval stalls the stream after the first token.
type benchEngine struct {
	tokens   int
	interval time.Duration
}

func (e benchEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	for i := range e.tokens {
		t := engine.Token{Index: i, Text: "token "}
		if i == e.tokens-1 {
			t.Finish, t.Usage = engine.FinishStop, &engine.Usage{CompletionTokens: e.tokens}
		}
		_ = enc.Encode(t)
		_ = rc.Flush()
		if e.interval < 0 {
			<-r.Context().Done()
			return
		}
		time.Sleep(e.interval)
	}
}

// benchEntry serves an entry on loopback in front of one engine and returns its
// URL. With a peer, each request is copied to the peer over net/rpc on loopback.
func benchEntry(b *testing.B, engineAddr string, withPeer bool) string {
	infos := []peer.Info{{ID: "e0", DataCentre: "dc-0", Addr: "127.0.0.1:0"}}
	if withPeer {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		infos = append(infos, peer.Info{ID: "e1", DataCentre: "dc-1", Addr: l.Addr().String()})
		_, _, rpc := benchNode(b, infos, 1, engineAddr)
		ctx, cancel := context.WithCancel(context.Background())
		b.Cleanup(cancel)
		go func() { _ = rpc.Serve(ctx, l) }()
	}
	server, caller, _ := benchNode(b, infos, 0, engineAddr)
	front := httptest.NewServer(server.Handler())
	b.Cleanup(func() {
		front.CloseClientConnections()
		front.Close()
		server.Close()
		caller.Close()
	})
	return front.URL
}

func benchNode(b *testing.B, infos []peer.Info, self int, engineAddr string) (*entry.Server, *peer.Client, *peer.Server) {
	reg := prometheus.NewRegistry()
	cfg := &fakeConfig{env: testEnvelope([]string{"dc-0", "dc-1"})}
	cfg.env.Document.Workspaces[0].MaxInFlight = 1 << 20
	table := fleet.NewTable(time.Now, nil)
	table.ApplyList([]cloud.Instance{{ID: "m", Addr: engineAddr, Service: "assistant", DataCentre: "dc-0", State: cloud.StateReady}})
	placer := place.NewLeastInFlight()
	flights := flight.NewRegistry(time.Now)
	transport := &http.Transport{MaxIdleConnsPerHost: 1 << 14, DisableCompression: true, ReadBufferSize: 1 << 10, WriteBufferSize: 1 << 10}
	server := entry.New(entry.Options{
		Config: cfg, Admitter: admitAll{}, Placer: placer, Fleet: table, Flights: flights,
		Dispatcher: &dispatch.Dispatcher{
			Self: infos[self].ID, Config: cfg, Fleet: table, Placer: placer, Engine: httpengine.NewClient(&http.Client{Transport: transport}),
			Metrics: dispatch.NewMetrics(reg), Now: time.Now, ProgressTimeout: time.Hour, FirstTokenTimeout: time.Hour,
		},
		Log: slog.New(slog.DiscardHandler), Metrics: entry.NewMetrics(reg), Now: time.Now,
	})
	directory := &peer.Directory{}
	directory.Set(infos)
	caller := peer.NewClient(directory, nil)
	manager := handover.New(handover.Options{
		Self: infos[self], Peers: directory, Caller: caller, Flights: flights, Owner: server,
		Log: slog.New(slog.DiscardHandler), Metrics: handover.NewMetrics(reg), Now: time.Now,
	})
	server.Handover = manager
	rpc := peer.NewServer(nil)
	if err := manager.Register(rpc); err != nil {
		b.Fatal(err)
	}
	return server, caller, rpc
}

// streamChat sends one streaming request and reads the response to its end.
func streamChat(client *http.Client, url, body string) error {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer k")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

const chatBody = `{"model":"assistant","stream":true,"messages":[{"role":"user","content":"hello"}]}`

// compareTargets runs f against the engine directly, through an entry, and
// through an entry that copies requests to a peer.
func compareTargets(b *testing.B, e benchEngine, f func(b *testing.B, url string)) {
	back := httptest.NewServer(e)
	b.Cleanup(back.Close)
	addr := strings.TrimPrefix(back.URL, "http://")
	b.Run("direct", func(b *testing.B) { f(b, back.URL+"/generate") })
	b.Run("entry", func(b *testing.B) { f(b, benchEntry(b, addr, false)+"/v1/chat/completions") })
	b.Run("entry-with-copy", func(b *testing.B) { f(b, benchEntry(b, addr, true)+"/v1/chat/completions") })
}

// BenchmarkLatency reports the median time of streaming requests made one after another.
func BenchmarkLatency(b *testing.B) {
	compareTargets(b, benchEngine{tokens: benchTokens}, func(b *testing.B, url string) {
		client := &http.Client{Transport: &http.Transport{}}
		var times []time.Duration
		for b.Loop() {
			start := time.Now()
			if err := streamChat(client, url, chatBody); err != nil {
				b.Fatal(err)
			}
			times = append(times, time.Since(start))
		}
		slices.Sort(times)
		b.ReportMetric(float64(times[len(times)/2].Microseconds()), "median-µs")
	})
}

// BenchmarkThroughput reports the rate of parallel streaming requests.
func BenchmarkThroughput(b *testing.B) {
	compareTargets(b, benchEngine{tokens: benchTokens}, func(b *testing.B, url string) {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 10}}
		b.SetParallelism(8)
		before := cpuTime()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if err := streamChat(client, url, chatBody); err != nil {
					b.Error(err)
					return
				}
			}
		})
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-µs/call")
		b.ReportMetric(float64(b.N)*benchTokens/b.Elapsed().Seconds(), "tokens/s")
	})
}

// BenchmarkPacedTokens reports the CPU time per token at one token every 50 ms,
// as real engines send them, for the caller, entry, copy holder and engine together.
func BenchmarkPacedTokens(b *testing.B) {
	const streams, tokens = 400, 40
	compareTargets(b, benchEngine{tokens: tokens, interval: 50 * time.Millisecond}, func(b *testing.B, url string) {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
		before := cpuTime()
		for b.Loop() {
			var wg sync.WaitGroup
			for range streams {
				wg.Go(func() {
					if err := streamChat(client, url, chatBody); err != nil {
						b.Error(err)
					}
				})
			}
			wg.Wait()
		}
		b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N*streams*tokens), "cpu-µs/token")
	})
}

// cpuTime returns the CPU time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOpenStreams reports the memory per open stream, with and without an
// entry between the same caller and engine.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 2000
	back := httptest.NewServer(benchEngine{tokens: benchTokens, interval: -1})
	b.Cleanup(back.Close)
	addr := strings.TrimPrefix(back.URL, "http://")
	for _, target := range []string{"direct", "entry", "entry-with-copy"} {
		b.Run(target, func(b *testing.B) {
			url := back.URL + "/generate"
			if target != "direct" {
				url = benchEntry(b, addr, target == "entry-with-copy") + "/v1/chat/completions"
			}
			for b.Loop() {
				before := memoryInUse()
				stop := openStreams(b, url, streams)
				b.ReportMetric(float64(memoryInUse()-before)/streams/1024, "KiB/stream")
				b.ReportMetric(float64(runtime.NumGoroutine())/streams, "goroutines/stream")
				stop()
			}
		})
	}
}

// openStreams opens n streams, reads the first line of each, and keeps them open
// until stop is called.
func openStreams(b *testing.B, url string, n int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{}
	var bodies []io.Closer
	for range n {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(chatBody))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer k")
		resp, err := transport.RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := bufio.NewReaderSize(resp.Body, 16).ReadString('\n'); err != nil {
			b.Fatal(fmt.Errorf("first line: %w", err))
		}
		bodies = append(bodies, resp.Body)
	}
	return func() {
		cancel()
		for _, c := range bodies {
			_ = c.Close()
		}
		transport.CloseIdleConnections()
	}
}

// memoryInUse returns the bytes in use for heap and stacks.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
