package speed

import (
	"log/slog"
	"time"
)

// knownSamples is the number of samples from which estimates are relied on, from
// then on.
const minSamples = 16

// maxSpread bounds the error of expected starts that is allowed for.
const maxMeanError = 0.5

// Estimate is what is believed of the endpoints of a service. It doesn't change.
type Estimate struct {
	prefill, prefillAlone, decode, calls vector
	// spread is the mean error of the expected starts, as a share of them.
	meanError float64
	// disturbed is the time of a token while prompts are read beside, in milliseconds; 0
	// if it isn't known.
	disturbedDecode float64
	// Known is true once enough answers were seen to rely on the times of reading.
	Known bool
}

// publish makes the newest solutions the estimate. The lock is held.
func (s *Service) publish() {
	all := s.prefill.pooled(s.now())
	s.known = s.known || all.count >= minSamples
	s.estimate.Store(&Estimate{
		prefill: s.prefill.terms, prefillAlone: s.prefillAlone.terms, decode: s.decode.terms, calls: s.calls.terms,
		meanError: min(maxMeanError, s.prefill.meanError), disturbedDecode: s.disturbedDecode.estimate(), Known: s.known,
	})
}

// Estimate returns what is believed now.
func (s *Service) Estimate() *Estimate { return s.estimate.Load() }

// Start is the expected time from the send of a request until its answer begins.
func (e *Estimate) TimeToFirstToken(r PrefillWork) time.Duration {
	return duration(e.prefill.dot(r.vector()))
}

// Wait is the part of that time in which others are read.
func (e *Estimate) QueueWait(r PrefillWork) time.Duration {
	return duration(e.prefill[termAhead] * float64(r.Ahead) / tokensPerUnit)
}

// Surely is the time by which an answer has usually begun that is expected at a time.
func (e *Estimate) WithMargin(start time.Duration) time.Duration {
	return time.Duration(float64(start) * (1 + e.meanError))
}

// Token is the time in which an endpoint reads a token of a prompt.
func (e *Estimate) PerPromptToken() time.Duration {
	return duration(e.prefill[termOwn] / tokensPerUnit)
}

// Read is the time for which reading a prompt keeps an endpoint busy.
func (e *Estimate) PrefillTime(own, shared int) time.Duration {
	return duration((e.prefillAlone[termOwn]*float64(own) + e.prefillAlone[termShared]*float64(shared)) / tokensPerUnit)
}

// Missing is the share of shared tokens that endpoints don't find in their caches.
func (e *Estimate) CacheMissRate() float64 {
	return e.prefillAlone[termShared] / e.prefillAlone[termOwn]
}

// Step is the time in which an endpoint that reads no prompts writes one token of
// each of a number of requests.
func (e *Estimate) StepTime(running int) time.Duration {
	return duration(e.decode[0] + e.decode[termRunning]*float64(running))
}

// Disturbed is the time of a token, at its upper end, while prompts are read beside; 0
// if it isn't known.
func (e *Estimate) DisturbedTokenTime() time.Duration { return duration(e.disturbedDecode) }

// Call is the time of a plain call beside a number of others.
func (e *Estimate) CallTime(running int) time.Duration {
	return duration(e.calls[0] + e.calls[termRunning]*float64(running))
}

// LogValue shows the estimate in milliseconds; tokens are counted in thousands.
func (e *Estimate) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Float64("base_ms", e.prefill[termBase]), slog.Float64("read_ms", e.prefill[termOwn]),
		slog.Float64("shared_ms", e.prefill[termShared]), slog.Float64("ahead_ms", e.prefill[termAhead]),
		slog.Float64("alone_read_ms", e.prefillAlone[termOwn]), slog.Float64("alone_shared_ms", e.prefillAlone[termShared]),
		slog.Float64("step_ms", e.decode[0]), slog.Float64("row_ms", e.decode[termRunning]),
		slog.Float64("call_ms", e.calls[0]), slog.Float64("spread", e.meanError), slog.Float64("disturbed_ms", e.disturbedDecode), slog.Bool("known", e.Known),
	)
}
