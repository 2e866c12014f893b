package speed

// Shared is what one instance has learnt of a service, in the form in which
// instances tell it each other and store it: the sums over its own samples, first
// the products of two inputs, then those of an input and the measured value, and
// the number of samples.
type Summary struct {
	_       struct{}  `cbor:",toarray"`
	Reading []float32 `json:"reading,omitempty"`
	Alone   []float32 `json:"alone,omitempty"`
	Writing []float32 `json:"writing,omitempty"`
	Calls   []float32 `json:"calls,omitempty"`
}

// pairs lists the products of the first two inputs.
var pairs = [...]int{0, 1, maxTerms}

// The numbers of values that a fit with all terms, and one with two, is told in.
const (
	fullLength = maxProducts + maxTerms + 1
	lineLength = len(pairs) + 2 + 1
)

// Own returns what this instance has learnt itself, by service.
func (m *Model) OwnSummaries() map[string]Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Summary, len(m.services))
	for name, s := range m.services {
		if shared, ok := s.share(); ok {
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
		out[name] = s.shareAll()
	}
	return out
}

// Heard takes what a peer, or the store, tells.
func (m *Model) Merge(source string, services map[string]Summary) {
	for name, shared := range services {
		m.Service(name).heard(source, shared)
	}
}

// share returns this instance's own sums; false if it has none.
func (s *Service) share() (Summary, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Summary{Reading: s.reading.own.full(), Alone: s.alone.own.full(), Writing: s.writing.own.line(), Calls: s.calls.own.line()}
	return out, out.Reading != nil || out.Calls != nil
}

func (s *Service) shareAll() Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	reading, alone, writing, calls := s.reading.pooled(now), s.alone.pooled(now), s.writing.pooled(now), s.calls.pooled(now)
	return Summary{Reading: reading.full(), Alone: alone.full(), Writing: writing.line(), Calls: calls.line()}
}

func (s *Service) heard(source string, shared Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if m, ok := fromFull(shared.Reading); ok {
		s.reading.heard(source, m, now)
	}
	if m, ok := fromFull(shared.Alone); ok {
		s.alone.heard(source, m, now)
	}
	if m, ok := fromLine(shared.Writing); ok {
		s.writing.heard(source, m, now)
	}
	if m, ok := fromLine(shared.Calls); ok {
		s.calls.heard(source, m, now)
	}
	s.publish()
}

// leastWeight is the weight below which sums aren't told: all but forgotten.
const leastWeight = 0.5

// full writes all sums; nil where there are no samples.
func (m *moments) full() []float32 {
	if m.count < leastWeight {
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
func (m *moments) line() []float32 {
	if m.count < leastWeight {
		return nil
	}
	out := make([]float32, 0, lineLength)
	for _, at := range pairs {
		out = append(out, float32(m.products[at]))
	}
	return append(out, float32(m.results[0]), float32(m.results[termBusy]), float32(m.count))
}

func fromFull(in []float32) (moments, bool) {
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
	return m, m.sound()
}

func fromLine(in []float32) (moments, bool) {
	var m moments
	if len(in) != lineLength {
		return m, false
	}
	for i, at := range pairs {
		m.products[at] = float64(in[i])
	}
	m.results[0], m.results[termBusy] = float64(in[len(pairs)]), float64(in[len(pairs)+1])
	m.count = float64(in[lineLength-1])
	return m, m.sound()
}

// maxShared bounds the sums that are taken from others.
const maxShared = 1e9

// sound tells whether sums may be added to others.
func (m *moments) sound() bool {
	for _, p := range m.products {
		if !(p >= 0 && p < maxShared) {
			return false
		}
	}
	for _, r := range m.results {
		if !(r >= 0 && r < maxShared) {
			return false
		}
	}
	return m.count >= 0 && m.count < maxShared
}
