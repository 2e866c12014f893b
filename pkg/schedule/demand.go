package schedule

import (
	"sync"
	"time"
)

// Costs of the work of an engine whose batch is about half full.
const (
	// readTime is the time in which an engine reads a prompt token.
	readTime = 6400 * time.Nanosecond
	// writeTime is an output token's share of the engine's steps.
	writeTime = 200 * time.Microsecond
	// cachedShare is the share of the shared parts of prompts that is found cached.
	cachedShare = 0.7
	// usedOutput is the share of the largest output that requests use on average.
	usedOutput = 0.5
)

// work is the time for which a request keeps an engine busy; 0 for plain calls.
func (d Demand) work() time.Duration {
	if d.Prompt == 0 {
		return 0
	}
	read := float64(d.Prompt) - cachedShare*float64(shared(d.Parts))
	written := usedOutput * float64(d.Output)
	if d.OutputHint > 0 {
		written = float64(d.OutputHint)
	}
	return time.Duration(read*float64(readTime) + written*float64(writeTime))
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
