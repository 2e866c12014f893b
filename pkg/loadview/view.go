// Package loadview estimates the load and the prefix cache contents of endpoints. An
// entry, which is an instance that accepts callers' requests, keeps one View. The
// estimates allow for late load reports, for late and lost cache events, and for
// requests that other entries place on the same endpoints.
package loadview

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/fleet"
)

// shardCount is the number of shards of a View, each with its own lock.
const shardCount = 64

// DefaultBatchLimit is the batch limit, in requests, assumed for an endpoint without
// a report.
const DefaultBatchLimit = 8

// View holds the estimated state of all endpoints, sharded by endpoint id. It is safe
// for concurrent use.
type View struct {
	shards [shardCount]shard
	cache  cacheIndex
	now    func() time.Time
	// partitions holds the endpoints of each digest partition.
	partitions atomic.Pointer[[Partitions]partition]
}

// shard is one shard of a View.
type shard struct {
	mu        sync.RWMutex
	endpoints map[string]*Endpoint
}

// New returns an empty View that uses the given clock.
func New(now func() time.Time) *View {
	v := &View{now: now}
	for i := range v.shards {
		v.shards[i].endpoints = make(map[string]*Endpoint)
	}
	v.cache.init()
	v.partitions.Store(&[Partitions]partition{})
	return v
}

// Endpoint is the estimated state of one endpoint. It is safe for concurrent use.
type Endpoint struct {
	// ID is the endpoint's id.
	ID string
	// Hash is the hash of the id, for rendezvous hashing.
	Hash uint64

	// own counts this entry's attempts in flight.
	own atomic.Int32
	// generation counts the lost cache events of the endpoint.
	generation atomic.Uint32
	// reported is the last report, packed so that it can be read atomically.
	reported atomic.Uint64
	// suspected is when the suspicion ends, in Unix nanoseconds; 0 if there is none.
	suspected atomic.Int64

	mu         sync.Mutex
	reportedAt time.Time
	// cacheSeq is the sequence number of the last applied cache event.
	cacheSeq uint64
	// needsResync means that cache events were lost since the last Resync.
	needsResync bool
}

// report is an endpoint's reported load.
type report struct {
	load, batchLimit int
	// own is the number of this entry's attempts in flight when the report was received.
	own int
}

// Format of a packed report: 24 bits of load, 16 bits of batch limit and 24 bits of
// own attempts. A batch limit of 0 means that there is no report.
const (
	countBits = 24
	batchBits = 16
	maxCount  = 1<<countBits - 1
	maxBatch  = 1<<batchBits - 1
)

func (r report) pack() uint64 {
	load := uint64(min(max(r.load, 0), maxCount))
	batch := uint64(min(max(r.batchLimit, 1), maxBatch))
	own := uint64(min(max(r.own, 0), maxCount))
	return load<<(countBits+batchBits) | batch<<countBits | own
}

func unpack(w uint64) report {
	return report{
		load:       int(w >> (countBits + batchBits)),
		batchLimit: int(w >> countBits & maxBatch),
		own:        int(w & maxCount),
	}
}

// setReport stores a report with the given time, unless it is older than the stored one.
func (e *Endpoint) setReport(load, batchLimit int, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at.Before(e.reportedAt) {
		return
	}
	e.reportedAt = at
	e.reported.Store(report{load: load, batchLimit: batchLimit, own: e.InFlight()}.pack())
}

func (v *View) shard(hash uint64) *shard {
	return &v.shards[hash%shardCount]
}

// Endpoint returns the state of an endpoint and creates it if necessary.
func (v *View) Endpoint(id string) *Endpoint {
	hash := xxhash.Sum64String(id)
	s := v.shard(hash)
	s.mu.RLock()
	e, ok := s.endpoints[id]
	s.mu.RUnlock()
	if ok {
		return e
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.endpoints[id]; ok {
		return e
	}
	e = &Endpoint{ID: id, Hash: hash}
	s.endpoints[id] = e
	return e
}

// Sync removes endpoints that are not in the snapshot and have no attempts of this
// entry in flight, and rebuilds the digest partitions.
func (v *View) Sync(s *fleet.Snapshot) {
	for i := range v.shards {
		v.shards[i].removeMissing(s)
	}
	v.rebuildPartitions(s)
}

// removeMissing removes the endpoints of the shard that Sync must remove.
func (sh *shard) removeMissing(s *fleet.Snapshot) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for id, e := range sh.endpoints {
		if _, ok := s.ByID(id); !ok && e.InFlight() == 0 {
			delete(sh.endpoints, id)
		}
	}
}

// Len returns the number of endpoints in the view.
func (v *View) Len() int {
	n := 0
	for i := range v.shards {
		v.shards[i].mu.RLock()
		n += len(v.shards[i].endpoints)
		v.shards[i].mu.RUnlock()
	}
	return n
}

// Report stores a load report that was received from an endpoint.
func (v *View) Report(id string, l engine.Load) {
	batch := l.BatchLimit
	if batch <= 0 {
		batch = DefaultBatchLimit
	}
	v.Endpoint(id).setReport(l.Running+l.Waiting, batch, v.now())
}

// Suspect excludes an endpoint from placement until the given time.
func (v *View) Suspect(id string, until time.Time) {
	v.Endpoint(id).suspected.Store(until.UnixNano())
}

// AttemptStarted counts an attempt of this entry at the endpoint.
func (e *Endpoint) AttemptStarted() { e.own.Add(1) }

// AttemptEnded removes an attempt that AttemptStarted counted.
func (e *Endpoint) AttemptEnded() { e.own.Add(-1) }

// InFlight returns the number of this entry's attempts in flight at the endpoint.
func (e *Endpoint) InFlight() int { return int(e.own.Load()) }

// Suspected reports whether the endpoint is excluded from placement at the given time.
func (e *Endpoint) Suspected(now time.Time) bool {
	until := e.suspected.Load()
	return until != 0 && now.UnixNano() < until
}

// Estimate is the expected load of an endpoint.
type Estimate struct {
	// Load is the expected number of running and waiting requests.
	Load float64
	// BatchLimit is the number of requests that the endpoint runs concurrently.
	BatchLimit float64
}

// Estimate returns the expected load: the last report, plus the change of this
// entry's attempts in flight since then. The change is multiplied by 1+others, where
// others is the number of other entries that are assumed to place requests at the
// same rate as this one.
func (e *Endpoint) Estimate(others float64) Estimate {
	own := float64(e.own.Load())
	w := e.reported.Load()
	if w == 0 {
		return Estimate{Load: own * (1 + others), BatchLimit: DefaultBatchLimit}
	}
	r := unpack(w)
	since := own - float64(r.own)
	load := float64(r.load) + since*(1+others)
	return Estimate{Load: max(own, load), BatchLimit: float64(r.batchLimit)}
}

// StartedSinceReport returns how many more attempts of this entry are in flight than
// when the last report was received.
func (e *Endpoint) StartedSinceReport() int {
	own := e.InFlight()
	if w := e.reported.Load(); w != 0 {
		return max(0, own-unpack(w).own)
	}
	return own
}

// Age returns the age of the last report, and false if there was none.
func (e *Endpoint) Age(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.reportedAt), !e.reportedAt.IsZero()
}
