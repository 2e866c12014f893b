// Package loadview keeps what this entry believes of the endpoints' load and
// prefix caches. Load reports lag, cache events are late and have gaps, and
// other entries send work that this one does not see; estimates allow for it.
package loadview

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/fleet"
)

// shardCount is the number of independently locked parts of a view.
const shardCount = 64

// DefaultBatchLimit is assumed for an endpoint that has not reported yet, in requests.
const DefaultBatchLimit = 8

// View holds the state of all endpoints, in shards by endpoint id.
type View struct {
	shards [shardCount]shard
	cache  cacheIndex
	now    func() time.Time
	// partitions holds the members of each digest partition.
	partitions atomic.Pointer[[Partitions]partition]
}

type shard struct {
	mu        sync.RWMutex
	endpoints map[string]*Endpoint
}

// New returns an empty view on the given clock.
func New(now func() time.Time) *View {
	v := &View{now: now}
	for i := range v.shards {
		v.shards[i].endpoints = make(map[string]*Endpoint)
	}
	v.cache.init()
	v.partitions.Store(&[Partitions]partition{})
	return v
}

// Endpoint is the belief about one endpoint. Its methods are safe for concurrent use.
type Endpoint struct {
	// ID is the endpoint's id.
	ID string
	// Hash is the hash of the id, for rendezvous hashing.
	Hash uint64

	own atomic.Int32
	// generation counts the lost cache events of the endpoint.
	generation atomic.Uint32
	// reported is the last report, packed so that a decision reads one word.
	reported  atomic.Uint64
	suspected atomic.Int64

	mu         sync.Mutex
	reportedAt time.Time
	cacheSeq   uint64
	resync     bool
}

// report is an endpoint's load at a moment.
type report struct {
	load, batchLimit int
	// own counts this entry's attempts in flight when the report arrived.
	own int
}

// Shape of a packed report: 24 bits of load, 16 of batch limit and 24 of own
// attempts. A batch limit of 0 means that there is no report.
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

// set stores a report that was taken at a moment, unless it is older than the last.
func (e *Endpoint) set(load, batchLimit int, at time.Time) {
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

// Endpoint returns the state of an endpoint; it is made if it is new.
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

// Sync forgets the endpoints that a snapshot no longer holds and that have no
// attempts of this entry, and renews the members of the digest partitions.
func (v *View) Sync(s *fleet.Snapshot) {
	for i := range v.shards {
		v.shards[i].removeMissing(s)
	}
	v.rebuildPartitions(s)
}

func (sh *shard) removeMissing(s *fleet.Snapshot) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for id, e := range sh.endpoints {
		if _, ok := s.ByID(id); !ok && e.InFlight() == 0 {
			delete(sh.endpoints, id)
		}
	}
}

// Len returns the number of endpoints that the view holds.
func (v *View) Len() int {
	n := 0
	for i := range v.shards {
		v.shards[i].mu.RLock()
		n += len(v.shards[i].endpoints)
		v.shards[i].mu.RUnlock()
	}
	return n
}

// Report takes an endpoint's own load report.
func (v *View) Report(id string, l engine.Load) {
	batch := l.BatchLimit
	if batch <= 0 {
		batch = DefaultBatchLimit
	}
	v.Endpoint(id).set(l.Running+l.Waiting, batch, v.now())
}

// Suspect excludes an endpoint from new work until a moment.
func (v *View) Suspect(id string, until time.Time) {
	v.Endpoint(id).suspected.Store(until.UnixNano())
}

// Dispatched counts an attempt of this entry at the endpoint.
func (e *Endpoint) AttemptStarted() { e.own.Add(1) }

// Finished ends an attempt that Dispatched counted.
func (e *Endpoint) AttemptEnded() { e.own.Add(-1) }

// InFlight returns this entry's attempts at the endpoint.
func (e *Endpoint) InFlight() int { return int(e.own.Load()) }

// Suspected tells whether the endpoint is excluded from new work at a moment.
func (e *Endpoint) Suspected(now time.Time) bool {
	until := e.suspected.Load()
	return until != 0 && now.UnixNano() < until
}

// Estimate is the expected load of an endpoint.
type Estimate struct {
	// Load is the expected number of requests that run or wait there.
	Load float64
	// BatchLimit is the number of requests that run at once.
	BatchLimit float64
}

// Estimate returns the expected load. The last report is corrected by what this
// entry has started and ended since; others is how many requests the other
// entries are expected to have started for each one of this entry's.
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

// Since returns how many more attempts of this entry are in flight than when the
// last report arrived.
func (e *Endpoint) StartedSinceReport() int {
	own := e.InFlight()
	if w := e.reported.Load(); w != 0 {
		return max(0, own-unpack(w).own)
	}
	return own
}

// Age returns the time since the last report, and whether there was one.
func (e *Endpoint) Age(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.reportedAt), !e.reportedAt.IsZero()
}
