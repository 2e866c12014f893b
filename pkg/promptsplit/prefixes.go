package promptsplit

import "time"

const (
	// prefixMemory is the time after which a request counts 1/e as much as a new one.
	prefixMemory = 20 * time.Second
	// maxPrefixes bounds the number of shared prefixes that are counted.
	maxPrefixes = 512
)

// prefixes holds how often shared prefixes are used by the requests of one kind. It isn't
// safe for concurrent use.
type prefixes struct {
	recent counts[string]
	// all counts the requests, including those without a shared prefix.
	all counts[struct{}]
}

func newPrefixes() prefixes {
	return prefixes{recent: newCounts[string](prefixMemory, maxPrefixes), all: newCounts[struct{}](prefixMemory, 1)}
}

// add records a request; prefix is "" if it shares none.
func (p *prefixes) add(prefix string, now time.Time) {
	p.all.add(struct{}{}, now)
	if prefix != "" {
		p.recent.add(prefix, now)
	}
}

// share returns the share of the requests with a prefix among those before the newest one.
func (p *prefixes) share(prefix string) float64 {
	if p.all.total <= 1 {
		return 0
	}
	return max(0, p.recent.weights[prefix]-1) / (p.all.total - 1)
}
