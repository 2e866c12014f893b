package endpointspeed

import (
	"math"
	"sync"
	"time"
)

const (
	// offsetWeight is the weight of the newest sample in a service's offset, and minOffsetSamples
	// the number of samples from which the offset is used.
	offsetWeight     = 1.0 / 32
	minOffsetSamples = 8
	// maxLogRatio bounds the logarithm of the ratio of a time taken to the expected one. An
	// estimate without samples may be wrong by a factor of a hundred.
	maxLogRatio = 5.0
	// minRecentMargin and marginSpreads, in spreads of the service's samples, are the mean excess
	// of recent samples below which it counts as noise. Times to first tokens include waits for
	// prompts that other instances have sent and that aren't known yet.
	minRecentMargin, marginSpreads = 0.25, 2.0
)

// service is the mean error of a service's estimate. All endpoints share it, as while the
// estimate is being learned or the whole service is busy, so it is left out of their factors.
type service struct {
	name string

	mu sync.Mutex
	// offset is the moving mean of the logarithms of the ratios, divided by the factors.
	offset  float64
	samples int
	// spread is the moving mean of the samples' distances from what is expected of their
	// endpoints.
	spread atomicFloat
}

// relative updates the offset and returns the logarithm of a ratio relative to it. It returns
// false while there are too few samples.
func (s *service) relative(ratio, lasting float64) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples++
	before := s.offset
	deviation := clamp(math.Abs(ratio-lasting-before), maxDeviation)
	s.spread.store(s.spread.load() + offsetWeight*(deviation-s.spread.load()))
	s.offset += max(offsetWeight, 1/float64(s.samples)) * (ratio - lasting - s.offset)
	return ratio - before, s.samples > minOffsetSamples
}

// margin returns the mean excess of recent samples below which it may be noise.
func (s *service) margin() float64 { return max(minRecentMargin, marginSpreads*s.spread.load()) }

// logRatio returns the bounded logarithm of the ratio of a time to the expected one.
func logRatio(took, expected time.Duration) float64 {
	return clamp(math.Log(float64(took)/float64(expected)), maxLogRatio)
}

// centre is the weighted mean of the endpoints of a service, by which their lasting parts are
// normalised. Endpoints with many samples all have nearly the same weight, so that it doesn't
// depend on where requests are placed.
type centre struct {
	weight, total float64
}

func (c *centre) add(s sums) {
	weight := s.count / (s.count + lastingPrior)
	c.weight += weight
	c.total += weight * s.mean()
}

func (c *centre) mean() float64 {
	if c.weight == 0 {
		return 0
	}
	return c.total / c.weight
}
