package modelserver

import (
	"sync"
	"time"
)

// keptLoadSamples is the number of recent samples that are always kept.
const keptLoadSamples = 1024

// loadSample is the load of an engine from a point in time on.
type loadSample struct {
	at               time.Time
	running, waiting int
}

// loadHistory stores past loads, so that an engine can report its load with a delay.
type loadHistory struct {
	mu      sync.Mutex
	samples []loadSample
}

func (h *loadHistory) record(running, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, loadSample{at: time.Now(), running: running, waiting: waiting})
	if len(h.samples) > 2*keptLoadSamples {
		h.samples = append([]loadSample(nil), h.samples[keptLoadSamples:]...)
	}
}

// at returns the load at time t.
func (h *loadHistory) at(t time.Time) (running, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(t) {
			return h.samples[i].running, h.samples[i].waiting
		}
	}
	return 0, 0
}
