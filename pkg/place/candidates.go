package place

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/loadview"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// Expected number of reclaims per second while a request runs.
const (
	// reclaimableReclaimRate is the rate for a reclaimable instance outside waves
	// of reclaims.
	reclaimableReclaimRate = 1.0 / 7200
	// onDemandReclaimRate is the rate for an on-demand instance, which is lost only
	// if its whole data centre is.
	onDemandReclaimRate = 1.0 / 500000
	// waveReclaimRate is added in proportion to the share of the data centre's
	// endpoints that are leaving, since reclaims in a data centre come in waves.
	waveReclaimRate = 1.0 / 10
)

// Parameters of the mean load of a set.
const (
	// maxExactMeanMembers is the size of the largest set whose mean is computed for each
	// decision.
	maxExactMeanMembers = 32
	// meanInterval is how long the mean of a larger set is reused.
	meanInterval = 5 * time.Millisecond
)

// Sizes of the cache of member sets.
const (
	// setCacheShards is the number of shards, each with its own lock.
	setCacheShards = 32
	// maxSetsPerShard bounds the memory; a full shard is emptied before a set is added.
	maxSetsPerShard = 64
)

// member is an endpoint that passed the hard filter, with the values that stay
// constant for one snapshot and configuration.
type member struct {
	endpoint *fleet.Endpoint
	state    *loadview.Endpoint
	// price is the price relative to the mean of the set's members; 1 if unknown.
	price float64
	// reclaimRate is the expected number of reclaims per second.
	reclaimRate float64
}

// memberSet is the result of the hard filter for one workspace and service. Only
// the cached mean load changes after construction.
type memberSet struct {
	snapshot *fleet.Snapshot
	document *config.Document
	allowed  []string
	members  []member
	// hashes holds the members' hashes contiguously, for rendezvous hashing.
	hashes []uint64
	// onDemand holds the indices of members that are not reclaimable.
	onDemand []int32
	// byState maps the members' states to their indices.
	byState map[*loadview.Endpoint]int32

	// meanShareBits and meanBatchBits hold the bits of the last results of meanLoad.
	// meanComputedAt is when they were computed, in Unix nanoseconds.
	meanShareBits  atomic.Uint64
	meanBatchBits  atomic.Uint64
	meanComputedAt atomic.Int64
	// unreported is the number of this entry's attempts that the endpoints' last
	// reports do not include.
	unreported atomic.Int64
}

// meanLoad returns the mean load as a fraction of the batch limit, including the
// request being placed, and the mean batch limit. For large sets it computes them
// only once per meanInterval, in which few of the loads change.
func (m *memberSet) meanLoad(now time.Time, others float64) (share, batchLimit float64) {
	large := len(m.members) > maxExactMeanMembers
	age := now.UnixNano() - m.meanComputedAt.Load()
	if large && age >= 0 && age < int64(meanInterval) {
		return math.Float64frombits(m.meanShareBits.Load()), math.Float64frombits(m.meanBatchBits.Load())
	}
	load, batch, unreported := 1.0, 0.0, 0
	for i := range m.members {
		e := m.members[i].state.Estimate(others)
		load += e.Load
		batch += e.BatchLimit
		unreported += m.members[i].state.StartedSinceReport()
	}
	share, batchLimit = load/batch, batch/float64(len(m.members))
	m.unreported.Store(int64(unreported))
	m.meanShareBits.Store(math.Float64bits(share))
	m.meanBatchBits.Store(math.Float64bits(batchLimit))
	m.meanComputedAt.Store(now.UnixNano())
	return share, batchLimit
}

// setKey identifies a member set.
type setKey struct {
	workspace, service string
}

// setCache caches member sets in shards. Reads take no lock.
type setCache struct {
	shards [setCacheShards]setShard
}

// setShard is one shard of a setCache.
type setShard struct {
	mu   sync.Mutex
	sets atomic.Pointer[map[setKey]*memberSet]
}

// get returns the member set of a request. It rebuilds the set if the snapshot, the
// allowed data centres or the configuration have changed.
func (c *setCache) get(p *Policy, s *fleet.Snapshot, r *Request) *memberSet {
	doc := p.Document()
	key := setKey{workspace: r.Workspace, service: r.Service}
	shard := &c.shards[(rendezvous.Key(r.Workspace)^rendezvous.Key(r.Service))%setCacheShards]
	if m := shard.sets.Load(); m != nil {
		if set, ok := (*m)[key]; ok && set.isCurrent(s, doc, r) {
			return set
		}
	}
	set := newMemberSet(p.View, s, doc, r)
	shard.put(key, set)
	return set
}

// isCurrent reports whether the set was built from the given inputs.
func (m *memberSet) isCurrent(s *fleet.Snapshot, doc *config.Document, r *Request) bool {
	return m.snapshot == s && m.document == doc && slices.Equal(m.allowed, r.Allowed)
}

// put replaces the shard's map of sets by a copy that includes the given set.
func (sh *setShard) put(key setKey, set *memberSet) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	next := make(map[setKey]*memberSet)
	if old := sh.sets.Load(); old != nil && len(*old) < maxSetsPerShard {
		for k, v := range *old {
			next[k] = v
		}
	}
	next[key] = set
	sh.sets.Store(&next)
}

// newMemberSet returns the endpoints of a snapshot that pass the hard filter.
func newMemberSet(v *loadview.View, s *fleet.Snapshot, doc *config.Document, r *Request) *memberSet {
	set := &memberSet{
		snapshot: s, document: doc, allowed: slices.Clone(r.Allowed),
		byState: make(map[*loadview.Endpoint]int32),
	}
	leaving := leavingShares(s.Service(r.Service))
	for _, e := range s.Service(r.Service) {
		if e.Leaving || !slices.Contains(r.Allowed, e.DataCentre) {
			continue
		}
		set.add(member{
			endpoint: e, state: v.Endpoint(e.ID),
			price: priceOf(doc, e), reclaimRate: reclaimRate(e, leaving[e.DataCentre]),
		})
	}
	set.normalisePrices()
	return set
}

// add appends a member and indexes it.
func (m *memberSet) add(n member) {
	i := int32(len(m.members))
	m.members = append(m.members, n)
	m.hashes = append(m.hashes, n.state.Hash)
	m.byState[n.state] = i
	if !n.endpoint.Reclaimable {
		m.onDemand = append(m.onDemand, i)
	}
}

// priceOf returns the price of an endpoint, or 0 if it is unknown.
func priceOf(doc *config.Document, e *fleet.Endpoint) float64 {
	if doc == nil {
		return 0
	}
	price, _ := doc.PriceOf(e.Class, e.DataCentre, e.Reclaimable)
	return price
}

// normalisePrices divides the prices by their mean, so that weights do not depend on
// the currency.
func (m *memberSet) normalisePrices() {
	sum := 0.0
	for i := range m.members {
		sum += m.members[i].price
	}
	mean := sum / float64(len(m.members))
	for i := range m.members {
		if mean == 0 || m.members[i].price == 0 {
			m.members[i].price = 1
			continue
		}
		m.members[i].price /= mean
	}
}

// leavingShares returns, for each data centre, the fraction of endpoints that are leaving.
func leavingShares(endpoints []*fleet.Endpoint) map[string]float64 {
	type count struct{ all, leaving float64 }
	counts := make(map[string]count)
	for _, e := range endpoints {
		c := counts[e.DataCentre]
		c.all++
		if e.Leaving {
			c.leaving++
		}
		counts[e.DataCentre] = c
	}
	out := make(map[string]float64, len(counts))
	for dc, c := range counts {
		out[dc] = c.leaving / c.all
	}
	return out
}

// reclaimRate returns the expected reclaims per second of an endpoint's instance.
func reclaimRate(e *fleet.Endpoint, leavingShare float64) float64 {
	base := onDemandReclaimRate
	if e.Reclaimable {
		base = reclaimableReclaimRate
	}
	return base + leavingShare*waveReclaimRate
}
