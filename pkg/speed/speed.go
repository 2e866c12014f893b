// Package speed estimates the speed of each service's endpoints from the times of past
// requests: how long they take to prefill a prompt and to decode a token, which share of
// a shared prefix is cached, and how long plain calls take. Instances exchange the
// sums over their samples.
package speed

import (
	"sync"
	"sync/atomic"
	"time"
)

// Model holds the speeds of the endpoints of each service. It is safe for concurrent use.
type Model struct {
	now func() time.Time

	mu       sync.Mutex
	services map[string]*Service
}

// New returns a model without samples.
func New(now func() time.Time) *Model {
	return &Model{now: now, services: make(map[string]*Service)}
}

// Service returns the Service with the given name and creates it if necessary.
func (m *Model) Service(name string) *Service {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.services[name]
	if !ok {
		s = newService(m.now)
		m.services[name] = s
	}
	return s
}

// Estimates returns the current estimates by service.
func (m *Model) Estimates() map[string]*Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]*Estimate, len(m.services))
	for name, s := range m.services {
		out[name] = s.Estimate()
	}
	return out
}

// PrefillWork is the prefill work of an endpoint before an answer begins, in tokens.
type PrefillWork struct {
	// Own is the number of tokens that only this prompt contains. Shared is the number of
	// tokens that may be cached on the endpoint.
	Own, Shared int
	// Ahead is the number of pending prompt tokens of earlier requests.
	Ahead int
}

// Service estimates the speed of one service's endpoints. It is safe for concurrent use.
type Service struct {
	now func() time.Time

	mu sync.Mutex
	// prefill fits the times until answers begin, prefillAlone only those of prompts that
	// were the only pending one on their endpoint: they show the work of a single prompt.
	prefill      fit
	prefillAlone fit
	decode       fit
	calls        fit
	// disturbedDecode is a high quantile of the time per token during prefills.
	disturbedDecode quantile
	// outputs holds the mean number of output tokens by route.
	outputs map[string]float64
	// known is true once there were enough samples to rely on the prefill times.
	known bool

	estimate atomic.Pointer[Estimate]
}

// Terms of the prefill fits, in milliseconds, and per 1,000 tokens except for termBase.
const (
	termBase = iota
	termOwn
	termShared
	termAhead
)

// termRunning is the second term of the fits of decode steps and plain calls, in
// milliseconds per request that runs on the endpoint.
const termRunning = 1

// Bounds of plausible endpoint speeds.
const (
	// minPrefillTime and maxPrefillTime bound the prefill of 1,000 tokens, in milliseconds.
	minPrefillTime, maxPrefillTime = 0.02, 2000.0
	// maxBaseSteps, in decode steps, and maxBaseTime, in milliseconds, together bound the
	// time to the first token of a very short prompt on an idle endpoint.
	maxBaseSteps, maxBaseTime = 8.0, 30.0
	// minAheadShare is the smallest cost of a pending token of earlier requests, as a share
	// of the cost of an own token.
	minAheadShare = 0.3
	// minTime and maxTime bound the time of a decode step or a plain call, in milliseconds.
	minTime, maxTime = 0.01, 10_000.0
)

// Initial terms before the first samples, in milliseconds.
var (
	initialPrefill = vector{termBase: 20, termOwn: 12, termShared: 4, termAhead: 8}
	initialDecode  = vector{5, 0.02}
	initialCalls   = vector{10, 0}
)

func newService(now func() time.Time) *Service {
	s := &Service{
		now:     now,
		decode:  newFit(initialDecode, boundTime),
		calls:   newFit(initialCalls, boundTime),
		outputs: make(map[string]float64),
	}
	s.prefill = newFit(initialPrefill, s.boundPrefill)
	s.prefillAlone = newFit(initialPrefill, s.boundPrefill)
	s.publish()
	return s
}

func (s *Service) boundPrefill(v *vector) {
	v[termBase] = clamp(v[termBase], 0, maxBaseTime+maxBaseSteps*s.decode.terms[0])
	v[termOwn] = clamp(v[termOwn], minPrefillTime, maxPrefillTime)
	v[termShared] = clamp(v[termShared], 0, v[termOwn])
	v[termAhead] = clamp(v[termAhead], minAheadShare*v[termOwn], v[termOwn])
}

func boundTime(v *vector) {
	v[0] = clamp(v[0], minTime, maxTime)
	v[termRunning] = clamp(v[termRunning], 0, maxTime)
	v[2], v[3] = 0, 0
}

func clamp(x, low, high float64) float64 { return max(low, min(high, x)) }

// tokensPerUnit is the number of tokens in a unit of the fit's inputs.
const tokensPerUnit = 1000

func (w PrefillWork) vector() vector {
	return vector{
		termBase: 1, termOwn: float64(w.Own) / tokensPerUnit,
		termShared: float64(w.Shared) / tokensPerUnit, termAhead: float64(w.Ahead) / tokensPerUnit,
	}
}

// RecordStart records the time from sending a request until its answer began.
func (s *Service) RecordStart(w PrefillWork, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prefill.addSample(w.vector(), millis(took), s.now()) {
		s.publish()
	}
}

// RecordStartAlone records the time from sending a request until its answer began, for a
// request whose prompt was the only pending one on its endpoint.
func (s *Service) RecordStartAlone(w PrefillWork, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prefillAlone.addSample(w.vector(), millis(took), s.now()) {
		s.publish()
	}
}

// RecordAbandoned records the time after which a request ended before its answer began.
// The time is used only if the answer was expected earlier.
func (s *Service) RecordAbandoned(w PrefillWork, after time.Duration) {
	if s.Estimate().TimeToFirstToken(w) < after {
		s.RecordStart(w, after)
	}
}

// RecordDecode records the time per token of a stream while a number of requests ran on
// its endpoint and no prompt was prefilled.
func (s *Service) RecordDecode(running int, perToken time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decode.addSample(vector{1, float64(running)}, millis(perToken), s.now()) {
		s.publish()
	}
}

// RecordDisturbedDecode records the time per token of a stream while its endpoint
// prefilled other prompts.
func (s *Service) RecordDisturbedDecode(perToken time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbedDecode.update(millis(perToken))
	if s.disturbedDecode.samples%disturbedPublishInterval == 0 {
		s.publish()
	}
}

// RecordCall records the time of a plain call while a number of others ran on its endpoint.
func (s *Service) RecordCall(running int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls.addSample(vector{1, float64(running)}, millis(took), s.now()) {
		s.publish()
	}
}

const (
	// outputWeight is the weight of the newest stream in the mean output of a route.
	outputWeight = 0.03
	// maxRoutes bounds the number of routes whose mean output is kept.
	maxRoutes = 1024
)

// RecordOutput records the number of output tokens of a completed stream.
func (s *Service) RecordOutput(route string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.outputs[route]
	if !known {
		if len(s.outputs) < maxRoutes {
			s.outputs[route] = float64(tokens)
		}
		return
	}
	s.outputs[route] = mean + outputWeight*(float64(tokens)-mean)
}

// MeanOutput returns the mean number of output tokens on a route; false if unknown.
func (s *Service) MeanOutput(route string) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.outputs[route]
	return mean, known
}

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
