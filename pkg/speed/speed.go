// Package speed learns from finished requests how fast the endpoints of each
// service work: how long they take to read a prompt and to write a token, how
// much of a shared prompt they find cached, and how long plain calls take.
// Instances share what they learn.
package speed

import (
	"sync"
	"sync/atomic"
	"time"
)

// Model holds what is known of the endpoints of each service. It is safe for
// concurrent use.
type Model struct {
	now func() time.Time

	mu       sync.Mutex
	services map[string]*Service
}

// New returns a model that has seen nothing.
func New(now func() time.Time) *Model {
	return &Model{now: now, services: make(map[string]*Service)}
}

// Service returns what is known of a service.
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

// Estimates returns what is believed of each service.
func (m *Model) Estimates() map[string]*Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]*Estimate, len(m.services))
	for name, s := range m.services {
		out[name] = s.Estimate()
	}
	return out
}

// Reading is the prompt work that an endpoint has to do before an answer begins,
// in tokens.
type PrefillWork struct {
	// Own tokens have to be read, Shared ones may be found in the endpoint's cache.
	Own, Shared int
	// Ahead is the number of tokens that requests before it wait for.
	Ahead int
}

// Service learns the speed of one service's endpoints. It is safe for concurrent use.
type Service struct {
	now func() time.Time

	mu sync.Mutex
	// reading holds the times until answers begin, alone only those of prompts beside
	// which no other was read: they tell the work of one.
	prefill      fit
	prefillAlone fit
	decode       fit
	calls        fit
	// disturbed is the time of a token that is written while prompts are read beside,
	// at its upper end.
	disturbedDecode quantile
	// outputs holds the mean number of output tokens by route.
	outputs map[string]float64
	// known is true once enough answers were seen to rely on the times of reading.
	known bool

	estimate atomic.Pointer[Estimate]
}

// Terms of the fit of reading, in milliseconds; tokens are counted in thousands.
const (
	termBase = iota
	termOwn
	termShared
	termAhead
)

// termBusy is the second term of the fits of writing and of plain calls, in
// milliseconds for each request that runs beside.
const termRunning = 1

// Bounds of what endpoints are taken to be capable of.
const (
	// minReadTime and maxReadTime bound the reading of 1,000 prompt tokens, in milliseconds.
	minPrefillTime, maxPrefillTime = 0.02, 2000.0
	// maxBaseSteps and maxBaseTime, in milliseconds, together bound the time until a
	// short prompt is answered where nothing else waits.
	maxBaseSteps, maxBaseTime = 8.0, 30.0
	// minAhead bounds what a token of the requests before costs, as a share of an own one.
	minAheadShare = 0.3
	// minTime and maxTime bound the time of a step or a plain call, in milliseconds.
	minTime, maxTime = 0.01, 10_000.0
)

// Guesses before the first samples, in milliseconds.
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

func (r PrefillWork) vector() vector {
	return vector{
		termBase: 1, termOwn: float64(r.Own) / tokensPerUnit,
		termShared: float64(r.Shared) / tokensPerUnit, termAhead: float64(r.Ahead) / tokensPerUnit,
	}
}

// Began takes the time from the send of a request until its answer began.
func (s *Service) RecordStart(r PrefillWork, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prefill.addSample(r.vector(), millis(took), s.now()) {
		s.publish()
	}
}

// BeganAlone takes the same time of a request beside which no other prompt was read.
func (s *Service) RecordStartAlone(r PrefillWork, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prefillAlone.addSample(r.vector(), millis(took), s.now()) {
		s.publish()
	}
}

// GivenUp takes the time after which a request ended whose answer had not begun.
// It tells something only where the answer was expected before.
func (s *Service) RecordAbandoned(r PrefillWork, after time.Duration) {
	if s.Estimate().TimeToFirstToken(r) < after {
		s.RecordStart(r, after)
	}
}

// Wrote takes the time that each token of a stream took while a number of requests
// ran at its endpoint and no prompt was read.
func (s *Service) RecordDecode(running int, perToken time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decode.addSample(vector{1, float64(running)}, millis(perToken), s.now()) {
		s.publish()
	}
}

// Disturbed takes the time that each token of a stream took while prompts were read
// beside.
func (s *Service) RecordDisturbedDecode(perToken time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbedDecode.update(millis(perToken))
	if s.disturbedDecode.samples%disturbedPublishInterval == 0 {
		s.publish()
	}
}

// Called takes the time of a plain call while a number of others ran at its endpoint.
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
	// maxRoutes bounds the routes of which the output is known.
	maxRoutes = 1024
)

// Finished takes the number of output tokens of a whole stream.
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

// Output returns the mean number of output tokens on a route; false if none was seen.
func (s *Service) MeanOutput(route string) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.outputs[route]
	return mean, known
}

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
