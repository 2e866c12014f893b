// Package migrate chooses how a running stream goes on when its endpoint is
// told to leave: finish there, move the KV cache, resume from a cached prefix,
// or compute all again. The choice is a pure function of estimates.
package migrate

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/fleet"
)

// Way is how a stream goes on.
type Way string

// The ways in which a stream goes on.
const (
	// Finish lets the stream end on the leaving endpoint.
	Finish Way = "finish"
	// Transfer exports the KV cache to the target, where the stream resumes.
	Transfer Way = "kv_transfer"
	// Resume starts on the target, which has a prefix of the prompt cached.
	Resume Way = "cached_prefix"
	// Recompute starts on the target, which has nothing cached.
	Recompute Way = "recompute"
)

// Margins of the estimates.
const (
	// graceMargin is kept free of the time to the stop: the last tokens must
	// arrive and an estimate that proves wrong must leave time to move.
	graceMargin = 500 * time.Millisecond
	// graceUse is the largest part of the time left that finishing may take.
	maxGraceShare = 0.8
)

// Stream describes the work that runs on the leaving endpoint.
type Stream struct {
	PromptTokens int
	// Done and Left count the tokens of the answer. Left is an upper bound.
	Done, Left int
	// TokenInterval is the measured time between tokens.
	TokenInterval time.Duration
	// Grace is the time until the endpoint stops; zero if it is not known.
	Grace time.Duration
	// KVBytes is the size of the KV cache; zero if it can't be exported.
	KVBytes int64
	// Deadline is the time left to the request's deadline.
	Deadline time.Duration
}

// Target is an endpoint that the stream could go on with. Targets are allowed
// places only; the caller checks them again right before the move.
type Target struct {
	Endpoint *fleet.Endpoint
	// CachedTokens is the expected number of cached tokens of prompt and answer.
	CachedTokens int
	// Wait is the expected time in the endpoint's queue.
	Wait time.Duration
	// KVBandwidth is the transfer rate to the endpoint in bytes per second; zero
	// if it can't import.
	KVBandwidth float64
	// PrefillPerToken and TokenInterval are the endpoint's speeds.
	PrefillPerToken, TokenInterval time.Duration
	// Price is relative to the mean of all targets.
	Price float64
}

// Plan is the chosen way.
type Plan struct {
	Way Way
	// Target is nil if the stream finishes where it runs.
	Target *Target
	// Pause is the expected time until the next token.
	Pause time.Duration
	// RecomputedTokens is the expected number of tokens that are computed again.
	RecomputedTokens int
}

// Choose returns the plan of least cost, or false if no target exists and the
// stream can't finish in time: then it must run on until its endpoint stops.
func Choose(s Stream, targets []Target, p *config.Preset) (Plan, bool) {
	if s.canFinish() {
		return Plan{Way: Finish}, true
	}
	var best Plan
	lowest, found := 0.0, false
	for i := range targets {
		for _, plan := range s.plans(&targets[i]) {
			if c := s.cost(&plan, p); !found || c < lowest {
				best, lowest, found = plan, c, true
			}
		}
	}
	return best, found
}

// canFinish tells whether the rest of the answer fits into the notice.
func (s *Stream) canFinish() bool {
	if s.Grace <= 0 {
		return false
	}
	need := time.Duration(s.Left) * s.TokenInterval
	return need <= s.Grace-graceMargin && float64(need) <= maxGraceShare*float64(s.Grace)
}

// plans returns the ways to go on at a target.
func (s *Stream) plans(t *Target) []Plan {
	plans := []Plan{s.restartPlan(t)}
	if s.KVBytes > 0 && t.KVBandwidth > 0 {
		transferTime := time.Duration(float64(s.KVBytes) / t.KVBandwidth * float64(time.Second))
		if s.Grace > 0 && transferTime+graceMargin <= s.Grace {
			plans = append(plans, Plan{Way: Transfer, Target: t, Pause: transferTime + t.Wait})
		}
	}
	return plans
}

// restart computes what is not cached at the target.
func (s *Stream) restartPlan(t *Target) Plan {
	all := s.PromptTokens + s.Done
	recomputed := max(0, all-t.CachedTokens)
	way := Recompute
	if t.CachedTokens > 0 {
		way = Resume
	}
	return Plan{Way: way, Target: t, Pause: t.Wait + time.Duration(recomputed)*t.PrefillPerToken, RecomputedTokens: recomputed}
}

// lateFactor weighs each second after the deadline.
const latenessWeight = 100

// cost is the weighted sum, in seconds, of the pause, the recomputed work and
// the price of the rest.
func (s *Stream) cost(p *Plan, preset *config.Preset) float64 {
	t := p.Target
	rest := time.Duration(s.Left) * t.TokenInterval
	latency, recompute, price := 1.0, 1.0, 1.0
	if preset != nil {
		latency, recompute, price = preset.LatencyWeight, preset.RecomputeWeight, preset.CostWeight
	}
	recomputeTime := time.Duration(p.RecomputedTokens) * t.PrefillPerToken
	late := max(0, p.Pause+rest-s.Deadline)
	return latency*p.Pause.Seconds() + recompute*recomputeTime.Seconds() +
		price*(t.Price-1)*(rest+recomputeTime).Seconds() + latenessWeight*late.Seconds()
}
