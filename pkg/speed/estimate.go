package speed

import (
	"log/slog"
	"time"
)

// knownSamples is the number of samples from which estimates are relied on, from
// then on.
const knownSamples = 16

// maxSpread bounds the error of expected starts that is allowed for.
const maxSpread = 0.5

// Estimate is what is believed of the endpoints of a service. It doesn't change.
type Estimate struct {
	reading, alone, writing, calls vector
	// spread is the mean error of the expected starts, as a share of them.
	spread float64
	// disturbed is the time of a token while prompts are read beside, in milliseconds; 0
	// if it isn't known.
	disturbed float64
	// Known is true once enough answers were seen to rely on the times of reading.
	Known bool
}

// publish makes the newest solutions the estimate. The lock is held.
func (s *Service) publish() {
	all := s.reading.pooled(s.now())
	s.known = s.known || all.count >= knownSamples
	s.estimate.Store(&Estimate{
		reading: s.reading.terms, alone: s.alone.terms, writing: s.writing.terms, calls: s.calls.terms,
		spread: min(maxSpread, s.reading.spread), disturbed: s.disturbed.known(), Known: s.known,
	})
}

// Estimate returns what is believed now.
func (s *Service) Estimate() *Estimate { return s.estimate.Load() }

// Start is the expected time from the send of a request until its answer begins.
func (e *Estimate) Start(r Reading) time.Duration { return duration(e.reading.dot(r.vector())) }

// Wait is the part of that time in which others are read.
func (e *Estimate) Wait(r Reading) time.Duration {
	return duration(e.reading[termAhead] * float64(r.Ahead) / tokensPerUnit)
}

// Surely is the time by which an answer has usually begun that is expected at a time.
func (e *Estimate) Surely(start time.Duration) time.Duration {
	return time.Duration(float64(start) * (1 + e.spread))
}

// Token is the time in which an endpoint reads a token of a prompt.
func (e *Estimate) Token() time.Duration { return duration(e.reading[termOwn] / tokensPerUnit) }

// Read is the time for which reading a prompt keeps an endpoint busy.
func (e *Estimate) Read(own, shared int) time.Duration {
	return duration((e.alone[termOwn]*float64(own) + e.alone[termShared]*float64(shared)) / tokensPerUnit)
}

// Missing is the share of shared tokens that endpoints don't find in their caches.
func (e *Estimate) Missing() float64 { return e.alone[termShared] / e.alone[termOwn] }

// Step is the time in which an endpoint that reads no prompts writes one token of
// each of a number of requests.
func (e *Estimate) Step(running int) time.Duration {
	return duration(e.writing[0] + e.writing[termBusy]*float64(running))
}

// Disturbed is the time of a token, at its upper end, while prompts are read beside; 0
// if it isn't known.
func (e *Estimate) Disturbed() time.Duration { return duration(e.disturbed) }

// Call is the time of a plain call beside a number of others.
func (e *Estimate) Call(running int) time.Duration {
	return duration(e.calls[0] + e.calls[termBusy]*float64(running))
}

// LogValue shows the estimate in milliseconds; tokens are counted in thousands.
func (e *Estimate) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Float64("base_ms", e.reading[termBase]), slog.Float64("read_ms", e.reading[termOwn]),
		slog.Float64("shared_ms", e.reading[termShared]), slog.Float64("ahead_ms", e.reading[termAhead]),
		slog.Float64("alone_read_ms", e.alone[termOwn]), slog.Float64("alone_shared_ms", e.alone[termShared]),
		slog.Float64("step_ms", e.writing[0]), slog.Float64("row_ms", e.writing[termBusy]),
		slog.Float64("call_ms", e.calls[0]), slog.Float64("spread", e.spread), slog.Float64("disturbed_ms", e.disturbed), slog.Bool("known", e.Known),
	)
}
