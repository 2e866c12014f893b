package schedule

import (
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/speed"
)

const (
	// defaultSlots is the number of slots assumed for an endpoint that doesn't report any.
	defaultSlots = 40
	// outputShare is the share of the maximum output that requests are expected to use
	// if no answer of their route was seen and the caller gives no hint.
	outputShare = 0.5
)

// engineTime returns the expected time that a request occupies an engine with the
// given number of slots; 0 for plain calls.
func (r Request) engineTime(slots int, speeds *speed.Service) time.Duration {
	if r.Prompt == 0 {
		return 0
	}
	est := speeds.Estimate()
	prefix := min(r.Prompt, sharedTokens(r.Parts))
	batch := fullBatch(slots)
	step := est.StepTime(batch).Seconds()
	return est.PrefillTime(r.Prompt-prefix, prefix) + seconds(r.expectedOutput(speeds)*step/float64(batch))
}

// expectedOutput returns the expected number of output tokens.
func (r Request) expectedOutput(speeds *speed.Service) float64 {
	if mean, known := speeds.MeanOutput(r.Route); known {
		return mean
	}
	if r.OutputHint > 0 {
		return float64(r.OutputHint)
	}
	return outputShare * float64(r.Output)
}

// fullBatch returns the number of requests that a fully loaded engine runs. The cost
// of a decoded token is derived from a full batch, because engines decode and prefill
// at the same time.
func fullBatch(slots int) int {
	if slots <= 0 {
		return defaultSlots
	}
	return slots
}

// WorkCounter sums the expected engine time of requests by service. It is safe for
// concurrent use.
type WorkCounter struct {
	mu   sync.Mutex
	work map[string]time.Duration
}

func (c *WorkCounter) add(service string, work time.Duration) {
	if work == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.work == nil {
		c.work = make(map[string]time.Duration)
	}
	c.work[service] += work
}

// Totals returns the engine time requested since the start in seconds, by service.
func (c *WorkCounter) Totals() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]float64, len(c.work))
	for name, w := range c.work {
		out[name] = w.Seconds()
	}
	return out
}
