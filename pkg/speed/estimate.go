package speed

import (
	"log/slog"
	"time"
)

// minSamples is the number of samples from which an estimate counts as known. It stays
// known even if samples expire.
const minSamples = 16

// maxMeanError bounds the relative error that WithMargin allows for.
const maxMeanError = 0.5

// Estimate is an immutable estimate of the speed of a service's endpoints.
type Estimate struct {
	prefill, prefillAlone, decode, calls vector
	// meanError is the mean relative error of the times until answers begin.
	meanError float64
	// disturbedDecode is a high quantile of the time per token during prefills, in
	// milliseconds; 0 if unknown.
	disturbedDecode float64
	// Known is true once there were enough samples to rely on the prefill times.
	Known bool
}

// publish stores the newest solutions as the estimate. The caller holds the lock.
func (s *Service) publish() {
	all := s.prefill.pooled(s.now())
	s.known = s.known || all.count >= minSamples
	s.estimate.Store(&Estimate{
		prefill: s.prefill.terms, prefillAlone: s.prefillAlone.terms, decode: s.decode.terms, calls: s.calls.terms,
		meanError: min(maxMeanError, s.prefill.meanError), disturbedDecode: s.disturbedDecode.estimate(), Known: s.known,
	})
}

// Estimate returns the current estimate.
func (s *Service) Estimate() *Estimate { return s.estimate.Load() }

// TimeToFirstToken returns the expected time from sending a request until its answer begins.
func (e *Estimate) TimeToFirstToken(w PrefillWork) time.Duration {
	return duration(e.prefill.dot(w.vector()))
}

// TimeToFirstTokenAlone is TimeToFirstToken for a request whose prompt is the only pending one on
// its endpoint.
func (e *Estimate) TimeToFirstTokenAlone(w PrefillWork) time.Duration {
	return duration(e.prefillAlone.dot(w.vector()))
}

// QueueWait returns the part of TimeToFirstToken spent on the prefill of other requests.
func (e *Estimate) QueueWait(w PrefillWork) time.Duration {
	return duration(e.prefill[termAhead] * float64(w.Ahead) / tokensPerUnit)
}

// WithMargin adds the mean estimation error to an expected time until an answer begins.
func (e *Estimate) WithMargin(start time.Duration) time.Duration {
	return time.Duration(float64(start) * (1 + e.meanError))
}

// PerPromptToken returns the time in which an endpoint prefills one uncached token.
func (e *Estimate) PerPromptToken() time.Duration {
	return duration(e.prefill[termOwn] / tokensPerUnit)
}

// PrefillTime returns the time for which the prefill of a prompt occupies an endpoint.
func (e *Estimate) PrefillTime(own, shared int) time.Duration {
	return duration((e.prefillAlone[termOwn]*float64(own) + e.prefillAlone[termShared]*float64(shared)) / tokensPerUnit)
}

// CacheMissRate returns the share of shared tokens that are not cached on the endpoint.
func (e *Estimate) CacheMissRate() float64 {
	return e.prefillAlone[termShared] / e.prefillAlone[termOwn]
}

// StepTime returns the time of a decode step, in which one token of each running request
// is decoded, while no prompt is prefilled.
func (e *Estimate) StepTime(running int) time.Duration {
	return duration(e.decode[0] + e.decode[termRunning]*float64(running))
}

// DisturbedTokenTime returns a high quantile of the time per token during prefills; 0 if
// unknown.
func (e *Estimate) DisturbedTokenTime() time.Duration { return duration(e.disturbedDecode) }

// CallTime returns the expected time of a plain call while a number of others run.
func (e *Estimate) CallTime(running int) time.Duration {
	return duration(e.calls[0] + e.calls[termRunning]*float64(running))
}

// LogValue implements slog.LogValuer. Times are in milliseconds, those for prompt tokens
// per 1,000 tokens.
func (e *Estimate) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Float64("base_ms", e.prefill[termBase]), slog.Float64("read_ms", e.prefill[termOwn]),
		slog.Float64("shared_ms", e.prefill[termShared]), slog.Float64("ahead_ms", e.prefill[termAhead]),
		slog.Float64("alone_read_ms", e.prefillAlone[termOwn]), slog.Float64("alone_shared_ms", e.prefillAlone[termShared]),
		slog.Float64("step_ms", e.decode[0]), slog.Float64("row_ms", e.decode[termRunning]),
		slog.Float64("call_ms", e.calls[0]), slog.Float64("spread", e.meanError), slog.Float64("disturbed_ms", e.disturbedDecode), slog.Bool("known", e.Known),
	)
}
