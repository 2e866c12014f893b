package schedule

import (
	"sync"
	"time"
)

// Costs of the work of an engine. Source: the sheets of the users' engines, whose
// step takes 3.55 ms and 0.046 ms for each request in the batch.
const (
	// readTime is the time in which an engine reads a prompt token.
	readTime = 6400 * time.Nanosecond
	// stepTime is the time of a step, which writes one token of each request in
	// the batch; rowTime is what each of them adds.
	stepTime = 3550 * time.Microsecond
	rowTime  = 46 * time.Microsecond
	// batchShare is the share of an engine's slots that are in use where it is well
	// loaded, and maxBatch the most.
	batchShare = 0.6
	maxBatch   = 24
	// cachedShare is the share of the shared parts of prompts that is found cached.
	cachedShare = 0.7
	// usedOutput is the share of the largest output that requests use on average.
	usedOutput = 0.5
)

// work is the time for which a request keeps an engine with a number of slots
// busy; 0 for plain calls.
func (d Demand) work(slots int) time.Duration {
	if d.Prompt == 0 {
		return 0
	}
	read := float64(d.Prompt) - cachedShare*float64(shared(d.Parts))
	written := usedOutput * float64(d.Output)
	if d.OutputHint > 0 {
		written = float64(d.OutputHint)
	}
	return time.Duration(read*float64(readTime) + written*writeTime(slots))
}

// writeTime is an output token's share of the steps of an engine, in nanoseconds.
func writeTime(slots int) float64 {
	batch := maxBatch
	if slots > 0 {
		batch = min(maxBatch, max(1, int(batchShare*float64(slots))))
	}
	return float64(stepTime)/float64(batch) + float64(rowTime)
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
