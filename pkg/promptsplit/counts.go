package promptsplit

import (
	"math"
	"time"
)

const (
	// decayInterval is the time between two reductions of the weights.
	decayInterval = time.Second
	// minWeight is the weight below which a key is dropped.
	minWeight = 0.01
)

// counts holds how often keys were seen recently; a request counts 1/e after memory. It
// isn't safe for concurrent use.
type counts[K comparable] struct {
	memory time.Duration
	// most bounds the number of keys; further ones aren't counted.
	most    int
	weights map[K]float64
	total   float64
	at      time.Time
}

func newCounts[K comparable](memory time.Duration, most int) counts[K] {
	return counts[K]{memory: memory, most: most, weights: make(map[K]float64)}
}

// add counts a key.
func (c *counts[K]) add(key K, now time.Time) {
	if now.Sub(c.at) >= decayInterval {
		c.decay(now)
	}
	if _, known := c.weights[key]; known || len(c.weights) < c.most {
		c.weights[key]++
		c.total++
	}
}

// decay reduces the weights by their age and drops keys that are no longer seen.
func (c *counts[K]) decay(now time.Time) {
	factor := decayFactor(now.Sub(c.at), c.memory)
	c.at, c.total = now, 0
	for key, weight := range c.weights {
		weight *= factor
		c.weights[key] = weight
		if weight < minWeight {
			delete(c.weights, key)
			continue
		}
		c.total += weight
	}
}

// decayFactor returns the factor by which a weight shrinks in a time.
func decayFactor(age, memory time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / memory.Seconds())
}
