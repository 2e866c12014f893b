package place

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/loadview"
)

// Speeds holds the speeds of an engine. They convert the terms of a score to seconds.
type Speeds struct {
	// PrefillPerToken is the time to prefill one prompt token.
	PrefillPerToken time.Duration
	// TokenInterval is the time between two decoded tokens.
	TokenInterval time.Duration
	// OutputTokens is the largest number of decoded tokens that is assumed for a request.
	OutputTokens int
	// CallTime is the expected time of a request without a prompt.
	CallTime time.Duration
}

// DefaultSpeeds holds typical speeds.
var DefaultSpeeds = Speeds{
	PrefillPerToken: 500 * time.Microsecond, TokenInterval: 25 * time.Millisecond,
	OutputTokens: 200, CallTime: 50 * time.Millisecond,
}

// Term identifies one term of a score.
type Term int

// The terms of a score.
const (
	// TermWaiting is the expected time in the engine's queue.
	TermWaiting Term = iota
	// TermPrefix is the time to prefill the prompt tokens that are not cached.
	TermPrefix
	// TermPrice is the price of the request relative to the mean.
	TermPrice
	// TermReclaim is the expected time to recompute what a reclaim would lose.
	TermReclaim
	termCount
)

// termScore computes one term in weighted seconds; lower is better.
type termScore func(d *scratch, c *candidate) float64

// terms holds the scoring function of each term.
var terms = [termCount]termScore{
	TermWaiting: scoreWaiting,
	TermPrefix:  scorePrefix,
	TermPrice:   scorePrice,
	TermReclaim: scoreReclaim,
}

// candidate is a member that is considered for a request.
type candidate struct {
	*member
	index    int32
	estimate loadview.Estimate
	// cached is the expected number of prompt tokens in the endpoint's cache.
	cached float64
}

// share returns the expected load as a fraction of the batch limit.
func (c *candidate) share() float64 {
	return c.estimate.Load / c.estimate.BatchLimit
}

// batchSlowdown is how much longer a request takes in a full batch than alone, as a
// fraction of its time alone.
const batchSlowdown = 0.1

// scoreWaiting returns the expected time until a slot of the batch is free, plus the
// slowdown by concurrent requests.
func scoreWaiting(d *scratch, c *candidate) float64 {
	batch := c.estimate.BatchLimit
	ahead := max(0, c.estimate.Load+1-batch)
	share := min(1, c.share())
	return d.weights.latency * d.runTime * (ahead/batch + batchSlowdown*share)
}

// scorePrefix returns the time to prefill the uncached prompt tokens, weighted as
// latency and as recomputation.
func scorePrefix(d *scratch, c *candidate) float64 {
	uncached := max(0, float64(d.request.PromptTokens)-c.cached)
	return (d.weights.latency + d.weights.recompute) * uncached * d.prefill
}

// priceShare is the fraction of a request's price that placement can save.
// Instances are paid for until they are stopped, so placing requests on a cheap
// instance saves money only to the extent that an expensive one can be stopped.
const priceShare = 0.1

// scorePrice returns the price, above the mean, of the accelerator time that the
// request takes: one slot of the batch while it decodes, and the whole accelerator
// while its prompt is prefilled. It is 0 for requests with known prefixes, since a
// conversation that moves to a cheaper instance has to be prefilled again there.
func scorePrice(d *scratch, c *candidate) float64 {
	if len(d.request.Prefixes) > 0 {
		return 0
	}
	uncached := max(0, float64(d.request.PromptTokens)-c.cached)
	time := (d.runTime-float64(d.request.PromptTokens)*d.prefill)/c.estimate.BatchLimit + uncached*d.prefill
	return priceShare * d.weights.cost * (c.price - 1) * time
}

// scoreReclaim returns the probability of a reclaim while the request runs, times the
// time to recompute what would be lost: the prompt, half of the output, and the
// prompt once more for the next request, which loses its cache hit.
func scoreReclaim(d *scratch, c *candidate) float64 {
	probability := min(1, c.reclaimRate*d.runTime)
	lost := 2*float64(d.request.PromptTokens) + d.output/2
	return (d.weights.latency + d.weights.recompute) * probability * lost * d.prefill
}

// weights holds the score weights of a preset.
type weights struct {
	cost, recompute, latency float64
}

// weightsOf returns the weights of the request's preset, or all 1 if it has none.
func weightsOf(r *Request) weights {
	if r.Preset == nil {
		return weights{cost: 1, recompute: 1, latency: 1}
	}
	return weights{cost: r.Preset.CostWeight, recompute: r.Preset.RecomputeWeight, latency: r.Preset.LatencyWeight}
}
