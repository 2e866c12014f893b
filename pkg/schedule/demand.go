package schedule

import (
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/speed"
)

const (
	// unknownSlots is the number of slots assumed where it isn't known.
	unknownSlots = 40
	// usedOutput is the share of the largest output that requests use where no
	// answer of their route was seen and the caller gives no hint.
	usedOutput = 0.5
)

// work is the time for which a request keeps an engine with a number of slots
// busy; 0 for plain calls.
func (d Request) work(slots int, learnt *speed.Service) time.Duration {
	if d.Prompt == 0 {
		return 0
	}
	known := learnt.Estimate()
	common := min(d.Prompt, shared(d.Parts))
	batch := fullBatch(slots)
	step := known.Step(batch).Seconds()
	return known.Read(d.Prompt-common, common) + seconds(d.written(learnt)*step/float64(batch))
}

// written is the expected number of output tokens.
func (d Request) written(learnt *speed.Service) float64 {
	if mean, known := learnt.Output(d.Route); known {
		return mean
	}
	if d.OutputHint > 0 {
		return float64(d.OutputHint)
	}
	return usedOutput * float64(d.Output)
}

// fullBatch is the number of requests that a fully loaded engine runs: tokens are
// written beside the reading of prompts, so that only the batch of such an engine
// tells what they cost.
func fullBatch(slots int) int {
	if slots <= 0 {
		return unknownSlots
	}
	return slots
}

// Asked sums the engine time of the requests to place, by service. It is safe
// for concurrent use.
type Asked struct {
	mu   sync.Mutex
	work map[string]time.Duration
}

func (a *Asked) add(service string, work time.Duration) {
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
func (a *Asked) Totals() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]float64, len(a.work))
	for name, w := range a.work {
		out[name] = w.Seconds()
	}
	return out
}
