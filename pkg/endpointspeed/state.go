package endpointspeed

import (
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

const (
	// lastingFade is the time in which the weight of samples in the lasting part fades by a
	// factor of e, and recentFade that in the recent part: short slowdowns last some 0.6 s.
	lastingFade, recentFade = 10 * time.Second, 500 * time.Millisecond
	// lastingPrior and recentPrior are the weights, in samples, with which the two parts
	// are assumed to be 1.
	lastingPrior, recentPrior = 8.0, 1.0
	// maxLog bounds the logarithm of a factor and of a sample: factors are between 1/4 and 4.
	maxLog = 1.3863
	// maxDeviation bounds the distance of a sample from the endpoint's mean, in the logarithm,
	// so that outliers count little.
	maxDeviation = 1.0
	// deadZone is the logarithm of a lasting part below which requests are placed as if it were
	// 1; from twice that on it counts in full. Small differences are mostly noise, and as all
	// instances know the same ones they would all prefer the same endpoints on loads that lag:
	// in a simulation of 16 instances before even endpoints, 0.065 of the prompts were late
	// without it, 0.015 with it and 0.011 without factors.
	deadZone = 0.15
	// slowFactor and recoveredFactor are the lasting parts from which an endpoint counts as slow
	// and no longer does.
	slowFactor, recoveredFactor = 1.5, 1.25
	// knownWeight is the share of the prior and the samples that samples must have for a
	// factor to count as known.
	knownWeight = 0.5
	// maxOwnSamples bounds the weight of this instance's sums, in samples, and maxPeerSamples
	// that of each peer's, so that a peer that reports nonsense moves a factor little.
	maxOwnSamples, maxPeerSamples = 64.0, 4.0
	// maxPeerRecent bounds the weight of a peer's recent samples.
	maxPeerRecent = 2.0
	// peerTTL and recentTTL are how long a peer's sums are used, in the two parts.
	peerTTL, recentTTL = 20 * time.Second, 1500 * time.Millisecond
)

// atomicFloat is a float64 that is read without a lock.
type atomicFloat struct{ bits atomic.Uint64 }

func (a *atomicFloat) load() float64   { return math.Float64frombits(a.bits.Load()) }
func (a *atomicFloat) store(x float64) { a.bits.Store(math.Float64bits(x)) }

// sums holds the number and the sum of samples, both fading.
type sums struct {
	count, total float64
}

func (s *sums) add(o sums) {
	s.count += o.count
	s.total += o.total
}

// faded returns the sums a time later.
func (s sums) faded(after, fade time.Duration) sums {
	factor := math.Exp(-max(0, after.Seconds()) / fade.Seconds())
	return sums{count: factor * s.count, total: factor * s.total}
}

// limited returns the sums with a weight of at most so many samples.
func (s sums) limited(count float64) sums {
	if s.count <= count {
		return s
	}
	return sums{count: count, total: s.total * count / s.count}
}

// within returns the sums with a mean that is at most so far from a reference.
func (s sums) within(reference, distance float64) sums {
	return sums{count: s.count, total: s.count * (reference + clamp(s.mean()-reference, distance))}
}

// shrunk returns the mean, drawn towards 0 by a prior of so many samples.
func (s sums) shrunk(prior float64) float64 { return s.total / (s.count + prior) }

// mean returns the mean of the samples; 0 if there are none.
func (s sums) mean() float64 {
	if s.count <= 0 {
		return 0
	}
	return s.total / s.count
}

// peerSums holds the sums that a peer reported of an endpoint.
type peerSums struct {
	// peer is the hash of the peer's name.
	peer            uint64
	receivedAt      time.Time
	lasting, recent sums
}

// state is what is known of one endpoint.
type state struct {
	key     endpoints.Key
	hash    uint64
	service *service
	// factor is the factor by which requests are placed, and lastingFactor its lasting part
	// without the dead zone. lasting is the logarithm of lastingFactor.
	factor, lastingFactor, lasting atomicFloat
	// raised is true while the recent part of factor is above 1.
	raised atomic.Bool
	// slow is true while the endpoint counts as slow. It is guarded by Factors.mu.
	slow bool

	mu sync.Mutex
	// ownLasting and ownRecent are the sums over this instance's samples as of sampledAt. Samples
	// of the lasting part are relative to the service, those of the recent part to the
	// endpoint's own reference.
	ownLasting, ownRecent sums
	sampledAt             time.Time
	peers                 []peerSums
	// pooled holds the sums over all instances, and reference the sample that is expected of
	// this endpoint.
	pooled    sums
	reference float64
}

func newState(k endpoints.Key, s *service) *state {
	n := &state{key: k, hash: hashKey(k), service: s}
	n.factor.store(1)
	n.lastingFactor.store(1)
	return n
}

// hashKey returns the hash by which messages name an endpoint's process.
func hashKey(k endpoints.Key) uint64 {
	return xxhash.Sum64String(k.ID + "/" + strconv.FormatInt(k.Born, 10))
}

// addSample adds a sample, the logarithm of a ratio relative to the service.
func (s *state) addSample(x float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fadeOwn(now)
	x = clamp(x, maxLog)
	deviation := clamp(x-s.reference, maxDeviation)
	s.ownLasting.add(sums{count: 1, total: s.reference + deviation})
	s.ownRecent.add(sums{count: 1, total: deviation})
	s.publish(now)
}

// fadeOwn fades this instance's sums up to now. The caller holds the lock.
func (s *state) fadeOwn(now time.Time) {
	after := now.Sub(s.sampledAt)
	s.ownLasting, s.ownRecent = s.ownLasting.faded(after, lastingFade), s.ownRecent.faded(after, recentFade)
	s.sampledAt = now
}

// setPeer replaces the sums of a peer.
func (s *state) setPeer(p peerSums) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.lasting, p.recent = p.lasting.limited(maxPeerSamples), p.recent.limited(maxPeerRecent)
	for i := range s.peers {
		if s.peers[i].peer == p.peer {
			s.peers[i] = p
			s.publishIfRecent(p)
			return
		}
	}
	s.peers = append(s.peers, p)
	s.publishIfRecent(p)
}

// publishIfRecent updates the factor after a report with recent samples. The caller holds the
// lock.
func (s *state) publishIfRecent(p peerSums) {
	if p.recent.count > 0 {
		s.publish(p.receivedAt)
	}
}

// pool sums the samples of all instances up, and returns the sums. Old sums of peers are dropped.
func (s *state) pool(now time.Time) sums {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fadeOwn(now)
	s.pooled = s.ownLasting.limited(maxOwnSamples)
	kept := s.peers[:0]
	for _, p := range s.peers {
		if age := now.Sub(p.receivedAt); age <= peerTTL {
			kept = append(kept, p)
			s.pooled.add(p.lasting.within(s.reference, maxDeviation).faded(age, lastingFade))
		}
	}
	s.peers = kept
	return s.pooled
}

// setLasting computes the lasting part from the pooled sums and the centre of the service.
func (s *state) setLasting(centre float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	relative := sums{count: s.pooled.count, total: s.pooled.total - s.pooled.count*centre}
	lasting := clamp(relative.shrunk(lastingPrior), maxLog)
	s.reference = lasting + centre
	s.lasting.store(lasting)
	s.lastingFactor.store(math.Exp(lasting))
	s.publish(now)
}

// refresh updates the factor if its recent part may have faded.
func (s *state) refresh(now time.Time) {
	if !s.raised.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(now)
}

// publish computes the factor. The caller holds the lock.
func (s *state) publish(now time.Time) {
	recent := s.ownRecent.faded(now.Sub(s.sampledAt), recentFade)
	for _, p := range s.peers {
		if age := now.Sub(p.receivedAt); p.recent.count > 0 && age <= recentTTL {
			recent.add(p.recent.faded(age, recentFade))
		}
	}
	excess := recentExcess(recent, s.service.margin())
	s.raised.Store(excess > 0)
	s.factor.store(math.Exp(clamp(withDeadZone(s.lasting.load())+excess, maxLog)))
}

// withDeadZone returns the logarithm by which requests are placed.
func withDeadZone(lasting float64) float64 {
	size := math.Abs(lasting)
	return math.Copysign(min(size, max(0, 2*(size-deadZone))), lasting)
}

// recentExcess returns the logarithm of the recent part of a factor. It is 0 if the mean excess of
// recent samples isn't above the margin.
func recentExcess(recent sums, margin float64) float64 {
	if recent.mean() <= margin {
		return 0
	}
	return recent.shrunk(recentPrior) - margin*recent.count/(recent.count+recentPrior)
}

// isKnown reports whether there are enough samples for the lasting part.
func (s *state) isKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pooled.count/(s.pooled.count+lastingPrior) >= knownWeight
}

// clamp bounds the absolute value of x.
func clamp(x, limit float64) float64 { return max(-limit, min(limit, x)) }
