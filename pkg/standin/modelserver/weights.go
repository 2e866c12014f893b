package modelserver

import (
	"context"
	"time"

	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// WeightStore simulates the rate-limited store from which all engines of a
// platform load models. It serves one load at a time, in order of arrival.
type WeightStore struct {
	loadSlot chan struct{}
	loadTime time.Duration
	pending  chan struct{}
}

// maxPendingLoads limits the queued and running loads; further ones are refused.
const maxPendingLoads = 1024

// NewWeightStore returns a store that needs loadTime per model.
func NewWeightStore(loadTime time.Duration) *WeightStore {
	return &WeightStore{loadSlot: make(chan struct{}, 1), loadTime: loadTime, pending: make(chan struct{}, maxPendingLoads)}
}

// Fetch loads the weights of one model. It reports false if the queue is full
// or ctx ended first.
func (w *WeightStore) Fetch(ctx context.Context) bool {
	select {
	case w.pending <- struct{}{}:
	default:
		return false
	}
	defer func() { <-w.pending }()
	select {
	case w.loadSlot <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-w.loadSlot }()
	return sleep.For(ctx, w.loadTime)
}

// PendingLoads returns the number of queued and running loads.
func (w *WeightStore) PendingLoads() int { return len(w.pending) }
