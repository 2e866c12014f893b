package place

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/loadview"
)

// Speeds describes the engines, so that scores are in seconds.
type Speeds struct {
	// PrefillPerToken is the time per prompt token that is not cached.
	PrefillPerToken time.Duration
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// OutputTokens bounds the expected length of an answer, in tokens.
	OutputTokens int
	// CallTime is the expected time of a request without a prompt.
	CallTime time.Duration
}

// DefaultSpeeds describes a common engine.
var DefaultSpeeds = Speeds{
	PrefillPerToken: 500 * time.Microsecond, TokenInterval: 25 * time.Millisecond,
	OutputTokens: 200, CallTime: 50 * time.Millisecond,
}

// Term names one part of a score.
type Term int

// The terms of a score.
const (
	// TermWaiting is the expected time in the engine's queue.
	TermWaiting Term = iota
	// TermPrefix is the time to compute the prompt tokens that are not cached.
	TermPrefix
	// TermPrice is the price of the work relative to the mean.
	TermPrice
	// TermReclaim is the expected time to compute again what a reclaim would lose.
	TermReclaim
	termCount
)

// termScore computes one term in weighted seconds; lower is better.
type termScore func(d *scratch, c *candidate) float64

// terms is the scoring plugin of each term.
var terms = [termCount]termScore{
	TermWaiting: scoreWaiting,
	TermPrefix:  scorePrefix,
	TermPrice:   scorePrice,
	TermReclaim: scoreReclaim,
}

// candidate is a member that is scored.
type candidate struct {
	*member
	index    int32
	estimate loadview.Estimate
	// cached is the expected number of cached prompt tokens.
	cached float64
}

// share is the expected load as a share of the batch limit.
func (c *candidate) share() float64 {
	return c.estimate.Load / c.estimate.BatchLimit
}

// batchSlowdown is how much longer a request takes in a full batch than alone,
// as a share of its time.
const batchSlowdown = 0.1

// scoreWaiting is the time until a place in the batch is free, and the slowdown
// by the requests that run beside.
func scoreWaiting(d *scratch, c *candidate) float64 {
	batch := c.estimate.BatchLimit
	ahead := max(0, c.estimate.Load+1-batch)
	share := min(1, c.share())
	return d.weights.latency * d.runTime * (ahead/batch + batchSlowdown*share)
}

// scorePrefix counts uncached prompt tokens as waiting and as work.
func scorePrefix(d *scratch, c *candidate) float64 {
	uncached := max(0, float64(d.request.PromptTokens)-c.cached)
	return (d.weights.latency + d.weights.recompute) * uncached * d.prefill
}

// priceShare is how much of the price of the work placement decides: instances
// are paid for until they stop, so work on a cheap one saves only in so far as
// a dear one can be stopped.
const priceShare = 0.1

// scorePrice is the extra price over the mean of the accelerator time that the
// work takes: one place of the batch while it runs, and all of the accelerator
// while its prompt is computed. It counts only for work without known prefixes:
// a conversation that moves to a cheaper instance is computed again there.
func scorePrice(d *scratch, c *candidate) float64 {
	if len(d.request.Prefixes) > 0 {
		return 0
	}
	uncached := max(0, float64(d.request.PromptTokens)-c.cached)
	time := (d.runTime-float64(d.request.PromptTokens)*d.prefill)/c.estimate.BatchLimit + uncached*d.prefill
	return priceShare * d.weights.cost * (c.price - 1) * time
}

// scoreReclaim is the probability of a reclaim while the work runs, times the
// time to compute the prompt and half of the answer again, and the prompt once
// more for the next request that would have found it cached.
func scoreReclaim(d *scratch, c *candidate) float64 {
	probability := min(1, c.reclaimRate*d.runTime)
	lost := 2*float64(d.request.PromptTokens) + d.output/2
	return (d.weights.latency + d.weights.recompute) * probability * lost * d.prefill
}

// weights are a preset's weights.
type weights struct {
	cost, recompute, latency float64
}

// weightsOf returns the weights of a preset; a missing preset weighs all alike.
func weightsOf(r *Request) weights {
	if r.Preset == nil {
		return weights{cost: 1, recompute: 1, latency: 1}
	}
	return weights{cost: r.Preset.CostWeight, recompute: r.Preset.RecomputeWeight, latency: r.Preset.LatencyWeight}
}
