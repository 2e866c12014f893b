package speed

// Summary holds the sums over the samples of one service, in the form in which instances
// exchange and store them. Each field holds, in this order, the sums of the products
// of two inputs, those of an input and the measured value, and the number of samples.
type Summary struct {
	_            struct{}  `cbor:",toarray"`
	Prefill      []float32 `json:"reading,omitempty"`
	PrefillAlone []float32 `json:"alone,omitempty"`
	Decode       []float32 `json:"writing,omitempty"`
	Calls        []float32 `json:"calls,omitempty"`
}

// lineProducts lists the positions of the products of the first two inputs.
var lineProducts = [...]int{0, 1, maxTerms}

// Lengths of the encoded sums: of a fit with all terms and of one with two terms.
const (
	fullLength = maxProducts + maxTerms + 1
	lineLength = len(lineProducts) + 2 + 1
)

// OwnSummaries returns the sums over this instance's own samples, by service.
func (m *Model) OwnSummaries() map[string]Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Summary, len(m.services))
	for name, s := range m.services {
		if summary, ok := s.summary(); ok {
			out[name] = summary
		}
	}
	return out
}

// PooledSummaries returns the sums over the samples of this instance and its peers, by
// service.
func (m *Model) PooledSummaries() map[string]Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Summary, len(m.services))
	for name, s := range m.services {
		out[name] = s.pooledSummary()
	}
	return out
}

// Merge replaces the summaries of a source, which is a peer or the store.
func (m *Model) Merge(source string, summaries map[string]Summary) {
	for name, summary := range summaries {
		m.Service(name).merge(source, summary)
	}
}

// summary returns the sums over this instance's own samples; false if it has none.
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
	prefill, prefillAlone, decode, calls := s.prefill.pooled(now), s.prefillAlone.pooled(now), s.decode.pooled(now), s.calls.pooled(now)
	return Summary{Prefill: prefill.encodeFull(), PrefillAlone: prefillAlone.encodeFull(), Decode: decode.encodeLine(), Calls: calls.encodeLine()}
}

func (s *Service) merge(source string, summary Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if m, ok := parseFull(summary.Prefill); ok {
		s.prefill.setPeer(source, m, now)
	}
	if m, ok := parseFull(summary.PrefillAlone); ok {
		s.prefillAlone.setPeer(source, m, now)
	}
	if m, ok := parseLine(summary.Decode); ok {
		s.decode.setPeer(source, m, now)
	}
	if m, ok := parseLine(summary.Calls); ok {
		s.calls.setPeer(source, m, now)
	}
	s.publish()
}

// minSampleCount is the decayed number of samples below which sums are not encoded.
const minSampleCount = 0.5

// encodeFull encodes the sums of a fit with all terms; nil if there are no samples.
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

// encodeLine encodes the sums of a fit with two terms; nil if there are no samples.
func (m *moments) encodeLine() []float32 {
	if m.count < minSampleCount {
		return nil
	}
	out := make([]float32, 0, lineLength)
	for _, k := range lineProducts {
		out = append(out, float32(m.products[k]))
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
	for i, k := range lineProducts {
		m.products[k] = float64(in[i])
	}
	m.results[0], m.results[termRunning] = float64(in[len(lineProducts)]), float64(in[len(lineProducts)+1])
	m.count = float64(in[lineLength-1])
	return m, m.valid()
}

// maxSum bounds the sums accepted from peers and the store.
const maxSum = 1e9

// valid reports whether all sums are in the accepted range.
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
