package schedule

import "sync"

// Asked counts the prompt tokens of the requests to place, by service. It is
// safe for concurrent use.
type Asked struct {
	mu     sync.Mutex
	tokens map[string]float64
}

func (s *Asked) add(service string, tokens int) {
	if tokens == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens == nil {
		s.tokens = make(map[string]float64)
	}
	s.tokens[service] += float64(tokens)
}

// Totals returns the tokens since the start, by service.
func (s *Asked) Totals() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]float64, len(s.tokens))
	for name, n := range s.tokens {
		out[name] = n
	}
	return out
}
