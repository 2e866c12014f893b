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

// Shape of the candidate choice.
const (
	// DefaultLoadBound is the largest load of a candidate relative to the mean.
	DefaultLoadBound = 1.5
	// idleShare is the mean load, as a share of the batch limit, below which the
	// bound does not fall: with most places free an even load is worth less than
	// a cached prompt.
	minMeanShare = 0.6
	// homesPerPrefix is the number of rendezvous choices for a prefix.
	hashChoicesPerKey = 2
	// randomChoices is the number of candidates that are drawn at random.
	randomChoices = 2
	// holderPrefixes is the number of longest prefixes whose holders are looked up.
	lookupPrefixes = 3
	// maxCandidates bounds the candidates of one decision.
	maxCandidates = 2*hashChoicesPerKey + randomChoices + lookupPrefixes*4
	// homeBelief is the probability that a prefix is cached at its first
	// rendezvous choice though no event says so: other entries send it there.
	hashChoiceHitProbability = 0.5
	// entriesPerGroup is the number of entries that share the rendezvous choices
	// of a first prefix; it bounds how many entries can meet at one endpoint
	// before any report tells them.
	entriesPerGroup = 8
	// maxOthers bounds how many other entries are taken to act like this one.
	maxOtherEntries = 5
)

// Policy places attempts by score. Fill in the exported fields before use.
type Policy struct {
	View *loadview.View
	// Document returns the configuration in force, for prices; it may return nil.
	Document func() *config.Document
	// Entries returns the number of live entries, this one included.
	EntryCount func() int
	// Self is this entry's id.
	Self string
	Now  func() time.Time
	// Rand returns uniform random bits; it is called from many goroutines.
	Rand   func() uint64
	Speeds Speeds
	// Metrics may be nil.
	Metrics *Metrics
	// LoadBound defaults to DefaultLoadBound if zero; an infinite one switches the bound off.
	LoadBound float64
	// Without switches terms off, for experiments.
	DisabledTerms [termCount]bool

	sets      setCache
	scratches sync.Pool
}

var _ Placer = (*Policy)(nil)

// draft is the working memory of one decision.
type scratch struct {
	request Request
	set     *memberSet
	now     time.Time
	weights weights
	// others is the number of other entries that are taken to act like this one.
	otherEntries float64
	// runTime, in seconds, output, in tokens, and prefill, in seconds per token,
	// estimate the work.
	runTime, output, prefill float64
	// bound is the largest load of a candidate, as a share of its batch limit.
	bound float64
	// unseen is the expected number of attempts per endpoint that other entries,
	// beyond those counted as others, have made since the last reports.
	unreported  float64
	candidates  [maxCandidates]candidate
	count       int
	hashChoices [2][hashChoicesPerKey]rankedMember
}

type rankedMember struct {
	index  int32
	weight uint64
}

// Place implements Placer.
func (p *Policy) Place(s *fleet.Snapshot, r Request) (Decision, error) {
	if len(r.Allowed) == 0 {
		p.Metrics.decided(false, ErrNoDataCentreAllowed)
		return Decision{}, ErrNoDataCentreAllowed
	}
	d := p.newScratch(s, &r)
	defer p.release(d)
	best, overBound := p.choose(d)
	if best == nil {
		p.Metrics.decided(false, ErrNoEndpoint)
		return Decision{}, ErrNoEndpoint
	}
	p.Metrics.decided(overBound, nil)
	best.state.AttemptStarted()
	p.recordPrefixes(d, best)
	return Decision{Endpoint: best.endpoint, CachedTokens: int(best.cached), state: best.state}, nil
}

// choose returns the best candidate, or the least loaded member if no candidate
// is under the bound.
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

// begin fills a draft with the estimates of the work.
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

// end returns a draft without references to the request.
func (p *Policy) release(d *scratch) {
	d.request, d.set = Request{}, nil
	clear(d.candidates[:d.count])
	p.scratches.Put(d)
}

// scan finds the rendezvous choices and the bound on the load.
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
	more := max(0, float64(p.EntryCount()-1)-d.otherEntries)
	d.unreported = more * float64(d.set.unreported.Load()+1) / float64(len(d.set.members))
	d.bound = p.loadBound() * max(minMeanShare, mean+d.unreported/2/batch)
}

func (p *Policy) loadBound() float64 {
	if p.LoadBound == 0 {
		return DefaultLoadBound
	}
	return p.LoadBound
}

// keys returns the rendezvous keys of a request: its first prefix, which groups
// of entries spread over different endpoints, and its conversation's.
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

// group returns a hash of the number of this entry's group.
func (p *Policy) groupHash() uint64 {
	groups := (p.EntryCount() + entriesPerGroup - 1) / entriesPerGroup
	if groups <= 1 {
		return 0
	}
	return rendezvous.HashWeight(rendezvous.Key(p.Self)%uint64(groups), 0)
}

// insert keeps the highest weights in falling order.
func insertRanked(top *[hashChoicesPerKey]rankedMember, r rankedMember) {
	for i := range top {
		if r.weight > top[i].weight {
			top[i], r = r, top[i]
		}
	}
}

// collect gathers the candidates: rendezvous choices, holders of the longest
// prefixes, and random choices.
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

// homeTokens returns the tokens that the first rendezvous choice of a key has
// cached if the earlier requests with the key went there: the first prefix, or
// all of the conversation before its newest message.
func (d *scratch) hashChoiceTokens(k int) int {
	if k == 0 {
		return d.request.tokensOf(0)
	}
	return d.request.tokensOf(max(0, len(d.request.Prefixes)-2))
}

// pool returns the number of members to draw from: non-idempotent work draws
// from on-demand instances if there are any.
func (d *scratch) randomPoolSize() int {
	if d.request.NonIdempotent && len(d.set.onDemand) > 0 {
		return len(d.set.onDemand)
	}
	return len(d.set.members)
}

func (d *scratch) randomPoolMember(i int) int32 {
	if d.request.NonIdempotent && len(d.set.onDemand) > 0 {
		return d.set.onDemand[i]
	}
	return int32(i)
}

// collectHolders adds the endpoints that are believed to hold a prefix,
// longest prefixes first.
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

// add adds a member once, unless a filter rejects it now.
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

// candidate returns a member with its expected load.
func (p *Policy) newCandidate(d *scratch, index int32) candidate {
	c := candidate{member: &d.set.members[index], index: index}
	c.estimate = c.state.Estimate(d.otherEntries)
	if d.unreported > 0 {
		c.estimate.Load += p.uniform() * d.unreported
	}
	return c
}

// uniform returns a random number from 0 to below 1. Loads are blurred by it as
// far as they must have changed unseen: many entries that see the same stale
// loads would otherwise all prefer the same endpoints.
func (p *Policy) uniform() float64 {
	return float64(p.Rand()>>11) / (1 << 53)
}

// admissible is the part of the hard filter that changes between snapshots.
func (p *Policy) admissible(d *scratch, m *member) bool {
	if m.state.Suspected(d.now) || slices.Contains(d.request.Exclude, m.endpoint.ID) {
		return false
	}
	return !d.request.NonIdempotent || !m.endpoint.Reclaimable || len(d.set.onDemand) == 0
}

// pick returns the candidate under the bound with the lowest score.
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

// underBound tells whether the load of a candidate is under the bound. An
// endpoint with a free place is under it if its load is under the next whole request.
func (d *scratch) underBound(c *candidate) bool {
	return c.estimate.Load < math.Ceil(d.bound*c.estimate.BatchLimit)
}

func (p *Policy) score(d *scratch, c *candidate) float64 {
	sum := 0.0
	for t, f := range terms {
		if !p.DisabledTerms[t] {
			sum += f(d, c)
		}
	}
	return sum
}

// pickAny takes the least loaded of all members that pass the filters: every
// candidate is over the bound, excluded or suspected. Non-idempotent work falls
// back to reclaimable instances if no on-demand instance passes.
func (p *Policy) pickFallback(d *scratch) *candidate {
	best := p.leastLoaded(d)
	if best == nil && d.request.NonIdempotent {
		d.request.NonIdempotent = false
		best = p.leastLoaded(d)
	}
	return best
}

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

// remember notes that the endpoint will hold the prompt's prefixes.
func (p *Policy) recordPrefixes(d *scratch, c *candidate) {
	r := &d.request
	lowest := max(0, len(r.Prefixes)-lookupPrefixes)
	for i := lowest; i < len(r.Prefixes); i++ {
		p.View.RecordCached(c.state, r.Prefixes[i], r.tokensOf(i))
	}
}
