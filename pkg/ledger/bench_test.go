package ledger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	"github.com/medlarsill/medlarsill/pkg/peer"
)

// benchLatency is the store's latency per call in benchmarks.
const benchLatency = 3 * time.Millisecond

// countingStore delays each call by benchLatency and counts calls, writes and
// written bytes.
type countingStore struct {
	objectstore.Store
	calls, writes, bytes atomic.Int64
}

func (s *countingStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	s.calls.Add(1)
	time.Sleep(benchLatency)
	return s.Store.Get(ctx, key)
}

func (s *countingStore) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	s.recordWrite(value)
	return s.Store.Create(ctx, key, value)
}

func (s *countingStore) Update(ctx context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	s.recordWrite(value)
	return s.Store.Update(ctx, key, value, version)
}

func (s *countingStore) recordWrite(value []byte) {
	s.calls.Add(1)
	s.writes.Add(1)
	s.bytes.Add(int64(len(value)))
	time.Sleep(benchLatency)
}

// directCaller calls ledgers in the same process.
type directCaller map[string]*Ledger

func (c directCaller) Call(_ context.Context, id, method string, args, reply any) error {
	rpc := &RPC{ledger: c[id]}
	if method == rpcName+".Apply" {
		return rpc.Apply(args.(*ApplyArgs), reply.(*ApplyReply))
	}
	return rpc.Ask(args.(*AskArgs), reply.(*AskReply))
}

// requestRunner runs one keyed request and returns once it may be answered.
type requestRunner func(worker, n int)

// BenchmarkAtMostOnceSchemes compares schemes that run keyed work at most once:
// calls and written bytes per request, and requests per second, by the number of
// workers. Each worker makes one request after the other.
func BenchmarkAtMostOnceSchemes(b *testing.B) {
	for _, workers := range []int{1, 16, 128, 1024} {
		b.Run(fmt.Sprintf("create-per-request/workers=%d", workers), func(b *testing.B) {
			store := &countingStore{Store: memstore.New()}
			measure(b, store, workers, createPerRequest(store))
		})
		for _, shards := range []int{4, 16} {
			b.Run(fmt.Sprintf("ledger-%d-shards/workers=%d", shards, workers), func(b *testing.B) {
				store := &countingStore{Store: memstore.New()}
				run, closeAll := groupCommit(store, shards)
				measure(b, store, workers, run)
				closeAll()
			})
		}
		b.Run(fmt.Sprintf("issuer-only/workers=%d", workers), func(b *testing.B) {
			measure(b, &countingStore{Store: memstore.New()}, workers, issuerOnly())
		})
	}
}

func measure(b *testing.B, store *countingStore, workers int, run requestRunner) {
	b.ReportAllocs()
	var next atomic.Int64
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				run(w, int(n))
			}
		})
	}
	wg.Wait()
	n := float64(b.N)
	b.ReportMetric(n/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(store.calls.Load())/n, "calls/request")
	b.ReportMetric(float64(store.writes.Load())/n, "writes/request")
	b.ReportMetric(float64(store.bytes.Load())/n, "bytes/request")
}

// createPerRequest creates one object per key and updates it with the answer.
func createPerRequest(store objectstore.Store) requestRunner {
	ctx := context.Background()
	return func(_, n int) {
		key := fmt.Sprintf("k%d", n)
		o, err := store.Create(ctx, key, make([]byte, recordBytes))
		if err != nil {
			panic(err)
		}
		if _, err := store.Update(ctx, key, make([]byte, recordBytes), o.Version); err != nil {
			panic(err)
		}
	}
}

// groupCommit runs requests through the ledger on six entries.
func groupCommit(store objectstore.Store, shards int) (requestRunner, func()) {
	const entries = 6
	directory, caller := &peer.Directory{}, directCaller{}
	var infos []peer.Info
	for i := range entries {
		id := fmt.Sprintf("entry-%d", i)
		infos = append(infos, peer.Info{ID: id})
		caller[id] = New(Options{
			Store: store, Peers: directory, Caller: caller, Self: id, Shards: shards,
			Metrics: NewMetrics(prometheus.NewRegistry()), Retention: time.Second,
		})
	}
	directory.Set(infos)
	run := func(worker, n int) {
		l := caller[infos[worker%entries].ID]
		claim, err := l.Begin(context.Background(), NewKey("w", "s", fmt.Sprint(n)), "f")
		if err != nil {
			panic(err)
		}
		claim.Attempt.Finish(&Answer{Status: 200, Body: []byte(`{"held":true}`)})
	}
	return run, func() {
		for _, l := range caller {
			l.Close(context.Background())
		}
	}
}

// issuerOnly records attempts only in the memory of the entry that made them.
func issuerOnly() requestRunner {
	var mu sync.Mutex
	seen := make(map[int]bool)
	return func(_, n int) {
		mu.Lock()
		defer mu.Unlock()
		seen[n] = true
	}
}

// BenchmarkCommitSize measures the CPU time of one group commit by the number of
// records in the shard.
func BenchmarkCommitSize(b *testing.B) {
	for _, records := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			s := newShardState()
			for i := range records {
				id := fmt.Sprintf("%036d", i)
				s.put(Record{Key: Key(id[4:]), Fingerprint: id[4:], Attempt: id, Holder: "entry-a", State: Finished, Answer: &Answer{Status: 200, Body: []byte(`{"held":true}`)}})
			}
			b.ReportAllocs()
			var data []byte
			for b.Loop() {
				next, _, _, _ := s.next(0, 1000, []Op{claimOp("k", "a")})
				data, _ = next.encode()
			}
			b.ReportMetric(float64(len(data))/float64(records), "bytes/record")
		})
	}
}
