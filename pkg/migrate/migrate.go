// Package migrate chooses how a running stream continues when its endpoint is
// about to stop: finish there, transfer the KV cache, use a cached prefix
// elsewhere, or recompute all tokens. The choice is a pure function of estimates.
package migrate

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/kvmove"
)

// Strategy is how a stream continues when its endpoint is about to stop.
type Strategy string

// The strategies.
const (
	// Finish lets the stream end on the leaving endpoint.
	Finish Strategy = "finish"
	// Transfer exports the KV cache to the target, where the stream resumes.
	Transfer Strategy = "kv_transfer"
	// CachedPrefix starts a new attempt on the target, which has a prefix cached.
	CachedPrefix Strategy = "cached_prefix"
	// Recompute starts a new attempt on the target, which has nothing cached.
	Recompute Strategy = "recompute"
)

// Stream describes a stream that runs on a leaving endpoint.
type Stream struct {
	PromptTokens int
	// DecodedTokens is the number of tokens decoded so far; RemainingTokens is an
	// upper bound of those still to decode.
	DecodedTokens, RemainingTokens int
	// TokenInterval is the measured time between tokens.
	TokenInterval time.Duration
	// Grace is the time until the endpoint stops; zero if it is not known.
	Grace time.Duration
	// KVBytes is the size of the KV cache; zero if it can't be exported.
	KVBytes int64
	// Deadline is the time left to the request's deadline.
	Deadline time.Duration
}

// Target is an endpoint on which the stream could continue. The caller passes
// only allowed endpoints and checks them again right before the move.
type Target struct {
	Endpoint *fleet.Endpoint
	// CachedTokens is the expected number of cached tokens of prompt and answer.
	CachedTokens int
	// Wait is the expected time in the endpoint's queue.
	Wait time.Duration
	// KVBandwidth is the transfer rate to the endpoint in bytes per second; zero
	// if it can't import.
	KVBandwidth float64
	// PrefillPerToken and TokenInterval are the endpoint's times per prompt
	// token and per decoded token.
	PrefillPerToken, TokenInterval time.Duration
	// Price is the endpoint's price relative to the mean of all targets.
	Price float64
}

// Plan is a strategy and its target, with the expected effects.
type Plan struct {
	Strategy Strategy
	// Target is nil if the stream finishes where it runs.
	Target *Target
	// Pause is the expected time until the next token.
	Pause time.Duration
	// RecomputedTokens is the expected number of tokens that are computed again.
	RecomputedTokens int
}

// Choose returns the plan of lowest cost. It returns false if there is no target
// and the stream can't finish in time; it then runs until its endpoint stops.
func Choose(s Stream, targets []Target, p *config.Preset) (Plan, bool) {
	if s.canFinish() {
		return Plan{Strategy: Finish}, true
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

// canFinish reports whether the rest of the answer can be decoded within the
// notice period.
func (s *Stream) canFinish() bool {
	if s.Grace <= 0 {
		return false
	}
	return kvmove.EndsInTime(time.Duration(s.RemainingTokens)*s.TokenInterval, s.Grace)
}

// plans returns the possible plans for a target.
func (s *Stream) plans(t *Target) []Plan {
	plans := []Plan{s.restartPlan(t)}
	if s.KVBytes > 0 && t.KVBandwidth > 0 {
		transferTime := kvmove.TransferTime(float64(s.KVBytes), t.KVBandwidth)
		if s.Grace > 0 && transferTime+kvmove.StopMargin <= s.Grace {
			plans = append(plans, Plan{Strategy: Transfer, Target: t, Pause: transferTime + t.Wait})
		}
	}
	return plans
}

// restartPlan returns the plan that recomputes the tokens not cached on the target.
func (s *Stream) restartPlan(t *Target) Plan {
	all := s.PromptTokens + s.DecodedTokens
	recomputed := max(0, all-t.CachedTokens)
	strategy := Recompute
	if t.CachedTokens > 0 {
		strategy = CachedPrefix
	}
	return Plan{Strategy: strategy, Target: t, Pause: t.Wait + time.Duration(recomputed)*t.PrefillPerToken, RecomputedTokens: recomputed}
}

// latenessWeight is the cost of each second after the deadline.
const latenessWeight = 100

// cost returns the weighted sum, in seconds, of the pause, the recomputed work,
// the price of the remaining work and the time past the deadline.
func (s *Stream) cost(p *Plan, preset *config.Preset) float64 {
	t := p.Target
	rest := time.Duration(s.RemainingTokens) * t.TokenInterval
	latency, recompute, price := 1.0, 1.0, 1.0
	if preset != nil {
		latency, recompute, price = preset.LatencyWeight, preset.RecomputeWeight, preset.CostWeight
	}
	recomputeTime := time.Duration(p.RecomputedTokens) * t.PrefillPerToken
	late := max(0, p.Pause+rest-s.Deadline)
	return latency*p.Pause.Seconds() + recompute*recomputeTime.Seconds() +
		price*(t.Price-1)*(rest+recomputeTime).Seconds() + latenessWeight*late.Seconds()
}
