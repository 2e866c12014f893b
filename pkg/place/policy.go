package place

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/loadview"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// Parameters of the candidate selection.
const (
	// DefaultLoadBound is the default of Policy.LoadBound.
	DefaultLoadBound = 1.5
	// minMeanShare is the smallest mean load, as a fraction of the batch limit, that
	// the bound is computed from. While most slots are free, a cache hit is worth
	// more than an even load.
	minMeanShare = 0.6
	// hashChoicesPerKey is the number of candidates that rendezvous hashing gives for
	// each key.
	hashChoicesPerKey = 2
	// randomChoices is the number of candidates that are chosen at random.
	randomChoices = 2
	// lookupPrefixes is the number of prefixes, longest first, whose holders are
	// looked up in the prefix index.
	lookupPrefixes = 3
	// maxCandidates bounds the candidates of one decision.
	maxCandidates = 2*hashChoicesPerKey + randomChoices + lookupPrefixes*4
	// hashChoiceHitProbability is the assumed probability that the first rendezvous
	// choice has a prefix cached without an event that confirms it, because other
	// entries send requests with that prefix there.
	hashChoiceHitProbability = 0.5
	// entriesPerGroup is the number of entries that use the same rendezvous choices
	// for a first prefix. It bounds how many entries can choose the same endpoint
	// before load reports reach them.
	entriesPerGroup = 8
	// maxOtherEntries bounds the number of other entries that are assumed to place
	// requests at the same rate on the same endpoints as this one.
	maxOtherEntries = 5
)

// Policy is a Placer that chooses the candidate with the lowest score. The exported
// fields must be set before use, unless noted otherwise.
type Policy struct {
	View *loadview.View
	// Document returns the configuration in force, for prices; it may return nil.
	Document func() *config.Document
	// EntryCount returns the number of live entries, including this one.
	EntryCount func() int
	// Self is this entry's id.
	Self string
	Now  func() time.Time
	// Rand returns uniform random bits. It must be safe for concurrent use.
	Rand   func() uint64
	Speeds Speeds
	// Metrics may be nil.
	Metrics *Metrics
	// LoadBound is the largest load of a candidate relative to the mean. Zero means
	// DefaultLoadBound; infinity disables the bound.
	LoadBound float64
	// DisabledTerms marks terms that are left out of the score, for experiments.
	DisabledTerms [termCount]bool

	sets      setCache
	scratches sync.Pool
}

var _ Placer = (*Policy)(nil)

// scratch holds the intermediate results of one decision. It is pooled.
type scratch struct {
	request Request
	set     *memberSet
	now     time.Time
	weights weights
	// otherEntries is the number of other entries that are assumed to place requests
	// at the same rate on the same endpoints as this one.
	otherEntries float64
	// runTime is the estimated time of the request in seconds, output the estimated
	// number of decoded tokens, and prefill the time per prompt token in seconds.
	runTime, output, prefill float64
	// bound is the largest load of a candidate, as a fraction of its batch limit.
	bound float64
	// unreported is the expected number of attempts per endpoint that entries not
	// included in otherEntries have started since the last load reports.
	unreported  float64
	candidates  [maxCandidates]candidate
	count       int
	hashChoices [2][hashChoicesPerKey]rankedMember
}

// rankedMember is a member's index with its rendezvous weight.
type rankedMember struct {
	index  int32
	weight uint64
}

// Place implements Placer.
func (p *Policy) Place(s *fleet.Snapshot, r Request) (Decision, error) {
	if len(r.Allowed) == 0 {
		p.Metrics.recordDecision(false, ErrNoDataCentreAllowed)
		return Decision{}, ErrNoDataCentreAllowed
	}
	d := p.newScratch(s, &r)
	defer p.release(d)
	best, overBound := p.choose(d)
	if best == nil {
		p.Metrics.recordDecision(false, ErrNoEndpoint)
		return Decision{}, ErrNoEndpoint
	}
	p.Metrics.recordDecision(overBound, nil)
	best.state.AttemptStarted()
	p.recordPrefixes(d, best)
	return Decision{Endpoint: best.endpoint, CachedTokens: int(best.cached), state: best.state}, nil
}

// choose returns the candidate under the bound with the lowest score. If there is
// none, it returns the least loaded member and overBound is true.
func (p *Policy) choose(d *scratch) (best *candidate, overBound bool) {
	if len(d.set.members) == 0 {
		return nil, false
	}
	p.rankMembers(d)
	p.collectCandidates(d)
	if best := p.pickBest(d); best != nil {
		return best, false
	}
	return p.pickFallback(d), true
}

// Done implements Placer.
func (p *Policy) Done(dec Decision, _ Request) {
	dec.state.AttemptEnded()
}

// newScratch returns a scratch with the member set and the estimates of the request.
func (p *Policy) newScratch(s *fleet.Snapshot, r *Request) *scratch {
	d, _ := p.scratches.Get().(*scratch)
	if d == nil {
		d = new(scratch)
	}
	d.request, d.count = *r, 0
	d.set = p.sets.get(p, s, r)
	d.now, d.weights = p.Now(), weightsOf(r)
	d.otherEntries = float64(min(p.EntryCount()-1, maxOtherEntries))
	d.prefill = p.Speeds.PrefillPerToken.Seconds()
	d.output = float64(min(r.MaxTokens, p.Speeds.OutputTokens))
	d.runTime = p.Speeds.CallTime.Seconds()
	if r.PromptTokens > 0 {
		d.runTime = float64(r.PromptTokens)*d.prefill + d.output*p.Speeds.TokenInterval.Seconds()
	}
	return d
}

// release clears the references in a scratch and returns it to the pool.
func (p *Policy) release(d *scratch) {
	d.request, d.set = Request{}, nil
	clear(d.candidates[:d.count])
	p.scratches.Put(d)
}

// rankMembers computes the rendezvous choices and the bound on the load.
func (p *Policy) rankMembers(d *scratch) {
	keys, n := p.hashKeys(d)
	d.hashChoices = [2][hashChoicesPerKey]rankedMember{}
	for k := range n {
		for i, hash := range d.set.hashes {
			w := rendezvous.HashWeight(keys[k], hash)
			if w > d.hashChoices[k][hashChoicesPerKey-1].weight {
				insertRanked(&d.hashChoices[k], rankedMember{index: int32(i), weight: w})
			}
		}
	}
	mean, batch := d.set.meanLoad(d.now, d.otherEntries)
	uncounted := max(0, float64(p.EntryCount()-1)-d.otherEntries)
	d.unreported = uncounted * float64(d.set.unreported.Load()+1) / float64(len(d.set.members))
	d.bound = p.loadBound() * max(minMeanShare, mean+d.unreported/2/batch)
}

func (p *Policy) loadBound() float64 {
	if p.LoadBound == 0 {
		return DefaultLoadBound
	}
	return p.LoadBound
}

// hashKeys returns the rendezvous keys of a request: that of its first prefix, which
// differs between groups of entries, and that of its conversation.
func (p *Policy) hashKeys(d *scratch) (keys [2]uint64, n int) {
	prefixes := d.request.Prefixes
	if len(prefixes) == 0 {
		return keys, 0
	}
	keys[0] = rendezvous.HashWeight(prefixes[0], p.groupHash())
	if len(prefixes) == 1 {
		return keys, 1
	}
	keys[1] = prefixes[1]
	return keys, 2
}

// groupHash returns a hash of this entry's group number, or 0 if there is only one group.
func (p *Policy) groupHash() uint64 {
	groups := (p.EntryCount() + entriesPerGroup - 1) / entriesPerGroup
	if groups <= 1 {
		return 0
	}
	return rendezvous.HashWeight(rendezvous.Key(p.Self)%uint64(groups), 0)
}

// insertRanked inserts r into top, which holds the highest weights in descending order.
func insertRanked(top *[hashChoicesPerKey]rankedMember, r rankedMember) {
	for i := range top {
		if r.weight > top[i].weight {
			top[i], r = r, top[i]
		}
	}
}

// collectCandidates adds the candidates: the holders of the longest prefixes, the
// rendezvous choices and random choices.
func (p *Policy) collectCandidates(d *scratch) {
	p.collectPrefixHolders(d)
	for k := range min(2, len(d.request.Prefixes)) {
		for i, h := range d.hashChoices[k] {
			if h.weight == 0 {
				continue
			}
			c := p.addCandidate(d, h.index)
			if i == 0 && c != nil {
				c.cached = max(c.cached, hashChoiceHitProbability*float64(d.hashChoiceTokens(k)))
			}
		}
	}
	pool := d.randomPoolSize()
	for range randomChoices {
		i := p.Rand() % uint64(pool)
		p.addCandidate(d, d.randomPoolMember(int(i)))
	}
}

// hashChoiceTokens returns the number of tokens that the first rendezvous choice of
// key k has cached if earlier requests with that key were placed there: the first
// prefix for key 0, all of the conversation but its newest message for key 1.
func (d *scratch) hashChoiceTokens(k int) int {
	if k == 0 {
		return d.request.tokensOf(0)
	}
	return d.request.tokensOf(max(0, len(d.request.Prefixes)-2))
}

// randomPoolSize returns the number of members that random choices are made from:
// for non-idempotent requests the on-demand ones, if there are any, otherwise all.
func (d *scratch) randomPoolSize() int {
	if d.request.NonIdempotent && len(d.set.onDemand) > 0 {
		return len(d.set.onDemand)
	}
	return len(d.set.members)
}

// randomPoolMember returns the index of the i-th member that random choices are
// made from.
func (d *scratch) randomPoolMember(i int) int32 {
	if d.request.NonIdempotent && len(d.set.onDemand) > 0 {
		return d.set.onDemand[i]
	}
	return int32(i)
}

// collectPrefixHolders adds the members that probably have one of the longest
// prefixes cached, longest prefix first.
func (p *Policy) collectPrefixHolders(d *scratch) {
	r := &d.request
	lowest := max(0, len(r.Prefixes)-lookupPrefixes)
	for i := len(r.Prefixes) - 1; i >= lowest; i-- {
		holdings := p.View.Holders(r.Prefixes[i], d.now)
		for _, h := range holdings.List[:holdings.N] {
			index, ok := d.set.byState[h.Endpoint]
			if !ok {
				continue
			}
			if c := p.addCandidate(d, index); c != nil {
				c.cached = max(c.cached, h.Probability*float64(r.tokensOf(i)))
			}
		}
	}
}

// addCandidate returns the candidate for a member and adds it if necessary. It
// returns nil if the member is not admissible or there are too many candidates.
func (p *Policy) addCandidate(d *scratch, index int32) *candidate {
	for i := range d.candidates[:d.count] {
		if d.candidates[i].index == index {
			return &d.candidates[i]
		}
	}
	m := &d.set.members[index]
	if d.count == maxCandidates || !p.admissible(d, m) {
		return nil
	}
	c := &d.candidates[d.count]
	*c = p.newCandidate(d, index)
	d.count++
	return c
}

// newCandidate returns a candidate for a member, with its expected load.
func (p *Policy) newCandidate(d *scratch, index int32) candidate {
	c := candidate{member: &d.set.members[index], index: index}
	c.estimate = c.state.Estimate(d.otherEntries)
	if d.unreported > 0 {
		c.estimate.Load += p.uniform() * d.unreported
	}
	return c
}

// uniform returns a random number in [0, 1). newCandidate adds a random part of the
// unreported load, since entries that see the same stale loads would otherwise all
// prefer the same endpoints.
func (p *Policy) uniform() float64 {
	return float64(p.Rand()>>11) / (1 << 53)
}

// admissible reports whether a member passes the filters that depend on the request
// or can change between snapshots.
func (p *Policy) admissible(d *scratch, m *member) bool {
	if m.state.Suspected(d.now) || slices.Contains(d.request.Exclude, m.endpoint.ID) {
		return false
	}
	return !d.request.NonIdempotent || !m.endpoint.Reclaimable || len(d.set.onDemand) == 0
}

// pickBest returns the candidate under the bound with the lowest score, or nil.
func (p *Policy) pickBest(d *scratch) *candidate {
	var best *candidate
	lowest := worstScore
	for i := range d.candidates[:d.count] {
		c := &d.candidates[i]
		if !d.underBound(c) {
			continue
		}
		if s := p.score(d, c); s < lowest {
			best, lowest = c, s
		}
	}
	return best
}

// underBound reports whether the load of a candidate is under the bound. The bound is
// rounded up to a whole number of requests.
func (d *scratch) underBound(c *candidate) bool {
	return c.estimate.Load < math.Ceil(d.bound*c.estimate.BatchLimit)
}

// score returns the sum of the enabled terms.
func (p *Policy) score(d *scratch, c *candidate) float64 {
	sum := 0.0
	for t, f := range terms {
		if !p.DisabledTerms[t] {
			sum += f(d, c)
		}
	}
	return sum
}

// pickFallback returns the least loaded of all admissible members, or nil. It is
// used if every candidate is over the bound, excluded or suspected. A non-idempotent
// request is placed on a reclaimable instance if no on-demand one is admissible.
func (p *Policy) pickFallback(d *scratch) *candidate {
	best := p.leastLoaded(d)
	if best == nil && d.request.NonIdempotent {
		d.request.NonIdempotent = false
		best = p.leastLoaded(d)
	}
	return best
}

// leastLoaded returns the admissible member with the lowest load, or nil. It starts
// at a random member so that ties are broken at random.
func (p *Policy) leastLoaded(d *scratch) *candidate {
	var best candidate
	n := len(d.set.members)
	start := int(p.Rand() % uint64(n))
	for i := range n {
		index := (start + i) % n
		m := &d.set.members[index]
		if !p.admissible(d, m) {
			continue
		}
		c := p.newCandidate(d, int32(index))
		if best.member == nil || c.share() < best.share() {
			best = c
		}
	}
	if best.member == nil {
		return nil
	}
	d.candidates[0], d.count = best, max(d.count, 1)
	return &d.candidates[0]
}

// recordPrefixes records that the endpoint will have the prompt's longest prefixes
// cached.
func (p *Policy) recordPrefixes(d *scratch, c *candidate) {
	r := &d.request
	lowest := max(0, len(r.Prefixes)-lookupPrefixes)
	for i := lowest; i < len(r.Prefixes); i++ {
		p.View.RecordCached(c.state, r.Prefixes[i], r.tokensOf(i))
	}
}
