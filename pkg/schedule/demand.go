package schedule

import (
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/speed"
)

const (
	// unknownSlots is the number of slots assumed where it isn't known.
	defaultSlots = 40
	// usedOutput is the share of the largest output that requests use where no
	// answer of their route was seen and the caller gives no hint.
	outputShare = 0.5
)

// work is the time for which a request keeps an engine with a number of slots
// busy; 0 for plain calls.
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

// written is the expected number of output tokens.
func (r Request) expectedOutput(speeds *speed.Service) float64 {
	if mean, known := speeds.MeanOutput(r.Route); known {
		return mean
	}
	if r.OutputHint > 0 {
		return float64(r.OutputHint)
	}
	return outputShare * float64(r.Output)
}

// fullBatch is the number of requests that a fully loaded engine runs: tokens are
// written beside the reading of prompts, so that only the batch of such an engine
// tells what they cost.
func fullBatch(slots int) int {
	if slots <= 0 {
		return defaultSlots
	}
	return slots
}

// Asked sums the engine time of the requests to place, by service. It is safe
// for concurrent use.
type WorkCounter struct {
	mu   sync.Mutex
	work map[string]time.Duration
}

func (a *WorkCounter) add(service string, work time.Duration) {
	if work == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.work == nil {
		a.work = make(map[string]time.Duration)
	}
	a.work[service] += work
}

// Totals returns the engine time asked for since the start in seconds, by service.
func (a *WorkCounter) Totals() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]float64, len(a.work))
	for name, w := range a.work {
		out[name] = w.Seconds()
	}
	return out
}
