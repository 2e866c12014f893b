package speed

// Shared is what one instance has learnt of a service, in the form in which
// instances tell it each other and store it: the sums over its own samples, first
// the products of two inputs, then those of an input and the measured value, and
// the number of samples.
type Summary struct {
	_            struct{}  `cbor:",toarray"`
	Prefill      []float32 `json:"reading,omitempty"`
	PrefillAlone []float32 `json:"alone,omitempty"`
	Decode       []float32 `json:"writing,omitempty"`
	Calls        []float32 `json:"calls,omitempty"`
}

// pairs lists the products of the first two inputs.
var lineProducts = [...]int{0, 1, maxTerms}

// The numbers of values that a fit with all terms, and one with two, is told in.
const (
	fullLength = maxProducts + maxTerms + 1
	lineLength = len(lineProducts) + 2 + 1
)

// Own returns what this instance has learnt itself, by service.
func (m *Model) OwnSummaries() map[string]Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Summary, len(m.services))
	for name, s := range m.services {
		if shared, ok := s.summary(); ok {
			out[name] = shared
		}
	}
	return out
}

// All returns what this instance and its peers have learnt, by service.
func (m *Model) PooledSummaries() map[string]Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Summary, len(m.services))
	for name, s := range m.services {
		out[name] = s.pooledSummary()
	}
	return out
}

// Heard takes what a peer, or the store, tells.
func (m *Model) Merge(source string, services map[string]Summary) {
	for name, shared := range services {
		m.Service(name).merge(source, shared)
	}
}

// share returns this instance's own sums; false if it has none.
func (s *Service) summary() (Summary, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Summary{Prefill: s.prefill.own.encodeFull(), PrefillAlone: s.prefillAlone.own.encodeFull(), Decode: s.decode.own.encodeLine(), Calls: s.calls.own.encodeLine()}
	return out, out.Prefill != nil || out.Calls != nil
}

func (s *Service) pooledSummary() Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	reading, alone, writing, calls := s.prefill.pooled(now), s.prefillAlone.pooled(now), s.decode.pooled(now), s.calls.pooled(now)
	return Summary{Prefill: reading.encodeFull(), PrefillAlone: alone.encodeFull(), Decode: writing.encodeLine(), Calls: calls.encodeLine()}
}

func (s *Service) merge(source string, shared Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if m, ok := parseFull(shared.Prefill); ok {
		s.prefill.setPeer(source, m, now)
	}
	if m, ok := parseFull(shared.PrefillAlone); ok {
		s.prefillAlone.setPeer(source, m, now)
	}
	if m, ok := parseLine(shared.Decode); ok {
		s.decode.setPeer(source, m, now)
	}
	if m, ok := parseLine(shared.Calls); ok {
		s.calls.setPeer(source, m, now)
	}
	s.publish()
}

// leastWeight is the weight below which sums aren't told: all but forgotten.
const minSampleCount = 0.5

// full writes all sums; nil where there are no samples.
func (m *moments) encodeFull() []float32 {
	if m.count < minSampleCount {
		return nil
	}
	out := make([]float32, 0, fullLength)
	for _, p := range m.products {
		out = append(out, float32(p))
	}
	for _, r := range m.results {
		out = append(out, float32(r))
	}
	return append(out, float32(m.count))
}

// line writes the sums of a fit with two terms; nil where there are no samples.
func (m *moments) encodeLine() []float32 {
	if m.count < minSampleCount {
		return nil
	}
	out := make([]float32, 0, lineLength)
	for _, at := range lineProducts {
		out = append(out, float32(m.products[at]))
	}
	return append(out, float32(m.results[0]), float32(m.results[termRunning]), float32(m.count))
}

func parseFull(in []float32) (moments, bool) {
	var m moments
	if len(in) != fullLength {
		return m, false
	}
	for i := range m.products {
		m.products[i] = float64(in[i])
	}
	for i := range m.results {
		m.results[i] = float64(in[maxProducts+i])
	}
	m.count = float64(in[fullLength-1])
	return m, m.valid()
}

func parseLine(in []float32) (moments, bool) {
	var m moments
	if len(in) != lineLength {
		return m, false
	}
	for i, at := range lineProducts {
		m.products[at] = float64(in[i])
	}
	m.results[0], m.results[termRunning] = float64(in[len(lineProducts)]), float64(in[len(lineProducts)+1])
	m.count = float64(in[lineLength-1])
	return m, m.valid()
}

// maxShared bounds the sums that are taken from others.
const maxSum = 1e9

// sound tells whether sums may be added to others.
func (m *moments) valid() bool {
	for _, p := range m.products {
		if !(p >= 0 && p < maxSum) {
			return false
		}
	}
	for _, r := range m.results {
		if !(r >= 0 && r < maxSum) {
			return false
		}
	}
	return m.count >= 0 && m.count < maxSum
}
