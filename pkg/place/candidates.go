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

// Reclaim risk, as a rate per second of running work.
const (
	// baseReclaimRate is the rate for a reclaimable instance on a quiet day.
	reclaimableReclaimRate = 1.0 / 7200
	// onDemandReclaimRate is the rate for an on-demand instance, which goes only
	// with its whole data centre.
	onDemandReclaimRate = 1.0 / 500000
	// waveReclaimRate is added in full when every endpoint of a data centre is
	// leaving, and in proportion when some are: reclaims arrive in waves.
	waveReclaimRate = 1.0 / 10
)

// Use of the mean load of a set.
const (
	// exactMeanMembers is the size up to which the mean is computed for each decision.
	maxExactMeanMembers = 32
	// meanInterval is the age at which the mean of a larger set is computed again.
	meanInterval = 5 * time.Millisecond
)

// Sizes of the cache of member sets.
const (
	// setShards is the number of independently locked parts.
	setShards = 32
	// maxSetsPerShard bounds the memory; a shard that is full starts afresh.
	maxSetsPerShard = 64
)

// member is an endpoint that passed the hard filter, with what does not change
// while snapshot and configuration stand.
type member struct {
	endpoint *fleet.Endpoint
	state    *loadview.Endpoint
	// price is relative to the mean price of the set's members; 1 if unknown.
	price float64
	// reclaimRate is the chance of a reclaim per second of running work.
	reclaimRate float64
}

// memberSet is the immutable outcome of the hard filter for one workspace and service.
type memberSet struct {
	snapshot *fleet.Snapshot
	document *config.Document
	allowed  []string
	members  []member
	// hashes holds the members' hashes side by side, for rendezvous hashing.
	hashes []uint64
	// onDemand holds the indices of members that are not reclaimable.
	onDemand []int32
	byState  map[*loadview.Endpoint]int32

	// mean is the last mean share of the batch limits and batch their mean, as
	// the bits of a float64; meanAt is when they were computed, in Unix nanoseconds.
	meanShareBits  atomic.Uint64
	meanBatchBits  atomic.Uint64
	meanComputedAt atomic.Int64
	// since is the number of this entry's attempts that no report holds yet.
	unreported atomic.Int64
}

// meanShare returns the mean load as a share of the batch limit, the request at
// hand included, and the mean batch limit. Large sets compute them once per
// meanInterval, in which few of their members change.
func (m *memberSet) meanLoad(now time.Time, others float64) (share, batchLimit float64) {
	large := len(m.members) > maxExactMeanMembers
	age := now.UnixNano() - m.meanComputedAt.Load()
	if large && age >= 0 && age < int64(meanInterval) {
		return math.Float64frombits(m.meanShareBits.Load()), math.Float64frombits(m.meanBatchBits.Load())
	}
	load, batch, since := 1.0, 0.0, 0
	for i := range m.members {
		e := m.members[i].state.Estimate(others)
		load += e.Load
		batch += e.BatchLimit
		since += m.members[i].state.StartedSinceReport()
	}
	share, batchLimit = load/batch, batch/float64(len(m.members))
	m.unreported.Store(int64(since))
	m.meanShareBits.Store(math.Float64bits(share))
	m.meanBatchBits.Store(math.Float64bits(batchLimit))
	m.meanComputedAt.Store(now.UnixNano())
	return share, batchLimit
}

// setKey names a member set.
type setKey struct {
	workspace, service string
}

// setCache keeps the member sets in shards; readers take no lock.
type setCache struct {
	shards [setShards]setShard
}

type setShard struct {
	mu   sync.Mutex
	sets atomic.Pointer[map[setKey]*memberSet]
}

// get returns the set of a request, made afresh if the snapshot, the allowed
// data centres or the configuration have changed: a stale set is never used.
func (c *setCache) get(p *Policy, s *fleet.Snapshot, r *Request) *memberSet {
	doc := p.Document()
	key := setKey{workspace: r.Workspace, service: r.Service}
	shard := &c.shards[(rendezvous.Key(r.Workspace)^rendezvous.Key(r.Service))%setShards]
	if m := shard.sets.Load(); m != nil {
		if set, ok := (*m)[key]; ok && set.isCurrent(s, doc, r) {
			return set
		}
	}
	set := newMemberSet(p.View, s, doc, r)
	shard.put(key, set)
	return set
}

func (m *memberSet) isCurrent(s *fleet.Snapshot, doc *config.Document, r *Request) bool {
	return m.snapshot == s && m.document == doc && slices.Equal(m.allowed, r.Allowed)
}

// put publishes a changed copy of the shard's sets.
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

// newMemberSet applies the hard filter to a snapshot.
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

func (m *memberSet) add(n member) {
	i := int32(len(m.members))
	m.members = append(m.members, n)
	m.hashes = append(m.hashes, n.state.Hash)
	m.byState[n.state] = i
	if !n.endpoint.Reclaimable {
		m.onDemand = append(m.onDemand, i)
	}
}

func priceOf(doc *config.Document, e *fleet.Endpoint) float64 {
	if doc == nil {
		return 0
	}
	price, _ := doc.PriceOf(e.Class, e.DataCentre, e.Reclaimable)
	return price
}

// normalisePrices divides by the mean, so that weights mean the same in every currency.
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

// leavingShares returns the share of each data centre's endpoints that is leaving.
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

func reclaimRate(e *fleet.Endpoint, leavingShare float64) float64 {
	base := onDemandReclaimRate
	if e.Reclaimable {
		base = reclaimableReclaimRate
	}
	return base + leavingShare*waveReclaimRate
}
